#include <waxwing/coordination/promotion.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwing
{

using namespace promotion_action;

namespace
{

const PromotionMember *findMember(const PromotionInput &input, const std::string &database)
{
    const auto found
        = std::find_if(input.members.begin(), input.members.end(), [&database](const PromotionMember &member) { return member.database == database; });
    return found == input.members.end() ? nullptr : &*found;
}

} // namespace

std::uint64_t dataTerm(const wire::GroupRecord &record, const MemberStatus &status)
{
    const auto &history = record.term_history();
    if (history.empty()) {
        return status.term;
    }
    // No write was acknowledged in a term that was never published, so it counts as the last published one before it.
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
    m_stepStart = now;
    m_lastSent = {};
    m_requestSent = false;
}

void Promotion::backOff(TimePoint now)
{
    ++m_restarts;
    m_targetCaughtUp = false;
    enter(Step::BackOff, now);
}

void Promotion::abort(std::string reason, const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions)
{
    if (!m_holdingProxy.empty()) {
        actions.emplace_back(HoldWrites {m_holdingProxy, input.record->term(), Duration::zero()});
    }
    m_abortReason = std::move(reason);
    enter(Step::Aborted, now);
}

std::vector<PromotionAction> Promotion::advance(const PromotionInput &input, TimePoint now)
{
    std::vector<PromotionAction> actions;
    while (advanceOnce(input, now, actions)) { }
    return actions;
}

bool Promotion::advanceOnce(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions)
{
    switch (m_step) {
    case Step::Hold:
        return advanceHold(input, now, actions);
    case Step::AwaitTarget:
        return advanceAwaitTarget(input, now, actions);
    case Step::CommitTerm:
        return advanceCommitTerm(input, actions);
    case Step::Withdraw:
        return advanceWithdraw(input, now, actions);
    case Step::Query:
        return advanceQuery(input, now, actions);
    case Step::Promote:
        return advancePromote(input, now, actions);
    case Step::CommitPrimary:
        if (!m_requestSent) {
            m_requestSent = true;
            actions.emplace_back(CommitPrimary {m_promoteTerm, m_candidate, m_termStart});
        }
        return false;
    case Step::BackOff: {
        const auto delay = std::min(m_options.maxBackOff, m_options.minBackOff * (1U << std::min(m_restarts, 8U)) / 2);
        if (now - m_stepStart < delay) {
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

bool Promotion::advanceHold(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions)
{
    const auto &record = *input.record;
    if (record.primary().empty() || record.primary() == m_target || findMember(input, m_target) == nullptr) {
        abort(record.primary() == m_target ? "the target is the primary" : "the target is not known or a promotion is under way", input, now, actions);
        return false;
    }
    if (m_heldPosition) {
        enter(Step::AwaitTarget, now);
        return true;
    }
    if (m_requestSent && (now - m_stepStart >= m_options.holdTimeout || record.owner() != m_holdingProxy)) {
        abort("the owner did not drain its writes in time", input, now, actions);
        return false;
    }
    if (!m_requestSent) {
        // A previous owner that is still draining could acknowledge writes that are not held.
        if (record.holders_size() != 1 || !input.mayHold(record.holders(0))) {
            abort("the group has no settled owner", input, now, actions);
            return false;
        }
        m_requestSent = true;
        m_holdStart = now;
        m_holdingProxy = record.owner();
        actions.emplace_back(HoldWrites {m_holdingProxy, record.term(), m_options.holdTimeout});
    }
    return false;
}

bool Promotion::advanceAwaitTarget(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions)
{
    const auto *target = findMember(input, m_target);
    if (now - m_holdStart >= m_options.holdTimeout || target == nullptr || input.record->primary().empty()) {
        abort("the target did not apply the last write in time", input, now, actions);
        return false;
    }
    const auto answer = m_answers.find(m_target);
    if (answer != m_answers.end() && answer->second) {
        const auto &status = *answer->second;
        if (dataTerm(*input.record, status) == input.record->term() && status.position >= *m_heldPosition) {
            m_targetCaughtUp = true;
            enter(Step::CommitTerm, now);
            return true;
        }
    }
    const bool answered = answer != m_answers.end();
    if (!m_requestSent || (answered && now - m_lastSent >= m_options.targetPollInterval) || now - m_lastSent >= m_options.queryTimeout) {
        m_requestSent = true;
        m_lastSent = now;
        m_answers.clear();
        actions.emplace_back(QueryStatus {*target, ++m_round});
    }
    return false;
}

bool Promotion::advanceCommitTerm(const PromotionInput &input, std::vector<PromotionAction> &actions)
{
    if (!m_requestSent) {
        m_requestSent = true;
        const auto currentTerm = input.record->term();
        actions.emplace_back(CommitTerm {currentTerm, std::max(currentTerm, m_highestTerm) + 1, m_target});
    }
    return false;
}

bool Promotion::advanceWithdraw(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions)
{
    m_withdrawTerm = input.record->term() - 1;
    const bool sendNow = !m_requestSent || now - m_lastSent >= m_options.withdrawInterval;
    bool awaitsConfirmation = false;
    for (const auto &holder : input.record->holders()) {
        if (m_confirmedWithdrawals.contains({holder.proxy(), holder.incarnation()}) || !input.mayHold(holder)) {
            continue;
        }
        awaitsConfirmation = true;
        if (sendNow) {
            actions.emplace_back(Withdraw {holder.proxy(), m_withdrawTerm});
        }
    }
    if (awaitsConfirmation) {
        m_lastSent = sendNow ? now : m_lastSent;
        m_requestSent = true;
        return false;
    }
    // The owner starts its timer for the hold later than this one, but its clock may run faster by the drift.
    const auto minimumHold = m_options.holdTimeout - m_options.holdTimeout * m_options.driftPercent / 100;
    if (m_targetCaughtUp && now - m_holdStart < minimumHold && findMember(input, m_target) != nullptr) {
        m_candidate = m_target;
        enter(Step::Promote, now);
    } else {
        enter(Step::Query, now);
    }
    return true;
}

void Promotion::startRound(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions)
{
    ++m_round;
    m_requestSent = true;
    m_lastSent = now;
    m_answers.clear();
    m_queried.clear();
    for (const auto &member : input.members) {
        m_queried.insert(member.database);
        actions.emplace_back(QueryStatus {member, m_round});
    }
}

bool Promotion::advanceQuery(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions)
{
    if (!m_requestSent) {
        startRound(input, now, actions);
        return false;
    }
    const auto answered
        = static_cast<std::size_t>(std::count_if(m_answers.begin(), m_answers.end(), [](const auto &answer) { return answer.second.has_value(); }));
    const auto elapsed = now - m_lastSent;
    if (answered > input.groupSize / 2 && (m_answers.size() == m_queried.size() || elapsed >= m_options.queryGracePeriod)) {
        m_lacksMajority = false;
        return chooseCandidate(input, now);
    }
    if (elapsed >= m_options.queryTimeout) {
        m_lacksMajority = true;
        startRound(input, now, actions);
    }
    return false;
}

bool Promotion::chooseCandidate(const PromotionInput &input, TimePoint now)
{
    using Rank = std::tuple<std::uint64_t, std::uint64_t, bool, bool, bool, bool, bool>;
    std::optional<Rank> best;
    const PromotionMember *chosen = nullptr;
    for (const auto &[database, answer] : m_answers) {
        const auto *member = findMember(input, database);
        if (!answer || member == nullptr) {
            continue;
        }
        // Term and position come first: promoting a less advanced member would lose acknowledged writes, so a member
        // whose promotion failed before is tried again if no other one has these writes.
        const Rank rank {dataTerm(*input.record, *answer),
                         answer->position,
                         !m_failedCandidates.contains(database),
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
        enter(Step::Query, now); // the announcements of the members that responded have expired
        return false;
    }
    if (m_highestTerm >= input.record->term()) {
        backOff(now); // members reject a term that is not higher than the highest they know
        return true;
    }
    m_candidate = chosen->database;
    enter(Step::Promote, now);
    return true;
}

bool Promotion::advancePromote(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions)
{
    if (m_requestSent) {
        if (now - m_stepStart >= m_options.promoteTimeout) {
            m_failedCandidates.insert(m_candidate);
            backOff(now);
            return true;
        }
        return false;
    }
    const auto *member = findMember(input, m_candidate);
    if (member == nullptr) {
        m_failedCandidates.insert(m_candidate);
        backOff(now);
        return true;
    }
    m_requestSent = true;
    m_promoteTerm = input.record->term();
    actions.emplace_back(CallPromote {*member, m_promoteTerm});
    return false;
}

void Promotion::termCommitted(bool accepted, TimePoint now)
{
    if (m_step != Step::CommitTerm) {
        return;
    }
    if (accepted) {
        m_confirmedWithdrawals.clear();
        enter(Step::Withdraw, now);
    } else {
        backOff(now);
    }
}

void Promotion::withdrawn(const std::string &proxy, std::uint64_t incarnation, std::uint64_t term)
{
    if (m_step == Step::Withdraw && term >= m_withdrawTerm) {
        m_confirmedWithdrawals.emplace(proxy, incarnation);
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

void Promotion::promoted(const std::string &database, std::uint64_t term, const std::optional<std::uint64_t> &start, std::uint64_t highestTerm, TimePoint now)
{
    m_highestTerm = std::max(m_highestTerm, highestTerm);
    // A late response to an earlier call contains the start of another term.
    if (m_step != Step::Promote || !m_requestSent || database != m_candidate || term != m_promoteTerm) {
        return;
    }
    if (start) {
        m_termStart = *start;
        enter(Step::CommitPrimary, now);
    } else {
        m_failedCandidates.insert(database);
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
