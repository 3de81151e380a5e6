#include "primary_keeper.h"
#include "primary_keeper_limits.h"

#include <waxwing/state/message_bytes.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

// The change of a primary, from the new epoch to its publication.
namespace waxwing::control
{

namespace asio = boost::asio;

namespace
{

using Command = DatabaseCalls::Command;
using Reach = DatabaseCalls::Reach;

constexpr Duration stepPause = 20ms; // between two looks at a condition
constexpr Duration catchUpLimit = 600ms; // for a replica to receive what a primary had when it stepped down
constexpr Duration closeLimit = 600ms; // for proxies to confirm that they acknowledge nothing further
// For the answer to an order, doubled after each two that got none: the platform answers within a round trip and then
// promotes. An order whose answer was lost is repeated with a new token, so that waiting longer only leaves the service
// without a primary.
constexpr Duration orderLimit = 400ms;
constexpr Duration orderLimitHigh = 2s;
constexpr unsigned orderLimitSteps = 3;
constexpr Duration roleLimit = 4s; // a promotion takes 300 to 1,000 ms after the order
// A database that has been silent for this long holds nothing that the others lack: they receive within a second.
constexpr Duration silentMemory = 60s;

/// Tells whether a database took a pause, so that it receives nothing before a term.
bool isStopped(const DatabaseCalls::Answer &answer, std::uint64_t term)
{
    return answer.status && !answer.status->primary && answer.status->pausedTerm >= term;
}

} // namespace

asio::awaitable<LogReply> PrimaryKeeper::propose(wire::SessionsCommand command)
{
    auto initiate = [this](auto handler, std::vector<std::byte> bytes) {
        // Shared: the port takes copyable handlers only.
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        m_ports.log.propose(std::move(bytes), [this, shared](LogReply &&reply) {
            asio::post(m_context, [shared, reply = std::move(reply)]() mutable { (*shared)(std::move(reply)); });
        });
    };
    auto bytes = encodeMessage(command);
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<> &, void(LogReply)>(std::move(initiate), asio::use_awaitable, std::move(bytes));
}

asio::awaitable<std::optional<std::uint64_t>> PrimaryKeeper::startEpoch(std::string name, std::uint64_t expected)
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

asio::awaitable<bool> PrimaryKeeper::setPrimary(std::string name, std::uint64_t epoch, std::string primary)
{
    wire::SessionsCommand command;
    command.mutable_set_primary()->set_service(name);
    command.mutable_set_primary()->set_epoch(epoch);
    command.mutable_set_primary()->set_primary(primary);
    command.mutable_set_primary()->set_term(m_services[name].term);
    const auto reply = co_await propose(std::move(command));
    wire::SessionsResult result;
    co_return reply.failure == LogFailure::None &&decodeMessage(reply.result, result) && result.accepted();
}

asio::awaitable<void> PrimaryKeeper::change(std::string name, std::string cause)
{
    static auto &changes = Metrics::instance().counter("waxwing_control_primary_changes_total");
    const auto generation = m_generation;
    const auto startedAt = Clock::now();
    changes.add();
    log::write(log::Level::Warning, "primary change started", {{"service", name}, {"cause", cause}});
    bool done = false;
    bool primaryLost = cause == "refused" || cause == "silent";
    while (isCurrent(generation) && !done) {
        done = co_await changeOnce(name, generation, std::exchange(primaryLost, false));
        if (!done && isCurrent(generation)) {
            co_await pause(retryPause);
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
    auto &service = m_services[name];
    service.busy = false;
    service.changedAt = Clock::now();
    service.suspicions = 0;
    service.reports.clear();
    service.nextCheck = Clock::now() + checkSpacing;
}

bool PrimaryKeeper::advanceWithdrawal(const std::string &name)
{
    return m_services[name].withdrawal.advance(name, m_state.leases, Clock::now(), m_ports.sendToProxy);
}

asio::awaitable<bool> PrimaryKeeper::changeOnce(const std::string &name, std::uint64_t generation, bool primaryLost)
{
    const auto *record = m_state.machine.service(name);
    if (record == nullptr) {
        co_return true;
    }
    const auto previous = record->primary().empty() ? record->previous() : record->primary();
    // Replicas that received nothing since the last promotion know an earlier term only; a pause of that term plus one would
    // not keep the present primary's commits away.
    m_services[name].term = std::max(m_services[name].term, record->term());
    const auto epoch = co_await startEpoch(name, record->epoch());
    if (!epoch || !isCurrent(generation)) {
        co_return false;
    }
    m_publish();
    m_services[name].withdrawal.start(*epoch);
    advanceWithdrawal(name);
    std::string candidate;
    if (primaryLost) {
        candidate = co_await chooseAfterLoss(name, previous, generation);
    }
    while (isCurrent(generation) && candidate.empty()) {
        candidate = co_await choose(name, previous, generation);
        if (!isCurrent(generation)) {
            co_return false;
        }
        if (!candidate.empty()) {
            break;
        }
        advanceWithdrawal(name);
        co_await pause(retryPause);
    }
    while (isCurrent(generation) && !advanceWithdrawal(name)) {
        co_await pause(stepPause);
    }
    log::write(log::Level::Info, "candidate chosen",
               {{"service", name}, {"candidate", candidate}, {"epoch", *epoch}, {"term", m_services[name].term}, {"proxies", m_state.leases.proxies().size()}});
    const auto *entry = m_state.directory.find(candidate);
    if (!isCurrent(generation) || entry == nullptr) {
        co_return false;
    }
    const wire::PoolMember target = entry->member;
    const bool ordered = co_await order(name, candidate, *epoch);
    if (!ordered || !isCurrent(generation)) {
        co_return false;
    }
    const bool leads = co_await awaitRole(target, generation);
    if (!leads || !isCurrent(generation)) {
        co_return false;
    }
    if (target.draining() && isReplaceable(name)) {
        // It had the longest log, but takes no new statements: the next round hands its log on.
        log::write(log::Level::Info, "leaving database leads for its log only", {{"service", name}, {"database", candidate}, {"epoch", *epoch}});
        co_return false;
    }
    const bool accepted = co_await setPrimary(name, *epoch, candidate);
    m_publish();
    co_return accepted;
}

asio::awaitable<bool> PrimaryKeeper::order(std::string name, std::string candidate, std::uint64_t epoch)
{
    if (!WAXWING_INVARIANT(epoch > m_services[name].lastToken, "fencing-token-increases")) {
        co_return false;
    }
    m_services[name].lastToken = epoch;
    const auto orderedAt = Clock::now();
    const auto limit = std::min(orderLimitHigh, orderLimit * (1U << std::min(m_services[name].unanswered / 2, orderLimitSteps)));
    const auto answer = co_await m_ports.orderPromotion(name, candidate, epoch, limit);
    auto &unanswered = m_services[name].unanswered;
    unanswered = answer == OrderAnswer::None ? unanswered + 1 : 0;
    log::write(log::Level::Info, "promotion ordered",
               {{"service", name},
                {"candidate", candidate},
                {"epoch", epoch},
                {"answer",
                 answer == OrderAnswer::Accepted       ? "accepted"
                     : answer == OrderAnswer::Conflict ? "conflict"
                                                       : "none"},
                {"limit_ms", toMilliseconds(limit).count()},
                {"took_ms", toMilliseconds(Clock::now() - orderedAt).count()}});
    co_return answer == OrderAnswer::Accepted;
}

void PrimaryKeeper::learnTerms(const std::string &name, const Answers &answers)
{
    auto &term = m_services[name].term;
    for (const auto &[id, answer] : answers) {
        if (answer.status) {
            // Not the term of a pause: a pause with a term that no promotion reaches would never end.
            term = std::max({term, answer.status->term, answer.status->received.term});
        }
    }
}

asio::awaitable<std::string> PrimaryKeeper::chooseAfterLoss(const std::string &name, std::string previous, std::uint64_t generation)
{
    // The primary was just found not to answer, so that the others are asked without it, and with one call.
    const auto term = m_services[name].term;
    if (term == 0) {
        co_return std::string();
    }
    auto others = members(name);
    std::erase_if(others, [&](const auto &member) { return member.id() == previous; });
    const auto answers = co_await m_calls.callAll(others, Command::Pause, term + 1, callLimit);
    if (!isCurrent(generation)) {
        co_return std::string();
    }
    learnTerms(name, answers);
    const bool complete
        = std::all_of(answers.begin(), answers.end(), [&](const auto &item) { return isStopped(item.second, term + 1) && item.second.status->term <= term; });
    if (!complete) {
        co_return std::string();
    }
    co_return co_await chooseAmongStopped(name, previous, answers, generation);
}

asio::awaitable<std::string> PrimaryKeeper::chooseAmongStopped(const std::string &name, std::string previous, Answers answers, std::uint64_t generation)
{
    auto choice = makeChoice(name, previous, answers);
    if (!m_collected && !choice.hasFormerPrimaryLog()) {
        co_return std::string(); // a database that is not known yet may hold commits
    }
    if (choice.needsAcknowledgedPosition()) {
        m_services[name].withdrawal.close();
        const auto deadline = Clock::now() + closeLimit;
        while (isCurrent(generation) && !advanceWithdrawal(name) && Clock::now() < deadline) {
            co_await pause(stepPause);
        }
        if (!isCurrent(generation)) {
            co_return std::string();
        }
        const auto acknowledged = m_services[name].withdrawal.acknowledged(m_state.leases, Clock::now());
        choice.setAcknowledgedPosition(acknowledged);
        log::write(log::Level::Warning, "a database that may hold commits is missing",
                   {{"service", name},
                    {"acknowledged_known", acknowledged.has_value()},
                    {"term", acknowledged ? acknowledged->term : 0},
                    {"number", acknowledged ? acknowledged->position : 0}});
    }
    co_return choice.bestAmongStopped();
}

asio::awaitable<std::string> PrimaryKeeper::choose(const std::string &name, std::string previous, std::uint64_t generation)
{
    auto all = members(name);
    auto answers = co_await m_calls.callAll(all, Command::Status, 0, callLimit);
    if (!isCurrent(generation)) {
        co_return std::string();
    }
    learnTerms(name, answers);
    const auto term = m_services[name].term + 1;
    std::vector<wire::PoolMember> primaries;
    std::vector<wire::PoolMember> others;
    std::uint64_t leadingTerm = 0;
    wire::PoolMember leading;
    for (const auto &member : all) {
        const auto &answer = answers[member.id()];
        const bool leads = answer.status && answer.status->primary;
        (leads ? primaries : others).push_back(member);
        if (leads && answer.status->term >= leadingTerm) {
            leadingTerm = answer.status->term;
            leading = member;
        }
    }
    if (!primaries.empty()) {
        // The primary of the latest term has every acknowledged commit, whichever was published last: an order of before was
        // carried out, though its answer was lost. It only needs the present token.
        const bool receiving = std::all_of(others.begin(), others.end(), [&](const auto &member) {
            const auto &status = answers[member.id()].status;
            return !status || status->pausedTerm <= leadingTerm;
        });
        if (leading.id() != previous && !leading.draining() && receiving) {
            co_return leading.id();
        }
        previous = leading.id();
        const auto stepped = co_await m_calls.callAll(primaries, Command::StepDown, term, callLimit);
        for (const auto &[id, answer] : stepped) {
            answers[id] = answer;
        }
        co_await awaitReplica(name, previous, answers, generation);
        const auto choice = makeChoice(name, previous, answers).bestAfterStepDown();
        if (!isCurrent(generation) || !choice.empty()) {
            co_return choice;
        }
    }
    // The primary may still have its log confirmed by a replica, unless none receives any more.
    const auto paused = co_await m_calls.callAll(others, Command::Pause, term, callLimit);
    if (!isCurrent(generation)) {
        co_return std::string();
    }
    for (const auto &[id, answer] : paused) {
        answers[id] = isStopped(answer, term) ? answer : DatabaseCalls::Answer(); // one that receives may hold more by now
    }
    co_return co_await chooseAmongStopped(name, previous, answers, generation);
}

asio::awaitable<void> PrimaryKeeper::awaitReplica(const std::string &name, std::string previous, Answers &answers, std::uint64_t generation)
{
    auto others = members(name);
    std::erase_if(others, [&](const auto &member) { return member.id() == previous; });
    const auto deadline = Clock::now() + catchUpLimit;
    while (isCurrent(generation) && makeChoice(name, previous, answers).bestAfterStepDown().empty() && Clock::now() < deadline) {
        co_await pause(stepPause);
        const auto again = co_await m_calls.callAll(others, Command::Status, 0, callLimit);
        for (const auto &[id, answer] : again) {
            answers[id] = answer;
        }
    }
}

PrimaryChoice PrimaryKeeper::makeChoice(const std::string &name, const std::string &previous, const Answers &answers) const
{
    PrimaryChoice choice(previous);
    const auto present = members(name);
    for (const auto &member : present) {
        const auto found = answers.find(member.id());
        const bool known = found != answers.end() && found->second.status && !found->second.status->primary;
        choice.add({member.id(), member.draining(), known ? std::optional(found->second.status->received) : std::nullopt});
    }
    if (const auto service = m_services.find(name); service != m_services.end()) {
        for (const auto &item : service->second.silent) {
            const auto &lost = item.second.member;
            // It is back, or another database has its address, which shows that its log is gone.
            const bool settled = std::any_of(present.begin(), present.end(),
                                             [&lost](const auto &member) { return member.id() == lost.id() || member.address() == lost.address(); });
            if (!settled && lost.id() != previous && Clock::now() - item.second.lastHeartbeat < silentMemory) {
                choice.addMissing();
            }
        }
    }
    return choice;
}

asio::awaitable<bool> PrimaryKeeper::awaitRole(wire::PoolMember member, std::uint64_t generation)
{
    const auto deadline = Clock::now() + roleLimit;
    while (isCurrent(generation) && Clock::now() < deadline) {
        const auto answer = co_await m_calls.call(member, Command::Status, 0, callLimit);
        if (!isCurrent(generation)) {
            co_return false;
        }
        learnTerms(member.service(), {{member.id(), answer}});
        if (answer.status && answer.status->primary) {
            co_return true;
        }
        if (answer.reach == Reach::Refused) {
            co_return false;
        }
        co_await pause(stepPause);
    }
    co_return false;
}

} // namespace waxwing::control
