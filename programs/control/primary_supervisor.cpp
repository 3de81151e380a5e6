#include "primary_supervisor.h"

#include "primary_supervisor_timing.h"

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

// Proxies repeat their reports every 150 ms; older reports are ignored.
constexpr Duration maxReportAge = 600ms;
constexpr Duration checkTimeout = 350ms; // connect, start and status: three round trips of 40 ms, and a slot of up to 200 ms
// Consecutive checks that must find a primary reachable, but cut off or stalled, before it is replaced.
constexpr unsigned suspicionThreshold = 3;
// When all replicas lag by at least this much, the primary serves every read alone. A promoted replica keeps everything that
// it has received, applied or not, and the former primary becomes a replica without lag. A primary change stops writes for
// 0.5 to 1.3 s, so a shorter lag does not justify one.
constexpr Duration lagThreshold = 4s;
constexpr Duration lagChangeInterval = 5s; // minimum time since the last primary change of the service
constexpr Duration claimCheckInterval = 500ms; // longer than a call; the next heartbeat corrects the claim of a replaced primary
constexpr Duration unconfirmedLogInterval = 1s; // an unconfirmed primary is queried again every 150 ms
constexpr double half = 0.5;

} // namespace

PrimarySupervisor::PrimarySupervisor(asio::io_context &context, State state, const SessionControlPorts &ports, Options options, std::function<void()> publish)
    : m_context(context)
    , m_state(state)
    , m_ports(ports)
    , m_options(std::move(options))
    , m_publish(std::move(publish))
    , m_databaseCalls(context, m_options.name)
{
}

void PrimarySupervisor::reset(bool leads)
{
    ++m_generation;
    m_leads = leads;
    m_services.clear();
    m_databaseCalls.closeAll();
}

void PrimarySupervisor::report(const std::string &proxy, const wire::PoolRenewal &renewal, TimePoint now)
{
    for (const auto &report : renewal.reports()) {
        const auto *record = m_state.machine.service(report.service());
        if (record != nullptr && record->epoch() == report.epoch()) {
            serviceState(report.service()).reports[proxy] = {now, report.unreachable(), report.stalled(), report.lagging()};
        }
    }
}

void PrimarySupervisor::confirmWithdrawal(const wire::PoolWithdrawn &message)
{
    const auto found = m_services.find(message.service());
    if (found != m_services.end()) {
        found->second.term = std::max(found->second.term, message.acknowledged().term());
        found->second.withdrawal.confirm(message);
    }
}

std::vector<wire::PoolMember> PrimarySupervisor::members(const std::string &name) const
{
    std::vector<wire::PoolMember> members;
    for (const auto *entry : m_state.directory.members(name)) {
        members.push_back(entry->member);
    }
    return members;
}

void PrimarySupervisor::tick(TimePoint now, bool directoryComplete)
{
    m_directoryComplete = directoryComplete;
    std::set<std::string> names;
    for (const auto &[id, entry] : m_state.directory.entries()) {
        names.insert(entry.member.service());
    }
    for (const auto &[name, record] : m_state.machine.services()) {
        names.insert(name);
    }
    for (const auto &name : names) {
        auto &service = serviceState(name);
        const auto *record = m_state.machine.service(name);
        if (service.busy || now < service.nextCheckAt) {
            continue;
        }
        if (record == nullptr) {
            if (directoryComplete) {
                adoptFirstPrimary(name, service);
            }
        } else {
            superviseCurrentPrimary(name, service, *record, now, directoryComplete);
        }
    }
}

void PrimarySupervisor::adoptFirstPrimary(const std::string &name, Service &service)
{
    const wire::PoolMember *primary = nullptr;
    for (const auto *entry : m_state.directory.members(name)) {
        if (entry->member.primary()) {
            if (primary != nullptr) {
                reportUnconfirmed(name, entry->member.id(), "several-claims"); // one of them will report soon that it does not lead
                return;
            }
            primary = &entry->member;
        }
    }
    if (primary != nullptr) {
        service.busy = true;
        asio::co_spawn(m_context, adoptPrimary(name, *primary), asio::detached);
    }
}

void PrimarySupervisor::superviseCurrentPrimary(const std::string &name, Service &service, const wire::EpochRecord &record, TimePoint now,
                                                bool directoryComplete)
{
    if (record.primary().empty()) {
        service.busy = true;
        asio::co_spawn(m_context, changePrimary(name, "unfinished"), asio::detached);
        return;
    }
    const auto *entry = m_state.directory.find(record.primary());
    if (entry == nullptr) {
        if (directoryComplete) {
            service.busy = true;
            asio::co_spawn(m_context, changePrimary(name, "gone"), asio::detached);
        }
        return;
    }
    if (entry->member.draining() && isReplaceable(name) && directoryComplete) {
        service.busy = true;
        asio::co_spawn(m_context, changePrimary(name, "draining"), asio::detached);
        return;
    }
    const auto members = m_state.directory.members(name);
    const auto claimant
        = std::find_if(members.begin(), members.end(), [&](const auto *other) { return other->member.primary() && other->member.id() != record.primary(); });
    if (claimant != members.end() && now >= service.nextClaimCheckAt) {
        service.nextClaimCheckAt = now + claimCheckInterval;
        asio::co_spawn(m_context, checkClaim(name, (*claimant)->member), asio::detached);
    }
    superviseAbsent(name, service, entry->member, now);
    const bool reported = std::any_of(service.reports.begin(), service.reports.end(), [&](const auto &item) { return now - item.second.at < maxReportAge; });
    if (reported || !entry->member.primary()) {
        service.busy = true;
        asio::co_spawn(m_context, checkPrimary(name, entry->member), asio::detached);
    } else {
        service.suspicions = 0;
    }
}

asio::awaitable<void> PrimarySupervisor::checkClaim(std::string name, wire::PoolMember claimant)
{
    const auto generation = m_generation;
    const auto *record = m_state.machine.service(name);
    const auto term = record == nullptr ? 0 : record->term();
    const auto answer = co_await m_databaseCalls.call(claimant, Command::StepDown, term, callTimeout);
    if (!isCurrent(generation)) {
        co_return;
    }
    updateHighestTerm(name, {{claimant.id(), answer}});
    const bool leadsLater = answer.status && answer.status->primary && answer.status->term > term;
    Metrics::instance().counter("waxwing_control_claims_total", "result", leadsLater ? "later-term" : "replaced").add();
    log::write(log::Level::Warning, "database claims to lead beside the primary",
               {{"service", name}, {"database", claimant.id()}, {"answer", reachName(answer)}, {"term", term}, {"leads_later", leadsLater}});
    auto &service = serviceState(name);
    if (leadsLater && !service.busy) {
        service.busy = true;
        co_await changePrimary(name, "overtaken");
    }
}

bool PrimarySupervisor::isReplaceable(const std::string &name) const
{
    const auto all = m_state.directory.members(name);
    return std::any_of(all.begin(), all.end(), [](const auto *other) { return !other->member.draining(); });
}

asio::awaitable<void> PrimarySupervisor::sleepFor(Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> PrimarySupervisor::adoptPrimary(std::string name, wire::PoolMember member)
{
    const auto generation = m_generation;
    const auto answer = co_await m_databaseCalls.call(member, Command::Status, 0, callTimeout);
    const bool confirmed = answer.status && answer.status->primary;
    if (isCurrent(generation) && confirmed) {
        updateHighestTerm(name, {{member.id(), answer}});
        const bool accepted = co_await setPrimary(name, 0, member.id());
        log::write(log::Level::Info, "first primary", {{"service", name}, {"primary", member.id()}, {"accepted", accepted}});
        m_publish();
    } else if (isCurrent(generation)) {
        reportUnconfirmed(name, member.id(), reachName(answer));
    }
    if (generation == m_generation) {
        serviceState(name).busy = false;
        serviceState(name).nextCheckAt = Clock::now() + (confirmed ? Duration::zero() : retryDelay);
    }
}

void PrimarySupervisor::reportUnconfirmed(const std::string &name, const std::string &database, const std::string &reach)
{
    Metrics::instance().counter("waxwing_control_primaries_unconfirmed_total", "reach", reach).add();
    const auto now = Clock::now();
    auto &service = serviceState(name);
    if (now < service.nextUnconfirmedLogAt) {
        return;
    }
    service.nextUnconfirmedLogAt = now + unconfirmedLogInterval;
    log::write(log::Level::Warning, "primary not confirmed", {{"service", name}, {"database", database}, {"reach", reach}});
}

std::size_t PrimarySupervisor::countReports(const Service &service, bool Report::*kind, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(service.reports.begin(), service.reports.end(), [&](const auto &item) {
        return now - item.second.at < maxReportAge && item.second.*kind && m_state.leases.proxies().contains(item.first);
    }));
}

std::string PrimarySupervisor::evaluate(const std::string &name, Service &service, const DatabaseCalls::Answer &answer) const
{
    const auto now = Clock::now();
    // Only proxies that hold connections observe the primary, so only they count for the majority.
    const auto holders = m_state.holders.holders(name).size();
    const auto observers = static_cast<double>(holders == 0 ? m_state.leases.proxies().size() : holders);
    const auto unreachable = countReports(service, &Report::unreachable, now);
    const auto stalled = countReports(service, &Report::stalled, now);
    const auto *record = m_state.machine.service(name);
    const bool earlierTerm = answer.status && record != nullptr && answer.status->term < record->term();
    if (answer.reach == Reach::Answered && (!answer.status->primary || earlierTerm)) {
        return "not-primary";
    }
    ++service.suspicions;
    // An advancing position shows that the primary still replicates, even if single proxies report a stall.
    const bool progresses = answer.status && service.lastPosition < answer.status->received;
    if (answer.status) {
        service.lastPosition = answer.status->received;
    }
    const bool ended = answer.reach == Reach::Refused || answer.reach == Reach::Replaced;
    if (ended && (service.suspicions >= 2 || unreachable >= 2)) {
        return "refused";
    }
    // A timeout counts only if two proxies, or half of the proxies, confirm it: control itself may be cut off.
    if (answer.reach == Reach::Silent && (unreachable >= 2 || (unreachable >= 1 && static_cast<double>(unreachable) >= observers * half))) {
        return "silent";
    }
    if (answer.reach == Reach::Answered && service.suspicions >= suspicionThreshold) {
        if (static_cast<double>(unreachable) > observers * half) {
            return "cut-off";
        }
        if (progresses) {
            service.suspicions = 0;
        } else if (stalled >= 2 || (stalled >= 1 && static_cast<double>(stalled) >= observers * half)) {
            return "stalled";
        }
    }
    return {};
}

asio::awaitable<void> PrimarySupervisor::checkPrimary(std::string name, wire::PoolMember primary)
{
    const auto generation = m_generation;
    const auto answer = co_await m_databaseCalls.call(primary, Command::Status, 0, checkTimeout);
    if (!isCurrent(generation)) {
        co_return;
    }
    auto &service = serviceState(name);
    updateHighestTerm(name, {{primary.id(), answer}});
    auto verdict = evaluate(name, service, answer);
    const auto now = Clock::now();
    if (verdict.empty() && answer.status && countReports(service, &Report::lagging, now) >= 2 && now - service.changedAt >= lagChangeInterval) {
        const bool replicasLag = co_await areReplicasLagging(name, primary.id());
        if (!isCurrent(generation)) {
            co_return;
        }
        verdict = replicasLag ? "replicas-lag" : "";
    }
    log::write(log::Level::Info, "primary checked",
               {{"service", name},
                {"primary", primary.id()},
                {"answer", reachName(answer)},
                {"reports", service.reports.size()},
                {"suspicions", service.suspicions},
                {"verdict", verdict.empty() ? "kept" : verdict}});
    if (!verdict.empty()) {
        co_await changePrimary(name, verdict);
        co_return;
    }
    service.busy = false;
    service.nextCheckAt = Clock::now() + checkInterval;
}

asio::awaitable<bool> PrimarySupervisor::areReplicasLagging(std::string name, std::string primary)
{
    auto others = members(name);
    std::erase_if(others, [&](const auto &member) { return member.id() == primary || member.draining(); });
    const auto answers = co_await m_databaseCalls.callAll(others, Command::Status, 0, callTimeout);
    co_return !answers.empty()
        && std::all_of(answers.begin(), answers.end(), [](const auto &item) { return item.second.status && item.second.status->lag >= lagThreshold; });
}

} // namespace waxwing::control
