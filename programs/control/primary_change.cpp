#include "primary_supervisor.h"
#include "primary_supervisor_timing.h"

#include <waxwing/state/message_bytes.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

// The steps of a primary change, from starting the new epoch to publishing the new primary.
namespace waxwing::control
{

namespace asio = boost::asio;

namespace
{

using Command = DatabaseCalls::Command;
using Reach = DatabaseCalls::Reach;

constexpr Duration withdrawalTimeout = 600ms; // for proxies to confirm a withdrawal, before the databases are asked again
// Timeout for the answer to a promotion order, doubled after every two orders without an answer. The platform answers within
// a round trip and promotes afterwards. An order whose answer was lost is repeated with a new token, so a longer timeout
// would only prolong the time without a primary.
constexpr Duration initialOrderTimeout = 400ms;
constexpr Duration maxOrderTimeout = 2s;
constexpr unsigned maxOrderTimeoutDoublings = 3;
constexpr Duration lateOrderPollInterval = 500ms; // while an earlier order may still promote another database
constexpr Duration promotionTimeout = 4s; // a promotion takes 300 to 1,000 ms after the order

std::string_view answerName(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::Conflict:
        return "conflict";
    case OrderAnswer::NotTaken:
        return "not-taken";
    case OrderAnswer::None:
        break;
    }
    return "none";
}

} // namespace

asio::awaitable<LogReply> PrimarySupervisor::propose(wire::SessionsCommand command)
{
    auto initiate = [this](auto handler, std::vector<std::byte> bytes) {
        // The port accepts only copyable handlers.
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        m_ports.log.propose(std::move(bytes), [this, shared](LogReply &&reply) {
            asio::post(m_context, [shared, reply = std::move(reply)]() mutable { (*shared)(std::move(reply)); });
        });
    };
    auto bytes = encodeMessage(command);
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<> &, void(LogReply)>(std::move(initiate), asio::use_awaitable, std::move(bytes));
}

asio::awaitable<std::optional<std::uint64_t>> PrimarySupervisor::startEpoch(std::string name, std::uint64_t expected)
{
    wire::SessionsCommand command;
    command.mutable_start_epoch()->set_service(name);
    command.mutable_start_epoch()->set_expected_epoch(expected);
    const auto reply = co_await propose(std::move(command));
    wire::SessionsResult result;
    if (reply.failure != LogFailure::None || !decodeMessage(reply.result, result) || !result.accepted()) {
        co_return std::nullopt;
    }
    co_return result.epoch();
}

asio::awaitable<bool> PrimarySupervisor::setPrimary(std::string name, std::uint64_t epoch, std::string primary)
{
    wire::SessionsCommand command;
    command.mutable_set_primary()->set_service(name);
    command.mutable_set_primary()->set_epoch(epoch);
    command.mutable_set_primary()->set_primary(primary);
    command.mutable_set_primary()->set_term(serviceState(name).term);
    const auto reply = co_await propose(std::move(command));
    wire::SessionsResult result;
    co_return reply.failure == LogFailure::None &&decodeMessage(reply.result, result) && result.accepted();
}

asio::awaitable<void> PrimarySupervisor::changePrimary(std::string name, std::string cause)
{
    static auto &changes = Metrics::instance().counter("waxwing_control_primary_changes_total");
    const auto generation = m_generation;
    const auto startedAt = Clock::now();
    serviceState(name).possibleCommitsAwaitedSince.reset();
    serviceState(name).lastComparison.clear();
    changes.add();
    log::write(log::Level::Warning, "primary change started", {{"service", name}, {"cause", cause}});
    bool done = false;
    bool primaryLost = cause == "refused" || cause == "silent";
    while (isCurrent(generation) && !done) {
        done = co_await tryChangePrimary(name, generation, std::exchange(primaryLost, false));
        if (!done && isCurrent(generation)) {
            co_await sleepFor(retryDelay);
        }
    }
    if (!isCurrent(generation)) {
        co_return;
    }
    const auto *record = m_state.machine.service(name);
    log::write(log::Level::Warning, "primary change finished",
               {{"service", name},
                {"cause", cause},
                {"primary", record == nullptr ? std::string() : record->primary()},
                {"epoch", record == nullptr ? 0 : record->epoch()},
                {"took_ms", toMilliseconds(Clock::now() - startedAt).count()}});
    auto &service = serviceState(name);
    service.busy = false;
    service.changedAt = Clock::now();
    service.suspicions = 0;
    service.reports.clear();
    service.nextCheckAt = Clock::now() + checkInterval;
}

bool PrimarySupervisor::advanceWithdrawal(const std::string &name)
{
    return serviceState(name).withdrawal.advance(name, m_state.leases, Clock::now(), m_ports.sendToProxy);
}

asio::awaitable<bool> PrimarySupervisor::awaitWithdrawal(std::string name, std::uint64_t generation)
{
    const auto deadline = Clock::now() + withdrawalTimeout;
    while (isCurrent(generation)) {
        if (advanceWithdrawal(name)) {
            co_return true;
        }
        if (Clock::now() >= deadline) {
            break;
        }
        co_await sleepFor(pollInterval);
    }
    co_return false;
}

asio::awaitable<bool> PrimarySupervisor::tryChangePrimary(const std::string &name, std::uint64_t generation, bool primaryLost)
{
    const auto *record = m_state.machine.service(name);
    if (record == nullptr) {
        co_return true;
    }
    const auto previous = record->primary().empty() ? record->previous() : record->primary();
    // Replicas that received nothing since the last promotion know only an earlier term. A pause until that term plus one
    // would not stop them from receiving commits of the current primary.
    serviceState(name).term = std::max(serviceState(name).term, record->term());
    const auto epoch = co_await startEpoch(name, record->epoch());
    if (!epoch || !isCurrent(generation)) {
        co_return false;
    }
    m_publish();
    serviceState(name).withdrawal.start(*epoch);
    if (primaryLost) {
        serviceState(name).withdrawal.close();
    }
    advanceWithdrawal(name);
    const auto compared = members(name);
    std::string candidate;
    if (primaryLost) {
        candidate = co_await chooseCandidateAfterLoss(name, previous, generation);
    }
    while (isCurrent(generation) && candidate.empty()) {
        candidate = co_await chooseCandidate(name, previous, generation);
        if (!isCurrent(generation)) {
            co_return false;
        }
        if (!candidate.empty()) {
            break;
        }
        co_await sleepFor(retryDelay);
    }
    log::write(
        log::Level::Info, "candidate chosen",
        {{"service", name}, {"candidate", candidate}, {"epoch", *epoch}, {"term", serviceState(name).term}, {"proxies", m_state.leases.proxies().size()}});
    const auto *entry = m_state.directory.find(candidate);
    // A database that was started again meanwhile may have lost the log that was compared.
    const bool sameRun = entry != nullptr && std::any_of(compared.begin(), compared.end(), [entry](const auto &member) {
                             return member.id() == entry->member.id() && member.born_ms() == entry->member.born_ms();
                         });
    if (!isCurrent(generation) || !sameRun) {
        co_return false;
    }
    if (!m_options.ordersAreFenced && !mayOrder(name, candidate, Clock::now())) {
        co_await sleepFor(lateOrderPollInterval);
        co_return false;
    }
    const wire::PoolMember target = entry->member;
    const bool ordered = co_await orderPromotion(name, candidate, *epoch);
    if (!ordered || !isCurrent(generation)) {
        co_return false;
    }
    const bool leads = co_await awaitPrimaryRole(target, generation);
    if (!leads || !isCurrent(generation)) {
        co_return false;
    }
    if (target.draining() && isReplaceable(name)) {
        // It has the longest log, but is draining and accepts no new statements. The next attempt promotes a replica that has
        // received its log.
        log::write(log::Level::Info, "leaving database leads for its log only", {{"service", name}, {"database", candidate}, {"epoch", *epoch}});
        co_return false;
    }
    const bool accepted = co_await setPrimary(name, *epoch, candidate);
    m_publish();
    co_return accepted;
}

bool PrimarySupervisor::mayOrder(const std::string &name, const std::string &candidate, TimePoint now)
{
    auto &pending = serviceState(name).pendingOrders;
    const auto *record = m_state.machine.service(name);
    if (record == nullptr) {
        return false;
    }
    const auto orders = record->orders(); // a copy: settling one changes the record
    for (const auto &order : orders) {
        pending.adopt(order.database(), now);
    }
    const auto expired = pending.expire(now);
    for (const auto &order : orders) {
        if (std::find(expired.begin(), expired.end(), order.database()) != expired.end()) {
            settleOrder(name, order.database(), order.epoch());
        }
    }
    if (pending.allows(candidate)) {
        return true;
    }
    Metrics::instance().counter("waxwing_control_orders_delayed_total").add();
    log::write(log::Level::Warning, "promotion waits for an earlier order", {{"service", name}, {"candidate", candidate}});
    return false;
}

asio::awaitable<bool> PrimarySupervisor::recordOrder(std::string name, std::string candidate, std::uint64_t epoch)
{
    wire::SessionsCommand command;
    command.mutable_record_order()->set_service(name);
    command.mutable_record_order()->set_epoch(epoch);
    command.mutable_record_order()->set_database(candidate);
    const auto reply = co_await propose(std::move(command));
    wire::SessionsResult result;
    co_return reply.failure == LogFailure::None &&decodeMessage(reply.result, result) && result.accepted();
}

void PrimarySupervisor::settleOrder(const std::string &name, const std::string &database, std::uint64_t epoch)
{
    wire::SessionsCommand command;
    command.mutable_settle_order()->set_service(name);
    command.mutable_settle_order()->set_epoch(epoch);
    command.mutable_settle_order()->set_database(database);
    // A record that stays delays a promotion of another database by at most the limit of late orders.
    m_ports.log.propose(encodeMessage(command), [name, database](LogReply &&reply) {
        if (reply.failure != LogFailure::None) {
            log::write(log::Level::Info, "order not settled", {{"service", name}, {"database", database}});
        }
    });
}

asio::awaitable<bool> PrimarySupervisor::orderPromotion(std::string name, std::string candidate, std::uint64_t epoch)
{
    if (!WAXWING_INVARIANT(epoch > serviceState(name).lastFencingToken, "fencing-token-increases")) {
        co_return false;
    }
    serviceState(name).lastFencingToken = epoch;
    const auto orderedAt = Clock::now();
    const auto timeout = std::min(maxOrderTimeout, initialOrderTimeout * (1U << std::min(serviceState(name).unansweredOrders / 2, maxOrderTimeoutDoublings)));
    if (!m_options.ordersAreFenced) {
        const bool recorded = co_await recordOrder(name, candidate, epoch);
        if (!recorded) {
            co_return false;
        }
    }
    const auto answer = co_await m_ports.orderPromotion(name, candidate, epoch, timeout);
    auto &service = serviceState(name);
    service.unansweredOrders = answer == OrderAnswer::None || answer == OrderAnswer::NotTaken ? service.unansweredOrders + 1 : 0;
    if (answer == OrderAnswer::None) {
        service.pendingOrders.recordUnanswered(candidate, Clock::now());
    } else if (!m_options.ordersAreFenced && !service.pendingOrders.isPending(candidate)) {
        settleOrder(name, candidate, epoch);
    }
    log::write(log::Level::Info, "promotion ordered",
               {{"service", name},
                {"candidate", candidate},
                {"epoch", epoch},
                {"answer", answerName(answer)},
                {"limit_ms", toMilliseconds(timeout).count()},
                {"took_ms", toMilliseconds(Clock::now() - orderedAt).count()}});
    co_return answer == OrderAnswer::Accepted;
}

void PrimarySupervisor::updateHighestTerm(const std::string &name, const Answers &answers)
{
    auto &term = serviceState(name).term;
    for (const auto &[id, answer] : answers) {
        if (answer.status) {
            // The term of a pause does not count: a pause until a term that no promotion reaches would never end.
            term = std::max({term, answer.status->term, answer.status->received.term});
        }
    }
}

asio::awaitable<std::string> PrimarySupervisor::chooseCandidateAfterLoss(const std::string &name, std::string previous, std::uint64_t generation)
{
    // The primary has just failed to answer, so only the other databases are paused, with a single round of calls.
    const auto term = serviceState(name).term;
    if (term == 0) {
        co_return std::string();
    }
    const bool closed = co_await awaitWithdrawal(name, generation);
    if (!closed) {
        co_return std::string();
    }
    auto others = members(name);
    std::erase_if(others, [&](const auto &member) { return member.id() == previous; });
    const auto answers = co_await m_databaseCalls.callAll(others, Command::Pause, term + 1, callTimeout);
    if (!isCurrent(generation)) {
        co_return std::string();
    }
    updateHighestTerm(name, answers);
    const bool paused
        = std::all_of(answers.begin(), answers.end(), [&](const auto &item) { return isPaused(item.second, term + 1) && item.second.status->term <= term; });
    co_return paused ? chooseAmongPaused(name, previous, answers) : std::string();
}

PrimarySupervisor::AcknowledgedBounds PrimarySupervisor::requireAcknowledgedCommits(const std::string &name, PrimaryChoice &choice)
{
    auto &service = serviceState(name);
    const auto now = Clock::now();
    const AcknowledgedBounds bounds {service.withdrawal.acknowledgedAtLeast(m_state.leases, now), service.withdrawal.acknowledgedAtMost()};
    choice.setCertainPosition(bounds.certain);
    if (choice.lacks(bounds.certain)) {
        log::write(log::Level::Warning, "no known log has an acknowledged commit",
                   {{"service", name}, {"term", bounds.certain.term}, {"number", bounds.certain.position}});
    } else if (choice.lacks(bounds.possible) && !service.possibleCommitsAwaitedSince) {
        service.possibleCommitsAwaitedSince = now;
        log::write(log::Level::Warning, "no known log has all commits that may be acknowledged",
                   {{"service", name},
                    {"term", bounds.possible.term},
                    {"number", bounds.possible.position},
                    {"certain_number", bounds.certain.position},
                    {"limit_ms", toMilliseconds(m_options.possibleCommitsTimeout).count()}});
    }
    if (!service.possibleCommitsAwaitedSince || now - *service.possibleCommitsAwaitedSince < m_options.possibleCommitsTimeout) {
        choice.setAwaitedPosition(bounds.possible);
    }
    return bounds;
}

void PrimarySupervisor::reportComparison(const std::string &name, const std::string &chosen, const PrimaryChoice &choice, const Answers &answers,
                                         const AcknowledgedBounds &bounds)
{
    boost::json::array known;
    for (const auto &[id, answer] : answers) {
        if (answer.status) {
            known.push_back({{"database", id}, {"term", answer.status->received.term}, {"number", answer.status->received.position}});
        }
    }
    auto comparison = chosen + boost::json::serialize(known);
    if (auto &last = serviceState(name).lastComparison; last != comparison) {
        last = std::move(comparison);
        log::write(log::Level::Info, "logs compared",
                   {{"service", name},
                    {"chosen", chosen},
                    {"known", std::move(known)},
                    {"missing", choice.missing().size()},
                    {"certain_term", bounds.certain.term},
                    {"certain_number", bounds.certain.position},
                    {"possible_term", bounds.possible.term},
                    {"possible_number", bounds.possible.position}});
    }
}

std::string PrimarySupervisor::chooseAmongPaused(const std::string &name, const std::string &previous, const Answers &answers)
{
    auto choice = makePrimaryChoice(name, previous, answers);
    if (!m_directoryComplete && !choice.hasFormerPrimaryLog()) {
        return {}; // a database that has not sent a heartbeat yet may hold commits
    }
    const auto acknowledged = serviceState(name).withdrawal.acknowledged(m_state.leases, Clock::now());
    choice.setAcknowledgedPosition(acknowledged);
    const auto bounds = requireAcknowledgedCommits(name, choice);
    if (choice.needsAcknowledgedPosition()) {
        const auto missing = choice.missing();
        log::write(log::Level::Warning, "a database that may hold commits is missing",
                   {{"service", name},
                    {"missing", boost::json::array(missing.begin(), missing.end())},
                    {"acknowledged_known", acknowledged.has_value()},
                    {"term", acknowledged ? acknowledged->term : 0},
                    {"number", acknowledged ? acknowledged->position : 0}});
    }
    auto chosen = choice.bestAmongStopped();
    reportComparison(name, chosen, choice, answers, bounds);
    return chosen;
}

asio::awaitable<std::string> PrimarySupervisor::chooseCandidate(const std::string &name, std::string previous, std::uint64_t generation)
{
    auto all = members(name);
    auto answers = co_await m_databaseCalls.callAll(all, Command::Status, 0, callTimeout);
    if (!isCurrent(generation)) {
        co_return std::string();
    }
    updateHighestTerm(name, answers);
    const bool withdrawn = co_await awaitWithdrawal(name, generation);
    if (!withdrawn) {
        co_return std::string();
    }
    const auto term = serviceState(name).term + 1;
    std::vector<wire::PoolMember> primaries;
    std::vector<wire::PoolMember> replaced;
    std::vector<wire::PoolMember> others;
    std::uint64_t leadingTerm = 0;
    wire::PoolMember leading;
    for (const auto &member : all) {
        const auto &answer = answers[member.id()];
        const bool claims = answer.status && answer.status->primary;
        // A database of a later term exists, so that this primary has been replaced and goes on without the later commits.
        const bool leads = claims && answer.status->term + 1 >= term;
        (leads ? primaries : claims ? replaced : others).push_back(member);
        if (leads && answer.status->term >= leadingTerm) {
            leadingTerm = answer.status->term;
            leading = member;
        }
    }
    if (!replaced.empty()) {
        co_await stopReplacedPrimaries(name, replaced, answers);
        if (!isCurrent(generation)) {
            co_return std::string();
        }
        others.insert(others.end(), replaced.begin(), replaced.end());
    }
    if (!primaries.empty()) {
        // The primary of the latest term has every acknowledged commit, even if another one was published last: an earlier
        // order was carried out, but its answer was lost. It only needs an order with the current token.
        const bool receiving = std::all_of(others.begin(), others.end(), [&](const auto &member) {
            const auto &status = answers[member.id()].status;
            return !status || status->pausedTerm <= leadingTerm;
        });
        if (leading.id() != previous && !leading.draining() && receiving) {
            co_return leading.id();
        }
        previous = leading.id();
        // A database that leads has the log of its earlier runs.
        wire::ForgetMembers earlierRuns;
        for (const auto &absent : m_state.machine.absent(name)) {
            if (absent.id() == previous) {
                earlierRuns.add_members()->set_id(absent.id());
                earlierRuns.mutable_members()->rbegin()->set_born_ms(absent.born_ms());
            }
        }
        if (earlierRuns.members_size() != 0) {
            co_await forget(name, std::move(earlierRuns));
        }
        const auto steppedDown = co_await m_databaseCalls.callAll(primaries, Command::StepDown, term, callTimeout);
        for (const auto &[id, answer] : steppedDown) {
            answers[id] = answer;
        }
        co_await awaitCaughtUpReplica(name, previous, answers, generation);
        if (!isCurrent(generation)) {
            co_return std::string();
        }
        auto choice = makePrimaryChoice(name, previous, answers);
        requireAcknowledgedCommits(name, choice);
        auto best = choice.bestAfterStepDown();
        if (!best.empty()) {
            co_return best;
        }
    }
    // A pause ends when its replica restarts, and the primary may commit again before the next one leads. So the logs are compared
    // only after no proxy acknowledges such a commit any more.
    serviceState(name).withdrawal.close();
    const bool closed = co_await awaitWithdrawal(name, generation);
    if (!closed) {
        co_return std::string();
    }
    const auto paused = co_await m_databaseCalls.callAll(others, Command::Pause, term, callTimeout);
    if (!isCurrent(generation)) {
        co_return std::string();
    }
    for (const auto &[id, answer] : paused) {
        answers[id] = isPaused(answer, term) ? answer : DatabaseCalls::Answer(); // a replica that still receives may have advanced since
    }
    co_return chooseAmongPaused(name, previous, answers);
}

asio::awaitable<void> PrimarySupervisor::stopReplacedPrimaries(std::string name, std::vector<wire::PoolMember> replaced, Answers &answers)
{
    static auto &stopped = Metrics::instance().counter("waxwing_control_replaced_primaries_total");
    const auto term = serviceState(name).term;
    const auto steppedDown = co_await m_databaseCalls.callAll(replaced, Command::StepDown, term, callTimeout);
    for (const auto &[id, answer] : steppedDown) {
        stopped.add();
        log::write(log::Level::Warning, "replaced primary told to step down",
                   {{"service", name}, {"database", id}, {"term", term}, {"stopped", answer.status && !answer.status->primary}});
        answers[id] = answer;
    }
}

asio::awaitable<void> PrimarySupervisor::awaitCaughtUpReplica(const std::string &name, std::string previous, Answers &answers, std::uint64_t generation)
{
    auto others = members(name);
    std::erase_if(others, [&](const auto &member) { return member.id() == previous; });
    const auto deadline = Clock::now() + catchUpTimeout;
    while (isCurrent(generation) && makePrimaryChoice(name, previous, answers).bestAfterStepDown().empty() && Clock::now() < deadline) {
        co_await sleepFor(pollInterval);
        const auto refreshed = co_await m_databaseCalls.callAll(others, Command::Status, 0, callTimeout);
        for (const auto &[id, answer] : refreshed) {
            answers[id] = answer;
        }
    }
}

PrimaryChoice PrimarySupervisor::makePrimaryChoice(const std::string &name, const std::string &previous, const Answers &answers) const
{
    PrimaryChoice choice(previous);
    const auto absent = m_state.machine.absent(name);
    const auto known = m_services.find(name);
    const auto highestTerm = known == m_services.end() ? 0 : known->second.term;
    for (const auto &member : members(name)) {
        const auto found = answers.find(member.id());
        const bool answered = found != answers.end() && found->second.status && !found->second.status->primary;
        const bool restarted = std::any_of(absent.begin(), absent.end(), [&member](const auto &earlier) { return earlier.id() == member.id(); });
        choice.add({member.id(), member.draining(), restarted, answered ? std::optional(found->second.status->received) : std::nullopt});
    }
    for (const auto &member : absent) {
        // The commits of the former primary need another database.
        if (member.id() == previous) {
            continue;
        }
        // A promotion ends every pause.
        if (member.has_stopped_at() && member.stopped_in_term() >= highestTerm) {
            choice.addStopped(member.id(), {member.stopped_at().term(), member.stopped_at().number()});
        } else {
            choice.addMissing(member.id());
        }
    }
    return choice;
}

asio::awaitable<bool> PrimarySupervisor::awaitPrimaryRole(wire::PoolMember member, std::uint64_t generation)
{
    const auto deadline = Clock::now() + promotionTimeout;
    while (isCurrent(generation) && Clock::now() < deadline) {
        const auto answer = co_await m_databaseCalls.call(member, Command::Status, 0, callTimeout);
        if (!isCurrent(generation)) {
            co_return false;
        }
        updateHighestTerm(member.service(), {{member.id(), answer}});
        if (answer.status && answer.status->primary) {
            co_return true;
        }
        if (answer.reach == Reach::Refused || answer.reach == Reach::Replaced) {
            co_return false;
        }
        co_await sleepFor(pollInterval);
    }
    co_return false;
}

} // namespace waxwing::control
