#include "promotion_runner.h"

#include "control_ports.h"
#include "control_state.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <algorithm>
#include <type_traits>

namespace waxwing::control
{

namespace
{

std::optional<std::uint64_t> numberField(const boost::json::object &body, std::string_view field)
{
    const auto *value = body.if_contains(field);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    boost::json::error_code error;
    const auto result = value->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(result);
}

std::string textField(const boost::json::object &body, std::string_view field)
{
    const auto *value = body.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::optional<MemberStatus> parseStatus(const EndpointAnswer &answer, const std::string &database)
{
    if (!answer.answered || answer.status != 200 || textField(answer.body, "database") != database) {
        return std::nullopt;
    }
    const auto term = numberField(answer.body, "term");
    const auto position = numberField(answer.body, "position");
    if (!term || !position) {
        return std::nullopt;
    }
    return MemberStatus {*term, numberField(answer.body, "term_start").value_or(0), *position, textField(answer.body, "role") == "primary"};
}

/// Start position of the term, or nullopt if the endpoint did not become its primary.
std::optional<std::uint64_t> parseTermStart(const EndpointAnswer &answer, std::uint64_t term)
{
    if (!answer.answered || answer.status != 200 || answer.body.contains("rejected") || textField(answer.body, "outcome") == "rejected"
        || numberField(answer.body, "term") != term) {
        return std::nullopt;
    }
    return numberField(answer.body, "position");
}

void logGroup(log::Level level, std::string_view event, const std::string &group, boost::json::object fields = {})
{
    fields["group"] = group;
    log::write(level, event, fields);
}

void countPromotion(std::string_view result)
{
    Metrics::instance().counter("waxwing_promotions_total", "result", result).add();
}

} // namespace

PromotionRunner::PromotionRunner(const PromotionRunnerOptions &options, const ControlState &state, const ControlPorts &ports, Propose propose)
    : m_options(options)
    , m_state(state)
    , m_ports(ports)
    , m_propose(std::move(propose))
{
}

void PromotionRunner::reset()
{
    ++m_generation;
    m_lastReset = m_ports.now();
    auto dropped = std::exchange(m_running, {});
    m_lastPublished.clear();
    m_followers.clear();
    m_firstPrimaries.clear();
    m_lastLeavingAttempts.clear();
    for (auto &[group, running] : dropped) {
        for (const auto &handler : running.switchoverHandlers) {
            handler({.reason = "this control process lost leadership; repeat the request with the same change_id"});
        }
    }
}

void PromotionRunner::tick()
{
    std::vector<std::string> running;
    for (const auto &entry : m_running) {
        running.push_back(entry.first);
    }
    for (const auto &group : running) {
        advance(group);
    }
    const auto now = m_ports.now();
    if (now - m_lastScan < m_options.scanInterval) {
        return;
    }
    m_lastScan = now;
    for (const auto &[group, expected] : m_state.groups) {
        if (!m_running.contains(group)) {
            startIfNeeded(group);
        }
    }
}

void PromotionRunner::advance(const std::string &group)
{
    if (m_running.contains(group)) {
        advancePromotion(group);
    }
}

void PromotionRunner::startIfNeeded(const std::string &group)
{
    const auto *record = m_state.machine.group(group);
    if (record == nullptr || record->term() == 0) {
        establishFirstPrimary(group, record);
        return;
    }
    if (record->primary().empty()) {
        const auto domain = m_state.failureDomain(group, record->previous_primary());
        startPromotion(group, Promotion::afterFailure(m_options.promotion, *record, domain, m_ports.now()), "resumed");
        return;
    }
    if (hasFailed(group, *record)) {
        const auto published = m_lastPublished.find(group);
        if (published == m_lastPublished.end() || m_ports.now() - published->second >= m_options.cooldown) {
            const auto domain = m_state.failureDomain(group, record->primary());
            startPromotion(group, Promotion::afterFailure(m_options.promotion, *record, domain, m_ports.now()), "primary failed");
        }
        return;
    }
    replaceLeavingPrimary(group);
    if (!m_running.contains(group)) {
        repairFollowers(group);
    }
}

void PromotionRunner::replaceLeavingPrimary(const std::string &group)
{
    const auto &record = *m_state.machine.group(group);
    const auto *primary = m_state.directory.member(group, record.primary());
    if (primary == nullptr || !primary->announcement.leaving()) {
        return;
    }
    const auto now = m_ports.now();
    auto &last = m_lastLeavingAttempts[group];
    if (now - last < m_options.leavingRetryInterval) {
        return;
    }
    last = now;
    // The switchover waits until the target has received every write; the highest position keeps this wait short.
    const wire::Announcement *target = nullptr;
    for (const auto &[name, member] : *m_state.directory.members(group)) {
        const auto &announced = member.announcement;
        if (name != record.primary() && !announced.leaving() && announced.term() == record.term()
            && (target == nullptr || announced.position() > target->position())) {
            target = &announced;
        }
    }
    if (target != nullptr) {
        startPromotion(group, Promotion::switchover(m_options.promotion, target->database(), now), "primary leaves");
    }
}

void PromotionRunner::establishFirstPrimary(const std::string &group, const wire::GroupRecord *record)
{
    const auto now = m_ports.now();
    const auto *members = m_state.directory.members(group);
    if (members == nullptr || members->size() <= m_state.groupSize(group) / 2) {
        return;
    }
    const wire::Announcement *primary = nullptr;
    std::size_t primaries = 0;
    std::uint64_t highest = 0;
    for (const auto &[name, member] : *members) {
        highest = std::max(highest, member.announcement.term());
        if (member.announcement.primary()) {
            primary = &member.announcement;
            ++primaries;
        }
    }
    const bool adoptable = primaries == 1 && primary->term() == highest && primary->term() > 0;
    // Wait for the announcement of an existing primary before one is promoted.
    auto &state = m_firstPrimaries.try_emplace(group, FirstPrimary {now, {}}).first->second;
    if (adoptable) {
        if (now - state.lastProposed < m_options.followInterval) {
            return;
        }
        state.lastProposed = now;
        wire::ConfigCommand command;
        auto &publish = *command.mutable_publish_primary();
        publish.set_group(group);
        publish.set_term(primary->term());
        publish.set_primary(primary->database());
        publish.set_term_start(primary->term_start());
        logGroup(log::Level::Info, "adopting the announced primary", group, {{"primary", primary->database()}, {"term", primary->term()}});
        m_propose(std::move(command), [](bool) {});
    } else if (now - state.detectedAt >= m_options.announcementSettleTime) {
        startPromotion(group, Promotion::afterFailure(m_options.promotion, record == nullptr ? m_emptyRecord : *record, {}, now), "no primary announced");
    }
}

bool PromotionRunner::hasFailed(const std::string &group, const wire::GroupRecord &record) const
{
    const auto now = m_ports.now();
    const auto *member = m_state.directory.member(group, record.primary());
    FailureDetector::Primary primary {group, record.primary(), record.term(), std::nullopt};
    if (member != nullptr) {
        primary.lastAnnouncement = member->lastSeen;
        // A primary that lost its role in a restart does not regain it by itself.
        if (areAnnouncementsCurrent(group) && !member->announcement.primary() && member->announcement.term() <= record.term()) {
            return true;
        }
    }
    return m_state.detector.hasEvidence(group) && m_state.detector.suspects(primary, m_state.liveProxies(now), now);
}

bool PromotionRunner::areAnnouncementsCurrent(const std::string &group) const
{
    // A new leader counts from its start, because the previous leader may have published a primary just before.
    const auto published = m_lastPublished.find(group);
    return m_ports.now() - (published == m_lastPublished.end() ? m_lastReset : published->second) >= m_options.announcementSettleTime;
}

void PromotionRunner::startPromotion(const std::string &group, Promotion promotion, std::string_view cause)
{
    const auto now = m_ports.now();
    if (now - m_startWindowBegin >= 1s) {
        m_startWindowBegin = now;
        m_startsInWindow = 0;
    }
    if (m_startsInWindow >= m_options.maxStartsPerSecond) {
        return;
    }
    ++m_startsInWindow;
    logGroup(log::Level::Warning, "promotion started", group, {{"cause", cause}});
    m_running.emplace(group, Running {std::move(promotion), {}, {}});
    advancePromotion(group);
}

void PromotionRunner::repairFollowers(const std::string &group)
{
    const auto now = m_ports.now();
    const auto &record = *m_state.machine.group(group);
    if (!areAnnouncementsCurrent(group)) {
        return;
    }
    const auto *members = m_state.directory.members(group);
    const auto *primary = m_state.directory.member(group, record.primary());
    if (members == nullptr || primary == nullptr) {
        return;
    }
    auto &followers = m_followers[group];
    std::erase_if(followers, [members](const auto &entry) { return !members->contains(entry.first); });
    for (const auto &[name, member] : *members) {
        if (name == record.primary()) {
            continue;
        }
        auto &follower = followers[name];
        const bool needed = needsFollow(record, member, primary->announcement.position(), follower);
        if (needed && now - follower.lastCall >= m_options.followInterval) {
            const auto &announced = member.announcement;
            callFollow(group, {name, announced.address(), announced.failure_domain()}, record.term(), primary->announcement.address());
        }
    }
}

bool PromotionRunner::needsFollow(const wire::GroupRecord &record, const EndpointDirectory::Member &member, std::uint64_t primaryPosition,
                                  Follower &follower) const
{
    const auto now = m_ports.now();
    const auto &announced = member.announcement;
    if (follower.position != announced.position()) {
        follower.position = announced.position();
        follower.positionSince = now;
    }
    const bool stalled = announced.position() < primaryPosition && now - follower.positionSince >= m_options.followStallTimeout;
    return announced.primary() || announced.term() < record.term() || follower.confirmedTerm != record.term() || stalled;
}

void PromotionRunner::callFollow(const std::string &group, const PromotionMember &member, std::uint64_t term, const std::string &primaryAddress)
{
    m_followers[group][member.database].lastCall = m_ports.now();
    log::write(log::Level::Debug, "asking a member to follow", {{"group", group}, {"database", member.database}, {"term", term}});
    EndpointCall call {member.address, "POST", "/v1/follow", {{"term", term}, {"primary", primaryAddress}}, m_options.endpointTimeout};
    m_ports.callEndpoint(std::move(call), [this, group, database = member.database, term, generation = m_generation](EndpointAnswer &&answer) {
        if (generation == m_generation && answer.answered && answer.status == 200) {
            m_followers[group][database].confirmedTerm = term;
        }
    });
}

PromotionInput PromotionRunner::promotionInput(const std::string &group) const
{
    PromotionInput input;
    const auto *record = m_state.machine.group(group);
    input.record = record == nullptr ? &m_emptyRecord : record;
    input.groupSize = m_state.groupSize(group);
    if (const auto *members = m_state.directory.members(group)) {
        for (const auto &[name, member] : *members) {
            input.members.push_back({name, member.announcement.address(), member.announcement.failure_domain(), member.announcement.leaving()});
        }
    }
    input.mayHold = [this](const wire::Holder &holder) {
        return m_state.leases.mayHold({holder.proxy(), holder.incarnation()}, m_ports.now());
    };
    return input;
}

void PromotionRunner::advancePromotion(const std::string &group)
{
    if (m_advancingGroup == group) {
        return; // called from execute() by an answer that arrived synchronously; the loop of the outer call handles it
    }
    const auto enclosingGroup = std::exchange(m_advancingGroup, group);
    const auto generation = m_generation;
    while (generation == m_generation) {
        auto &running = m_running.at(group);
        const auto actions = running.promotion.advance(promotionInput(group), m_ports.now());
        if (running.promotion.lacksMajority() && !running.reportedNoMajority) {
            running.reportedNoMajority = true;
            countPromotion("no-majority");
            logGroup(log::Level::Warning, "promotion waits for a majority of the members", group);
        }
        for (const auto &action : actions) {
            execute(group, action);
            if (generation != m_generation) {
                break;
            }
        }
        if (actions.empty()) {
            break;
        }
    }
    m_advancingGroup = enclosingGroup;
    if (generation == m_generation) {
        const auto step = m_running.at(group).promotion.step();
        if (step == Promotion::Step::Done || step == Promotion::Step::Aborted) {
            finishPromotion(group);
        }
    }
}

template<class Input>
void PromotionRunner::applyInput(const std::string &group, std::uint64_t generation, Input apply)
{
    const auto running = m_running.find(group);
    if (generation != m_generation || running == m_running.end()) {
        return;
    }
    apply(running->second.promotion);
    advancePromotion(group);
}

void PromotionRunner::execute(const std::string &group, const PromotionAction &action)
{
    namespace act = promotion_action;
    const auto generation = m_generation;
    std::visit(
        [&](const auto &request) {
            using Action = std::decay_t<decltype(request)>;
            if constexpr (std::is_same_v<Action, act::CommitTerm>) {
                wire::ConfigCommand command;
                command.set_change_id(m_running.at(group).changeId);
                auto &term = *command.mutable_start_term();
                term.set_group(group);
                term.set_expected_term(request.expectedTerm);
                term.set_term(request.term);
                term.set_target(request.target);
                // Only the first term of a switchover is recorded under its change identifier.
                m_running.at(group).changeId.clear();
                m_propose(std::move(command), [this, group, generation](bool accepted) {
                    applyInput(group, generation, [&](Promotion &promotion) { promotion.termCommitted(accepted, m_ports.now()); });
                });
            } else if constexpr (std::is_same_v<Action, act::Withdraw>) {
                wire::Envelope message;
                message.mutable_term_withdraw()->set_group(group);
                message.mutable_term_withdraw()->set_term(request.term);
                m_ports.sendToProxy(request.proxy, message);
            } else if constexpr (std::is_same_v<Action, act::QueryStatus>) {
                EndpointCall call {request.member.address, "GET", "/v1/status", {}, m_options.endpointTimeout};
                m_ports.callEndpoint(
                    std::move(call), [this, group, generation, database = request.member.database, round = request.round](EndpointAnswer &&answer) {
                        applyInput(group, generation, [&](Promotion &promotion) { promotion.status(database, round, parseStatus(answer, database)); });
                    });
            } else if constexpr (std::is_same_v<Action, act::CallPromote>) {
                logGroup(log::Level::Info, "promoting", group, {{"database", request.member.database}, {"term", request.term}});
                EndpointCall call {request.member.address, "POST", "/v1/promote", {{"term", request.term}}, m_options.endpointTimeout};
                m_ports.callEndpoint(
                    std::move(call), [this, group, generation, database = request.member.database, term = request.term](EndpointAnswer &&answer) {
                        // A rejection contains the higher term that the member has seen.
                        const auto seen = answer.answered ? numberField(answer.body, "term").value_or(0) : 0;
                        applyInput(group, generation,
                                   [&](Promotion &promotion) { promotion.promoted(database, term, parseTermStart(answer, term), seen, m_ports.now()); });
                    });
            } else if constexpr (std::is_same_v<Action, act::CallFollow>) {
                callFollow(group, request.member, request.term, request.primaryAddress);
            } else if constexpr (std::is_same_v<Action, act::CommitPrimary>) {
                wire::ConfigCommand command;
                auto &publish = *command.mutable_publish_primary();
                publish.set_group(group);
                publish.set_term(request.term);
                publish.set_primary(request.primary);
                publish.set_term_start(request.termStart);
                m_propose(std::move(command), [this, group, generation](bool accepted) {
                    applyInput(group, generation, [&](Promotion &promotion) { promotion.primaryCommitted(accepted, m_ports.now()); });
                });
            } else {
                wire::Envelope message;
                auto &hold = *message.mutable_hold_writes();
                hold.set_group(group);
                hold.set_term(request.term);
                hold.set_hold_ms(static_cast<std::uint32_t>(toMilliseconds(request.hold).count()));
                m_ports.sendToProxy(request.proxy, message);
            }
        },
        action);
}

void PromotionRunner::finishPromotion(const std::string &group)
{
    auto ended = m_running.extract(group);
    const auto &running = ended.mapped();
    SwitchoverResult result;
    const auto *record = m_state.machine.group(group);
    if (running.promotion.step() == Promotion::Step::Done) {
        m_lastPublished[group] = m_ports.now();
        m_firstPrimaries.erase(group);
        result = {true, {}, record->primary(), record->term()};
        countPromotion(running.promotion.isPlanned() ? "switchover" : "done");
        logGroup(log::Level::Info, "promotion done", group, {{"primary", record->primary()}, {"term", record->term()}, {"start", record->term_start()}});
        // The members are called to follow only after the start of the term is committed: a new leader needs the start to
        // decide whether a member that reports this term has its data.
        const auto *primary = m_state.directory.member(group, record->primary());
        for (const auto &member : promotionInput(group).members) {
            if (member.database != record->primary() && primary != nullptr) {
                callFollow(group, member, record->term(), primary->announcement.address());
            }
        }
    } else {
        result.reason = running.promotion.abortReason();
        countPromotion("aborted");
        logGroup(log::Level::Warning, "switchover aborted", group, {{"reason", result.reason}});
    }
    for (const auto &handler : running.switchoverHandlers) {
        handler(result);
    }
}

void PromotionRunner::switchover(const std::string &group, const std::string &target, const std::string &changeId, SwitchoverHandler handler)
{
    const auto running = m_running.find(group);
    const auto *recorded = m_state.machine.changeResult(changeId);
    const auto *record = m_state.machine.group(group);
    if (recorded != nullptr) {
        if (running != m_running.end()) {
            running->second.switchoverHandlers.push_back(std::move(handler));
        } else {
            handler({true, {}, record->primary(), record->term()});
        }
        return;
    }
    if (running != m_running.end()) {
        if (running->second.changeId == changeId) {
            running->second.switchoverHandlers.push_back(std::move(handler));
        } else {
            handler({.reason = "a promotion of the group is under way"});
        }
        return;
    }
    if (record == nullptr || record->primary().empty()) {
        handler({.reason = "the group has no primary"});
        return;
    }
    logGroup(log::Level::Info, "switchover started", group, {{"to", target}});
    auto promotion = Promotion::switchover(m_options.promotion, target, m_ports.now());
    Running entry {std::move(promotion), changeId, {}};
    entry.switchoverHandlers.push_back(std::move(handler));
    m_running.emplace(group, std::move(entry));
    advancePromotion(group);
}

void PromotionRunner::handleWithdrawn(const std::string &proxy, const wire::TermWithdrawn &message)
{
    const auto session = m_state.sessions.find(proxy);
    if (session != m_state.sessions.end()) {
        applyInput(message.group(), m_generation, [&](Promotion &promotion) { promotion.withdrawn(proxy, session->second.incarnation, message.term()); });
    }
}

void PromotionRunner::handleWritesHeld(const std::string &proxy, const wire::WritesHeld &message)
{
    applyInput(message.group(), m_generation,
               [&](Promotion &promotion) { promotion.writesHeld(proxy, message.term(), message.position(), message.drained()); });
}

bool PromotionRunner::blocksLease(const std::string &proxy) const
{
    const auto now = m_ports.now();
    return std::any_of(m_running.begin(), m_running.end(), [&](const auto &entry) {
        const auto &promotion = entry.second.promotion;
        const auto *record = m_state.machine.group(entry.first);
        return record != nullptr && promotion.isWithdrawing(m_options.withdrawalTimeout, now)
            && std::any_of(record->holders().begin(), record->holders().end(),
                           [&](const wire::Holder &holder) { return holder.proxy() == proxy && !promotion.hasConfirmed(proxy, holder.incarnation()); });
    });
}

std::vector<std::string> PromotionRunner::conditions(const std::string &group) const
{
    std::vector<std::string> conditions;
    const auto running = m_running.find(group);
    if (running != m_running.end()) {
        conditions.emplace_back(running->second.promotion.isPlanned() ? "SwitchingOver" : "Promoting");
        if (running->second.promotion.lacksMajority()) {
            conditions.emplace_back("NoMajority");
        }
    }
    const auto *record = m_state.machine.group(group);
    if (record == nullptr || record->primary().empty()) {
        conditions.emplace_back("NoPrimary");
    }
    const bool owned = record != nullptr && m_state.leases.mayHold({record->owner(), record->owner_incarnation()}, m_ports.now());
    if (!owned) {
        conditions.emplace_back("NoOwner");
    }
    if (conditions.empty()) {
        conditions.emplace_back("Ready");
    }
    return conditions;
}

} // namespace waxwing::control
