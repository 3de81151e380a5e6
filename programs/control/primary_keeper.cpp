#include "primary_keeper.h"

#include "primary_keeper_limits.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/as_tuple.hpp>
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
constexpr Duration checkLimit = 350ms; // connect, start and status: three round trips of 40 ms, and a slot of up to 200 ms
// Checks in a row that find a primary reachable but useless before it is replaced.
constexpr unsigned patience = 3;
// When all replicas lag by more than this, the primary serves every read alone. A replica leads with all that it has
// received, applied or not, and the former primary then is a replica that lags by nothing. The change itself takes 0.5 to
// 1.3 s without writes, so that a shorter lag is waited for.
constexpr Duration lagLimit = 4s;
constexpr Duration lagChangeSpacing = 5s; // since the last change of the service
constexpr Duration unconfirmedLogSpacing = 1s; // a service without a primary is tried each 150 ms
constexpr double half = 0.5;

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
    } else if (isCurrent(generation)) {
        noteUnconfirmed(name, member.id(), reachName(answer));
    }
    if (generation == m_generation) {
        m_services[name].busy = false;
        m_services[name].nextCheck = Clock::now() + (confirmed ? Duration::zero() : retryPause);
    }
}

void PrimaryKeeper::noteUnconfirmed(const std::string &name, const std::string &database, const std::string &reach)
{
    Metrics::instance().counter("waxwing_control_primaries_unconfirmed_total", "reach", reach).add();
    const auto now = Clock::now();
    auto &service = m_services[name];
    if (now < service.nextUnconfirmedLog) {
        return;
    }
    service.nextUnconfirmedLog = now + unconfirmedLogSpacing;
    log::write(log::Level::Warning, "primary not confirmed", {{"service", name}, {"database", database}, {"reach", reach}});
}

std::size_t PrimaryKeeper::countReports(const Service &service, bool Report::*kind, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(service.reports.begin(), service.reports.end(), [&](const auto &item) {
        return now - item.second.at < reportAge && item.second.*kind && m_state.leases.proxies().contains(item.first);
    }));
}

std::string PrimaryKeeper::judge(const std::string &name, Service &service, const DatabaseCalls::Answer &answer) const
{
    const auto now = Clock::now();
    // Proxies without connections notice nothing of a primary, and must not outvote those that do.
    const auto holders = m_state.holders.holders(name).size();
    const auto live = static_cast<double>(holders == 0 ? m_state.leases.proxies().size() : holders);
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
    auto verdict = judge(name, service, answer);
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

} // namespace waxwing::control
