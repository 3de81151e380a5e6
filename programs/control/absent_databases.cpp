#include "primary_supervisor.h"
#include "primary_supervisor_timing.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

// Databases that are gone and may hold commits which the others lack, until another replica is known to have them.
namespace waxwing::control
{

namespace asio = boost::asio;

namespace
{

using Command = DatabaseCalls::Command;

constexpr Duration absenceCheckInterval = 500ms;

} // namespace

void PrimarySupervisor::stopReceiving(wire::PoolMember leaving, std::function<void(wire::PoolMember)> handler)
{
    const auto *record = m_state.machine.service(leaving.service());
    const auto *entry = m_state.directory.find(leaving.id());
    // A later run under its id must not be stopped, and one that leads is replaced instead.
    const bool isReplica = record != nullptr && record->primary() != leaving.id() && entry != nullptr && entry->member.born_ms() == leaving.born_ms();
    if (!isReplica) {
        handler(std::move(leaving));
        return;
    }
    const auto term = std::max(record->term(), serviceState(leaving.service()).term);
    asio::co_spawn(m_context, pauseLeaving(std::move(leaving), term, std::move(handler)), asio::detached);
}

asio::awaitable<void> PrimarySupervisor::pauseLeaving(wire::PoolMember leaving, std::uint64_t term, std::function<void(wire::PoolMember)> handler)
{
    const auto answer = co_await m_databaseCalls.call(leaving, Command::Pause, term + 1, callTimeout);
    // A database of a later term would receive from the primary of that term.
    const bool stopped = isPaused(answer, term + 1) && answer.status->term <= term;
    if (stopped) {
        leaving.mutable_stopped_at()->set_term(answer.status->received.term);
        leaving.mutable_stopped_at()->set_number(answer.status->received.position);
        leaving.set_stopped_in_term(term);
    }
    log::write(log::Level::Info, "leaving database stopped",
               {{"service", leaving.service()},
                {"database", leaving.id()},
                {"answer", reachName(answer)},
                {"stopped", stopped},
                {"term", leaving.stopped_at().term()},
                {"number", leaving.stopped_at().number()}});
    handler(std::move(leaving));
}

bool PrimarySupervisor::isSuperseded(const wire::PoolMember &absent) const
{
    const auto &recorded = m_state.machine.members();
    const auto others = m_state.machine.absent(absent.service());
    const bool hasLaterRun
        = std::any_of(others.begin(), others.end(), [&absent](const auto &other) { return other.id() == absent.id() && other.born_ms() > absent.born_ms(); });
    return hasLaterRun || std::any_of(recorded.begin(), recorded.end(), [&absent](const auto &item) {
               const auto &member = item.second;
               return member.id() == absent.id() || (member.address() == absent.address() && member.born_ms() > absent.born_ms());
           });
}

void PrimarySupervisor::superviseAbsent(const std::string &name, Service &service, const wire::PoolMember &primary, TimePoint now)
{
    const auto absent = m_state.machine.absent(name);
    if (service.checksAbsence || (absent.empty() && service.absentRuns.isEmpty()) || now < service.nextAbsenceCheckAt) {
        return;
    }
    service.nextAbsenceCheckAt = now + absenceCheckInterval;
    service.absentRuns.retain(absent, now);
    if (!absent.empty()) {
        service.checksAbsence = true;
        asio::co_spawn(m_context, checkAbsent(name, primary), asio::detached);
    }
}

asio::awaitable<void> PrimarySupervisor::checkAbsent(std::string name, wire::PoolMember primary)
{
    const auto generation = m_generation;
    const auto epoch = m_state.machine.service(name)->epoch();
    const auto listed = m_state.machine.absent(name);
    const std::vector<wire::PoolMember> absent(listed.begin(), listed.end()); // the list may change meanwhile
    std::vector<wire::PoolMember> unknown;
    std::copy_if(absent.begin(), absent.end(), std::back_inserter(unknown), [this](const auto &member) { return !isSuperseded(member); });
    co_await probeAbsent(name, std::move(unknown), generation);
    if (!isCurrent(generation)) {
        co_return;
    }
    wire::ForgetMembers ended;
    for (const auto &member : absent) {
        if (isSuperseded(member) || serviceState(name).absentRuns.hasEnded(member, Clock::now())) {
            auto &one = *ended.add_members();
            one.set_id(member.id());
            one.set_born_ms(member.born_ms());
        }
    }
    if (ended.members_size() != 0) {
        const bool caughtUp = co_await isAnyReplicaCaughtUp(name, std::move(primary), generation);
        const auto *record = m_state.machine.service(name);
        if (isCurrent(generation) && caughtUp && record != nullptr && record->epoch() == epoch) {
            co_await forget(name, std::move(ended));
        }
    }
    if (isCurrent(generation)) {
        serviceState(name).checksAbsence = false;
    }
}

asio::awaitable<void> PrimarySupervisor::probeAbsent(std::string name, std::vector<wire::PoolMember> absent, std::uint64_t generation)
{
    const auto answers = co_await m_databaseCalls.callAll(absent, Command::Status, 0, callTimeout);
    if (!isCurrent(generation)) {
        co_return;
    }
    for (const auto &member : absent) {
        const auto &answer = answers.at(member.id());
        if (serviceState(name).absentRuns.record(member, answer.reach, Clock::now())) {
            log::write(log::Level::Info, "absent database checked",
                       {{"service", name}, {"database", member.id()}, {"born_ms", member.born_ms()}, {"answer", reachName(answer)}});
        }
    }
}

asio::awaitable<bool> PrimarySupervisor::isAnyReplicaCaughtUp(std::string name, wire::PoolMember primary, std::uint64_t generation)
{
    const auto *record = m_state.machine.service(name);
    const auto term = record == nullptr ? 0 : record->term();
    const auto end = co_await m_databaseCalls.call(primary, Command::Status, 0, callTimeout);
    const bool leads = end.status && end.status->primary && end.status->term >= term;
    if (!leads || !isCurrent(generation)) {
        co_return false;
    }
    auto replicas = members(name);
    // A replica that no later leader knows of does not count.
    std::erase_if(replicas, [&](const auto &member) {
        const auto recorded = m_state.machine.members().find(member.id());
        return member.id() == primary.id() || recorded == m_state.machine.members().end() || recorded->second.born_ms() != member.born_ms();
    });
    const auto deadline = Clock::now() + catchUpTimeout;
    while (isCurrent(generation) && Clock::now() < deadline) {
        const auto answers = co_await m_databaseCalls.callAll(replicas, Command::Status, 0, callTimeout);
        const bool caughtUp = std::any_of(answers.begin(), answers.end(), [&end](const auto &item) {
            const auto &status = item.second.status;
            return status && !status->primary && status->received >= end.status->received;
        });
        if (caughtUp) {
            co_return true;
        }
        co_await sleepFor(pollInterval);
    }
    co_return false;
}

asio::awaitable<bool> PrimarySupervisor::forget(std::string name, wire::ForgetMembers members)
{
    static auto &forgotten = Metrics::instance().counter("waxwing_control_absent_databases_forgotten_total");
    const auto count = members.members_size();
    const auto first = members.members(0).id();
    wire::SessionsCommand command;
    *command.mutable_forget_members() = std::move(members);
    const auto reply = co_await propose(std::move(command));
    const bool done = reply.failure == LogFailure::None;
    if (done) {
        forgotten.add(count);
    }
    log::write(log::Level::Info, "absent databases forgotten", {{"service", name}, {"count", count}, {"first", first}, {"recorded", done}});
    co_return done;
}

} // namespace waxwing::control
