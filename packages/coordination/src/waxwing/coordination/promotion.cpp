#include <waxwing/coordination/promotion.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwing
{

using namespace promotion_action;

namespace
{

const PromotionMember *findMember(const PromotionInput &facts, const std::string &database)
{
    const auto found
        = std::find_if(facts.members.begin(), facts.members.end(), [&database](const PromotionMember &member) { return member.database == database; });
    return found == facts.members.end() ? nullptr : &*found;
}

} // namespace

std::uint64_t dataTerm(const wire::GroupRecord &record, const MemberStatus &status)
{
    const auto &history = record.term_history();
    if (history.empty()) {
        return status.term;
    }
    // A term that was never published adds no acknowledged write, so it counts as the last published one.
    for (int i = history.size() - 1; i >= 0; --i) {
        if (history[i].term() <= status.term && history[i].start() <= status.position) {
            return history[i].term();
        }
    }
    return 0;
}

Promotion::Promotion(const Options &options)
    : m_options(options)
{
}

Promotion Promotion::afterFailure(const Options &options, const wire::GroupRecord &record, std::string failedDomain, TimePoint now)
{
    Promotion promotion(options);
    promotion.m_failedDomain = std::move(failedDomain);
    promotion.m_failedPrimary = record.primary().empty() ? record.previous_primary() : record.primary();
    promotion.m_target = record.target();
    promotion.enter(Step::CommitTerm, now);
    return promotion;
}

Promotion Promotion::switchover(const Options &options, std::string target, TimePoint now)
{
    Promotion promotion(options);
    promotion.m_planned = true;
    promotion.m_target = std::move(target);
    promotion.enter(Step::Hold, now);
    return promotion;
}

void Promotion::enter(Step step, TimePoint now)
{
    m_step = step;
    m_entered = now;
    m_lastSent = {};
    m_sent = false;
}

void Promotion::backOff(TimePoint now)
{
    ++m_restarts;
    m_targetCaughtUp = false;
    enter(Step::BackOff, now);
}

void Promotion::abort(std::string reason, const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions)
{
    if (!m_holdingProxy.empty()) {
        actions.emplace_back(HoldWrites {m_holdingProxy, facts.record->term(), Duration::zero()});
    }
    m_abortReason = std::move(reason);
    enter(Step::Aborted, now);
}

std::vector<PromotionAction> Promotion::advance(const PromotionInput &facts, TimePoint now)
{
    std::vector<PromotionAction> actions;
    while (advanceOnce(facts, now, actions)) { }
    return actions;
}

bool Promotion::advanceOnce(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions)
{
    switch (m_step) {
    case Step::Hold:
        return advanceHold(facts, now, actions);
    case Step::AwaitTarget:
        return advanceTarget(facts, now, actions);
    case Step::CommitTerm:
        return advanceTerm(facts, actions);
    case Step::Withdraw:
        return advanceWithdraw(facts, now, actions);
    case Step::Query:
        return advanceQuery(facts, now, actions);
    case Step::Promote:
        return advancePromote(facts, now, actions);
    case Step::CommitPrimary:
        if (!m_sent) {
            m_sent = true;
            actions.emplace_back(CommitPrimary {m_promoteTerm, m_candidate, m_start});
        }
        return false;
    case Step::BackOff: {
        const auto delay = std::min(m_options.backOffHigh, m_options.backOffLow * (1U << std::min(m_restarts, 8U)) / 2);
        if (now - m_entered < delay) {
            return false;
        }
        enter(Step::CommitTerm, now);
        return true;
    }
    case Step::Done:
    case Step::Aborted:
        break;
    }
    return false;
}

bool Promotion::advanceHold(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions)
{
    const auto &record = *facts.record;
    if (record.primary().empty() || record.primary() == m_target || findMember(facts, m_target) == nullptr) {
        abort(record.primary() == m_target ? "the target is the primary" : "the target is not known or a promotion is under way", facts, now, actions);
        return false;
    }
    if (m_heldPosition) {
        enter(Step::AwaitTarget, now);
        return true;
    }
    if (m_sent && (now - m_entered >= m_options.hold || record.owner() != m_holdingProxy)) {
        abort("the owner did not drain its writes in time", facts, now, actions);
        return false;
    }
    if (!m_sent) {
        // A draining owner beside the present one could acknowledge writes that are not held.
        if (record.holders_size() != 1 || !facts.mayHold(record.holders(0))) {
            abort("the group has no settled owner", facts, now, actions);
            return false;
        }
        m_sent = true;
        m_holdStart = now;
        m_holdingProxy = record.owner();
        actions.emplace_back(HoldWrites {m_holdingProxy, record.term(), m_options.hold});
    }
    return false;
}

bool Promotion::advanceTarget(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions)
{
    const auto *target = findMember(facts, m_target);
    if (now - m_holdStart >= m_options.hold || target == nullptr || facts.record->primary().empty()) {
        abort("the target did not apply the last write in time", facts, now, actions);
        return false;
    }
    const auto answer = m_answers.find(m_target);
    if (answer != m_answers.end() && answer->second) {
        const auto &status = *answer->second;
        if (dataTerm(*facts.record, status) == facts.record->term() && status.position >= *m_heldPosition) {
            m_targetCaughtUp = true;
            enter(Step::CommitTerm, now);
            return true;
        }
    }
    const bool answered = answer != m_answers.end();
    if (!m_sent || (answered && now - m_lastSent >= m_options.targetPoll) || now - m_lastSent >= m_options.queryRound) {
        m_sent = true;
        m_lastSent = now;
        m_answers.clear();
        actions.emplace_back(QueryStatus {*target, ++m_round});
    }
    return false;
}

bool Promotion::advanceTerm(const PromotionInput &facts, std::vector<PromotionAction> &actions)
{
    if (!m_sent) {
        m_sent = true;
        const auto present = facts.record->term();
        actions.emplace_back(CommitTerm {present, std::max(present, m_highestTerm) + 1, m_target});
    }
    return false;
}

bool Promotion::advanceWithdraw(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions)
{
    m_withdrawTerm = facts.record->term() - 1;
    const bool send = !m_sent || now - m_lastSent >= m_options.withdrawInterval;
    bool open = false;
    for (const auto &holder : facts.record->holders()) {
        if (m_confirmed.contains({holder.proxy(), holder.incarnation()}) || !facts.mayHold(holder)) {
            continue;
        }
        open = true;
        if (send) {
            actions.emplace_back(Withdraw {holder.proxy(), m_withdrawTerm});
        }
    }
    if (open) {
        m_lastSent = send ? now : m_lastSent;
        m_sent = true;
        return false;
    }
    // The owner counts the hold from a later moment; its clock may run faster by the drift.
    const auto held = m_options.hold - m_options.hold * m_options.driftPercent / 100;
    if (m_targetCaughtUp && now - m_holdStart < held && findMember(facts, m_target) != nullptr) {
        m_candidate = m_target;
        enter(Step::Promote, now);
    } else {
        enter(Step::Query, now);
    }
    return true;
}

void Promotion::startRound(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions)
{
    ++m_round;
    m_sent = true;
    m_lastSent = now;
    m_answers.clear();
    m_asked.clear();
    for (const auto &member : facts.members) {
        m_asked.insert(member.database);
        actions.emplace_back(QueryStatus {member, m_round});
    }
}

bool Promotion::advanceQuery(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions)
{
    if (!m_sent) {
        startRound(facts, now, actions);
        return false;
    }
    const auto answered
        = static_cast<std::size_t>(std::count_if(m_answers.begin(), m_answers.end(), [](const auto &answer) { return answer.second.has_value(); }));
    const auto elapsed = now - m_lastSent;
    if (answered > facts.groupSize / 2 && (m_answers.size() == m_asked.size() || elapsed >= m_options.queryPatience)) {
        m_lacksMajority = false;
        return choose(facts, now);
    }
    if (elapsed >= m_options.queryRound) {
        m_lacksMajority = true;
        startRound(facts, now, actions);
    }
    return false;
}

bool Promotion::choose(const PromotionInput &facts, TimePoint now)
{
    using Rank = std::tuple<std::uint64_t, std::uint64_t, bool, bool, bool, bool, bool>;
    std::optional<Rank> best;
    const PromotionMember *chosen = nullptr;
    for (const auto &[database, answer] : m_answers) {
        const auto *member = findMember(facts, database);
        if (!answer || member == nullptr) {
            continue;
        }
        // Term and position decide alone: a less advanced member would lose acknowledged writes, so even a member
        // that failed before is asked again if it is the only one that has them.
        const Rank rank {dataTerm(*facts.record, *answer),
                         answer->position,
                         !m_excluded.contains(database),
                         !member->leaving,
                         database == m_target,
                         database != m_failedPrimary,
                         member->failureDomain != m_failedDomain};
        if (!best || rank > *best) {
            best = rank;
            chosen = member;
        }
    }
    if (chosen == nullptr) {
        enter(Step::Query, now); // the members that answered are no longer announced
        return false;
    }
    if (m_highestTerm >= facts.record->term()) {
        backOff(now); // the members would reject the term as not higher
        return true;
    }
    m_candidate = chosen->database;
    enter(Step::Promote, now);
    return true;
}

bool Promotion::advancePromote(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions)
{
    if (m_sent) {
        if (now - m_entered >= m_options.promoteTimeout) {
            m_excluded.insert(m_candidate);
            backOff(now);
            return true;
        }
        return false;
    }
    const auto *member = findMember(facts, m_candidate);
    if (member == nullptr) {
        m_excluded.insert(m_candidate);
        backOff(now);
        return true;
    }
    m_sent = true;
    m_promoteTerm = facts.record->term();
    actions.emplace_back(CallPromote {*member, m_promoteTerm});
    return false;
}

void Promotion::termCommitted(bool accepted, TimePoint now)
{
    if (m_step != Step::CommitTerm) {
        return;
    }
    if (accepted) {
        m_confirmed.clear();
        enter(Step::Withdraw, now);
    } else {
        backOff(now);
    }
}

void Promotion::withdrawn(const std::string &proxy, std::uint64_t incarnation, std::uint64_t term)
{
    if (m_step == Step::Withdraw && term >= m_withdrawTerm) {
        m_confirmed.emplace(proxy, incarnation);
    }
}

void Promotion::status(const std::string &database, std::uint64_t round, const std::optional<MemberStatus> &answer)
{
    if (answer) {
        m_highestTerm = std::max(m_highestTerm, answer->term);
    }
    if (round == m_round) {
        m_answers[database] = answer;
    }
}

void Promotion::promoted(const std::string &database, std::uint64_t term, const std::optional<std::uint64_t> &start, std::uint64_t seenTerm, TimePoint now)
{
    m_highestTerm = std::max(m_highestTerm, seenTerm);
    // A late answer to an earlier call carries the start of another term.
    if (m_step != Step::Promote || !m_sent || database != m_candidate || term != m_promoteTerm) {
        return;
    }
    if (start) {
        m_start = *start;
        enter(Step::CommitPrimary, now);
    } else {
        m_excluded.insert(database);
        backOff(now);
    }
}

void Promotion::primaryCommitted(bool accepted, TimePoint now)
{
    if (m_step != Step::CommitPrimary) {
        return;
    }
    if (accepted) {
        enter(Step::Done, now);
    } else {
        backOff(now);
    }
}

void Promotion::writesHeld(const std::string &proxy, std::uint64_t /*term*/, std::uint64_t position, bool drained)
{
    if (m_step == Step::Hold && proxy == m_holdingProxy && drained) {
        m_heldPosition = position;
    }
}

} // namespace waxwing
