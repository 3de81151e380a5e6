#include "primary_keeper.h"

#include <waxwing/state/message_bytes.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace waxwing::control
{

namespace asio = boost::asio;

namespace
{

using Command = DatabaseCalls::Command;
using Reach = DatabaseCalls::Reach;

// Proxies repeat their evidence every 150 ms; older evidence does not count.
constexpr Duration reportAge = 600ms;
// Between two checks of a primary; a refused one is checked twice, so that a lost packet replaces nothing.
constexpr Duration checkSpacing = 100ms;
constexpr Duration checkLimit = 350ms; // connect, start and status: three round trips of 40 ms, and a slot of up to 200 ms
// Checks in a row that find a primary reachable but useless before it is replaced.
constexpr unsigned patience = 3;
constexpr Duration stepPause = 20ms; // between two looks at a condition
constexpr Duration callLimit = 400ms; // for a command to a database
constexpr Duration catchUpLimit = 600ms; // for a replica to receive what a primary had when it stepped down
constexpr Duration closeLimit = 600ms; // for proxies to confirm that they acknowledge nothing further
// For the answer to an order, doubled after each two that got none: the platform answers within a round trip and then promotes. An order
// whose answer was lost is repeated with a new token, so that waiting longer only leaves the service without a primary.
constexpr Duration orderLimit = 400ms;
constexpr Duration orderLimitHigh = 2s;
constexpr unsigned orderLimitSteps = 3;
constexpr Duration roleLimit = 4s; // a promotion takes 300 to 1,000 ms after the order
constexpr Duration retryPause = 150ms;
// When all replicas lag by more than this, the primary serves every read alone. A replica leads with all that it has
// received, applied or not, and the former primary then is a replica that lags by nothing. The change itself takes 0.5 to
// 1.3 s without writes, so that a shorter lag is waited for.
constexpr Duration lagLimit = 4s;
constexpr Duration lagChangeSpacing = 5s; // since the last change of the service
// A database that has been silent for this long holds nothing that the others lack: they receive within a second.
constexpr Duration silentMemory = 60s;
constexpr double half = 0.5;

/// Tells whether a database took a pause, so that it receives nothing before a term.
bool isStopped(const DatabaseCalls::Answer &answer, std::uint64_t term)
{
    return answer.status && !answer.status->primary && answer.status->pausedTerm >= term;
}

std::string reachName(const DatabaseCalls::Answer &answer)
{
    switch (answer.reach) {
    case Reach::Answered:
        return answer.status->primary ? "primary" : "replica";
    case Reach::Refused:
        return "refused";
    case Reach::Silent:
        return "silent";
    case Reach::Busy:
        break;
    }
    return "busy";
}

} // namespace

PrimaryKeeper::PrimaryKeeper(asio::io_context &context, State state, const SessionControlPorts &ports, std::string name, std::function<void()> publish)
    : m_context(context)
    , m_state(state)
    , m_ports(ports)
    , m_publish(std::move(publish))
    , m_calls(context, std::move(name))
{
}

void PrimaryKeeper::reset(bool leads)
{
    ++m_generation;
    m_leads = leads;
    m_services.clear();
    m_calls.closeAll();
}

void PrimaryKeeper::report(const std::string &proxy, const wire::PoolRenewal &renewal, TimePoint now)
{
    for (const auto &report : renewal.reports()) {
        const auto *record = m_state.machine.service(report.service());
        if (record != nullptr && record->epoch() == report.epoch()) {
            m_services[report.service()].reports[proxy] = {now, report.unreachable(), report.stalled(), report.lagging()};
        }
    }
}

void PrimaryKeeper::withdrawn(const wire::PoolWithdrawn &message)
{
    const auto found = m_services.find(message.service());
    if (found != m_services.end()) {
        found->second.term = std::max(found->second.term, message.acknowledged().term());
        found->second.withdrawal.confirm(message);
    }
}

void PrimaryKeeper::noteSilent(const PoolDirectory::Entry &entry)
{
    m_services[entry.member.service()].silent[entry.member.id()] = entry;
}

std::vector<wire::PoolMember> PrimaryKeeper::members(const std::string &name) const
{
    std::vector<wire::PoolMember> members;
    for (const auto *entry : m_state.directory.members(name)) {
        members.push_back(entry->member);
    }
    return members;
}

void PrimaryKeeper::tick(TimePoint now, bool collected)
{
    m_collected = collected;
    std::set<std::string> names;
    for (const auto &[id, entry] : m_state.directory.entries()) {
        names.insert(entry.member.service());
    }
    for (const auto &[name, record] : m_state.machine.services()) {
        names.insert(name);
    }
    for (const auto &name : names) {
        auto &service = m_services[name];
        const auto *record = m_state.machine.service(name);
        if (service.busy || now < service.nextCheck) {
            continue;
        }
        if (record == nullptr) {
            if (collected) {
                considerFirst(name, service);
            }
        } else {
            considerPresent(name, service, *record, now, collected);
        }
    }
}

void PrimaryKeeper::considerFirst(const std::string &name, Service &service)
{
    const wire::PoolMember *primary = nullptr;
    for (const auto *entry : m_state.directory.members(name)) {
        if (entry->member.primary()) {
            if (primary != nullptr) {
                return; // one of the two is about to report that it no longer is
            }
            primary = &entry->member;
        }
    }
    if (primary != nullptr) {
        service.busy = true;
        asio::co_spawn(m_context, adopt(name, *primary), asio::detached);
    }
}

void PrimaryKeeper::considerPresent(const std::string &name, Service &service, const wire::EpochRecord &record, TimePoint now, bool collected)
{
    if (record.primary().empty()) {
        service.busy = true;
        asio::co_spawn(m_context, change(name, "unfinished"), asio::detached);
        return;
    }
    const auto *entry = m_state.directory.find(record.primary());
    if (entry == nullptr) {
        if (collected) {
            service.busy = true;
            asio::co_spawn(m_context, change(name, "gone"), asio::detached);
        }
        return;
    }
    if (entry->member.draining() && isReplaceable(name) && collected) {
        service.busy = true;
        asio::co_spawn(m_context, change(name, "draining"), asio::detached);
        return;
    }
    const bool reported = std::any_of(service.reports.begin(), service.reports.end(), [&](const auto &item) { return now - item.second.at < reportAge; });
    if (reported || !entry->member.primary()) {
        service.busy = true;
        asio::co_spawn(m_context, check(name, entry->member), asio::detached);
    } else {
        service.suspicions = 0;
    }
}

bool PrimaryKeeper::isReplaceable(const std::string &name) const
{
    const auto all = m_state.directory.members(name);
    return std::any_of(all.begin(), all.end(), [](const auto *other) { return !other->member.draining(); });
}

asio::awaitable<void> PrimaryKeeper::pause(Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

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

asio::awaitable<void> PrimaryKeeper::adopt(std::string name, wire::PoolMember member)
{
    const auto generation = m_generation;
    const auto answer = co_await m_calls.call(member, Command::Status, 0, callLimit);
    const bool confirmed = answer.status && answer.status->primary;
    if (isCurrent(generation) && confirmed) {
        learnTerms(name, {{member.id(), answer}});
        const bool accepted = co_await setPrimary(name, 0, member.id());
        log::write(log::Level::Info, "first primary", {{"service", name}, {"primary", member.id()}, {"accepted", accepted}});
        m_publish();
    }
    if (generation == m_generation) {
        m_services[name].busy = false;
        m_services[name].nextCheck = Clock::now() + (confirmed ? Duration::zero() : retryPause);
    }
}

std::size_t PrimaryKeeper::countReports(const Service &service, bool Report::*kind, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(service.reports.begin(), service.reports.end(), [&](const auto &item) {
        return now - item.second.at < reportAge && item.second.*kind && m_state.leases.proxies().contains(item.first);
    }));
}

std::string PrimaryKeeper::judge(Service &service, const DatabaseCalls::Answer &answer) const
{
    const auto now = Clock::now();
    const auto live = static_cast<double>(m_state.leases.proxies().size());
    const auto unreachable = countReports(service, &Report::unreachable, now);
    const auto stalled = countReports(service, &Report::stalled, now);
    if (answer.reach == Reach::Answered && !answer.status->primary) {
        return "not-primary";
    }
    ++service.suspicions;
    // Writes that go on show that a primary has its replica, whatever single proxies miss.
    const bool progresses = answer.status && service.lastPosition < answer.status->received;
    if (answer.status) {
        service.lastPosition = answer.status->received;
    }
    if (answer.reach == Reach::Refused && (service.suspicions >= 2 || unreachable >= 2)) {
        return "refused";
    }
    // Silence that two proxies confirm; one observer may itself be cut off.
    if (answer.reach == Reach::Silent && (unreachable >= 2 || (unreachable >= 1 && static_cast<double>(unreachable) >= live * half))) {
        return "silent";
    }
    if (answer.reach == Reach::Answered && service.suspicions >= patience) {
        if (static_cast<double>(unreachable) > live * half) {
            return "cut-off";
        }
        if (progresses) {
            service.suspicions = 0;
        } else if (stalled >= 2 || (stalled >= 1 && static_cast<double>(stalled) >= live * half)) {
            return "stalled";
        }
    }
    return {};
}

asio::awaitable<void> PrimaryKeeper::check(std::string name, wire::PoolMember primary)
{
    const auto generation = m_generation;
    const auto answer = co_await m_calls.call(primary, Command::Status, 0, checkLimit);
    if (!isCurrent(generation)) {
        co_return;
    }
    auto &service = m_services[name];
    learnTerms(name, {{primary.id(), answer}});
    auto verdict = judge(service, answer);
    const auto now = Clock::now();
    if (verdict.empty() && answer.status && countReports(service, &Report::lagging, now) >= 2 && now - service.changedAt >= lagChangeSpacing) {
        const bool lag = co_await doReplicasLag(name, primary.id());
        if (!isCurrent(generation)) {
            co_return;
        }
        verdict = lag ? "replicas-lag" : "";
    }
    log::write(log::Level::Info, "primary checked",
               {{"service", name},
                {"primary", primary.id()},
                {"answer", reachName(answer)},
                {"reports", service.reports.size()},
                {"suspicions", service.suspicions},
                {"verdict", verdict.empty() ? "kept" : verdict}});
    if (!verdict.empty()) {
        co_await change(name, verdict);
        co_return;
    }
    service.busy = false;
    service.nextCheck = Clock::now() + checkSpacing;
}

asio::awaitable<bool> PrimaryKeeper::doReplicasLag(std::string name, std::string primary)
{
    auto others = members(name);
    std::erase_if(others, [&](const auto &member) { return member.id() == primary || member.draining(); });
    const auto answers = co_await m_calls.callAll(others, Command::Status, 0, callLimit);
    co_return !answers.empty()
        && std::all_of(answers.begin(), answers.end(), [](const auto &item) { return item.second.status && item.second.status->lag >= lagLimit; });
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
    if (!m_collected && !choice.hasFormer()) {
        co_return std::string(); // a database that is not known yet may hold commits
    }
    if (choice.needsAcknowledged()) {
        m_services[name].withdrawal.close();
        const auto deadline = Clock::now() + closeLimit;
        while (isCurrent(generation) && !advanceWithdrawal(name) && Clock::now() < deadline) {
            co_await pause(stepPause);
        }
        if (!isCurrent(generation)) {
            co_return std::string();
        }
        const auto acknowledged = m_services[name].withdrawal.acknowledged(m_state.leases, Clock::now());
        choice.setAcknowledged(acknowledged);
        log::write(log::Level::Warning, "a database that may hold commits is missing",
                   {{"service", name},
                    {"acknowledged_known", acknowledged.has_value()},
                    {"term", acknowledged ? acknowledged->term : 0},
                    {"number", acknowledged ? acknowledged->position : 0}});
    }
    co_return choice.amongStopped();
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
        const auto choice = makeChoice(name, previous, answers).afterStepDown();
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
    while (isCurrent(generation) && makeChoice(name, previous, answers).afterStepDown().empty() && Clock::now() < deadline) {
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
        for (const auto &[id, entry] : service->second.silent) {
            // It is back, or another database has its address, which shows that its log is gone.
            const bool settled = std::any_of(present.begin(), present.end(),
                                             [&](const auto &member) { return member.id() == id || member.address() == entry.member.address(); });
            if (!settled && id != previous && Clock::now() - entry.heard < silentMemory) {
                choice.addUnknown();
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
