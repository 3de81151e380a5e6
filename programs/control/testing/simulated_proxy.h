#pragma once

#include "simulated_endpoint.h"
#include "simulated_world.h"

#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::control::testing
{

/// @brief Proxy that renews its lease and probes the primary; as owner, it writes and acknowledges writes that a majority has.
class SimulatedProxy
{
public:
    using SendToControl = std::function<void(const std::string &from, std::size_t member, const wire::Envelope &message)>;
    using Acknowledge = std::function<void(const std::string &proxy, std::uint64_t term, std::uint64_t write)>;

    SimulatedProxy(SimulatedWorld &world, SimulatedEndpoint::Peers &endpoints, std::string proxyName, std::string domain, std::size_t controlMembers,
                   SendToControl sendToControl, Acknowledge acknowledge)
        : name(std::move(proxyName))
        , m_world(world)
        , m_endpoints(endpoints)
        , m_domain(std::move(domain))
        , m_clock(world)
        , m_controlMembers(controlMembers)
        , m_sendToControl(std::move(sendToControl))
        , m_acknowledge(std::move(acknowledge))
    {
        start();
    }

    void kill()
    {
        alive = false;
        ++m_incarnation;
    }

    void start()
    {
        if (alive) {
            return;
        }
        alive = true;
        draining = false;
        m_state = {};
        m_state.lastSuccessfulProbe = m_clock.now();
        const auto incarnation = m_incarnation;
        scheduleEvery(incarnation, 400ms, [this] { renew(); });
        scheduleEvery(incarnation, 100ms, [this] { probe(); });
        scheduleEvery(incarnation, 20ms, [this] { write(); });
        scheduleEvery(incarnation, 10ms, [this] { poll(); });
        scheduleEvery(incarnation, 200ms, [this] { searchLeader(); });
    }

    void receiveAnnouncement(const wire::Announcement &announcement)
    {
        if (alive) {
            m_state.announcements[announcement.database()] = announcement;
            renew();
        }
    }

    void receive(std::size_t member, const wire::Envelope &message)
    {
        if (!alive) {
            return;
        }
        if (message.has_grant()) {
            receiveGrant(member, message.grant());
        } else if (message.has_term_withdraw()) {
            m_state.withdrawnTerm = std::max(m_state.withdrawnTerm, message.term_withdraw().term());
            wire::Envelope answer;
            answer.mutable_term_withdrawn()->set_group(message.term_withdraw().group());
            answer.mutable_term_withdrawn()->set_term(message.term_withdraw().term());
            answer.mutable_term_withdrawn()->set_proxy(name);
            m_sendToControl(name, member, answer);
        } else if (message.has_hold_writes()) {
            const auto &hold = message.hold_writes();
            m_state.writesHeldUntil = m_clock.now() + std::chrono::milliseconds(hold.hold_ms());
            m_state.pendingHoldAnswer = hold.hold_ms() == 0 ? std::nullopt : std::optional(std::pair(member, hold.term()));
            answerHoldIfDrained();
        }
    }

    /// @brief Describes the state, for the trace of a failed run.
    std::string describe() const
    {
        return m_state.group.ShortDebugString() + (alive ? " alive" : " dead") + (hasLease() ? " lease" : "") + " withdrawn "
            + std::to_string(m_state.withdrawnTerm) + " in flight " + std::to_string(m_state.inFlight.size());
    }

    const std::string name;
    bool alive = false;
    bool draining = false;

private:
    struct Write
    {
        std::uint64_t id = 0;
        std::uint64_t term = 0;
        std::uint64_t position = 0;
        std::set<std::string> confirmed;
    };

    struct State
    {
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, TimePoint> sentRenewals;
        TimePoint leaseEnd;
        TimePoint lastGrant;
        std::optional<std::size_t> leader; ///< control process that sent the last lease
        std::uint64_t configVersion = 0;
        std::uint64_t directoryVersion = 0;
        wire::GroupDirectory group;
        std::uint64_t withdrawnTerm = 0;
        TimePoint writesHeldUntil;
        std::optional<std::pair<std::size_t, std::uint64_t>> pendingHoldAnswer; ///< control process and term
        std::uint64_t lastPosition = 0;
        std::set<std::uint64_t> inFlight;
        std::map<std::uint64_t, Write> unconfirmed; ///< writes that the primary executed but no majority has confirmed
        TimePoint lastSuccessfulProbe;
        bool probeRefused = false;
        std::string probedPrimary;
        std::map<std::string, wire::Announcement> announcements;
    };

    void scheduleEvery(std::uint64_t incarnation, Duration interval, std::function<void()> function)
    {
        m_world.after(interval / 2 + m_world.random.upTo(interval), [this, incarnation, interval, function = std::move(function)] {
            if (incarnation == m_incarnation && alive) {
                function();
                scheduleEvery(incarnation, interval, function);
            }
        });
    }

    bool hasLease() const
    {
        return m_clock.now() < m_state.leaseEnd;
    }

    bool mayAcknowledge(std::uint64_t term) const
    {
        return hasLease() && term > m_state.withdrawnTerm && m_state.group.term() == term && !m_state.group.primary().empty();
    }

    void renew()
    {
        wire::Envelope message;
        auto &renewal = *message.mutable_renewal();
        renewal.set_sequence(++m_state.sequence);
        renewal.set_proxy(name);
        renewal.set_incarnation(m_incarnation);
        renewal.set_failure_domain(m_domain);
        renewal.set_config_version(m_state.configVersion);
        renewal.set_directory_version(m_state.directoryVersion);
        renewal.set_draining(draining);
        if (m_state.group.owner() == name || !m_state.inFlight.empty()) {
            renewal.add_owned()->set_group("orders");
        }
        for (const auto &[database, announcement] : m_state.announcements) {
            *renewal.add_announcements() = announcement;
        }
        const auto &group = m_state.group;
        if (!group.primary().empty() && (m_state.probeRefused || m_clock.now() - m_state.lastSuccessfulProbe > 300ms)) {
            auto &evidence = *renewal.add_evidence();
            evidence.set_group("orders");
            evidence.set_database(group.primary());
            evidence.set_term(group.term());
            evidence.set_refused(m_state.probeRefused);
        }
        m_state.sentRenewals[m_state.sequence] = m_clock.now();
        if (m_state.leader) {
            m_state.announcements.clear();
            m_sendToControl(name, *m_state.leader, message);
            return;
        }
        for (std::size_t member = 0; member < m_controlMembers; ++member) {
            m_sendToControl(name, member, message);
        }
    }

    void searchLeader()
    {
        if (m_clock.now() - m_state.lastGrant > 600ms) {
            m_state.leader.reset();
            renew();
        }
    }

    void receiveGrant(std::size_t member, const wire::Grant &grant)
    {
        if (grant.sequence() != 0) {
            const auto sent = m_state.sentRenewals.find(grant.sequence());
            if (sent == m_state.sentRenewals.end()) {
                return;
            }
            const auto lease = std::chrono::milliseconds(grant.lease_ms());
            m_state.leaseEnd = std::max(m_state.leaseEnd, sent->second + Duration(lease) * 95 / 100);
            m_state.sentRenewals.erase(m_state.sentRenewals.begin(), std::next(sent));
            m_state.leader = member;
            m_state.lastGrant = m_clock.now();
        }
        m_state.configVersion = std::max(m_state.configVersion, grant.config_version());
        if (grant.directory_version() <= m_state.directoryVersion) {
            return;
        }
        m_state.directoryVersion = grant.directory_version();
        for (const auto &group : grant.groups()) {
            if (group.group() == "orders") {
                m_state.group = group;
                m_state.writesHeldUntil
                    = group.term() > (m_state.pendingHoldAnswer ? m_state.pendingHoldAnswer->second : 0) ? TimePoint {} : m_state.writesHeldUntil;
            }
        }
    }

    void probe()
    {
        const auto &primary = m_state.group.primary();
        if (primary != m_state.probedPrimary) {
            m_state.probedPrimary = primary;
            m_state.lastSuccessfulProbe = m_clock.now();
            m_state.probeRefused = false;
        }
        const auto found = m_endpoints.find(primary);
        if (found == m_endpoints.end()) {
            return;
        }
        m_world.send(name, primary, [this, incarnation = m_incarnation, primary, &endpoint = *found->second] {
            m_world.send(primary, name, [this, incarnation, primary, reachable = endpoint.alive] {
                if (incarnation != m_incarnation || m_state.probedPrimary != primary) {
                    return;
                }
                const bool changed = reachable == m_state.probeRefused;
                m_state.probeRefused = !reachable;
                m_state.lastSuccessfulProbe = reachable ? m_clock.now() : m_state.lastSuccessfulProbe;
                if (changed) {
                    renew();
                }
            });
        });
    }

    void write()
    {
        const auto &group = m_state.group;
        if (group.owner() != name || !mayAcknowledge(group.term()) || m_clock.now() < m_state.writesHeldUntil || draining) {
            return;
        }
        const auto found = m_endpoints.find(group.primary());
        Write write {++m_lastWrite * 1'000 + m_incarnation, group.term(), 0, {}};
        m_state.inFlight.insert(write.id);
        const auto incarnation = m_incarnation;
        m_world.after(1s, [this, incarnation, id = write.id] { finish(incarnation, id); }); // timeout: the outcome is unknown
        m_world.send(name, found->first, [this, incarnation, write, &endpoint = *found->second]() mutable {
            write.position = endpoint.alive ? endpoint.execute(write.term, write.id) : 0;
            m_world.send(endpoint.name, name, [this, incarnation, write, &endpoint]() mutable {
                if (incarnation != m_incarnation) {
                    return;
                }
                if (write.position == 0) {
                    finish(incarnation, write.id);
                    return;
                }
                m_state.lastPosition = write.position;
                write.confirmed.insert(endpoint.name);
                m_state.unconfirmed.emplace(write.id, write);
            });
        });
    }

    /// Polls the positions of the members, and acknowledges the writes that a majority has.
    void poll()
    {
        if (m_state.unconfirmed.empty()) {
            return;
        }
        for (const auto &[database, endpoint] : m_endpoints) {
            m_world.send(name, database, [this, incarnation = m_incarnation, &member = *endpoint] {
                if (!member.alive) {
                    return;
                }
                m_world.send(member.name, name, [this, incarnation, database = member.name, term = member.dataTerm(), position = member.position()] {
                    if (incarnation == m_incarnation) {
                        handlePosition(database, term, position);
                    }
                });
            });
        }
    }

    void handlePosition(const std::string &database, std::uint64_t term, std::uint64_t position)
    {
        std::vector<Write> confirmed;
        for (auto &[id, write] : m_state.unconfirmed) {
            if (term == write.term && position >= write.position) {
                write.confirmed.insert(database);
            }
            if (write.confirmed.size() > m_endpoints.size() / 2) {
                confirmed.push_back(write);
            }
        }
        for (const auto &write : confirmed) {
            if (mayAcknowledge(write.term)) {
                m_acknowledge(name, write.term, write.id);
            }
            finish(m_incarnation, write.id);
        }
    }

    void finish(std::uint64_t incarnation, std::uint64_t id)
    {
        if (incarnation == m_incarnation) {
            m_state.inFlight.erase(id);
            m_state.unconfirmed.erase(id);
            answerHoldIfDrained();
        }
    }

    void answerHoldIfDrained()
    {
        if (!m_state.pendingHoldAnswer || !m_state.inFlight.empty() || m_clock.now() >= m_state.writesHeldUntil) {
            return;
        }
        wire::Envelope message;
        auto &held = *message.mutable_writes_held();
        held.set_group("orders");
        held.set_term(m_state.pendingHoldAnswer->second);
        held.set_position(m_state.lastPosition);
        held.set_drained(true);
        m_sendToControl(name, m_state.pendingHoldAnswer->first, message);
        m_state.pendingHoldAnswer.reset();
    }

    SimulatedWorld &m_world;
    SimulatedEndpoint::Peers &m_endpoints;
    std::string m_domain;
    SimulatedClock m_clock;
    std::size_t m_controlMembers;
    SendToControl m_sendToControl;
    Acknowledge m_acknowledge;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_lastWrite = 0; // not reset by restarts, so that identifiers of writes are unique
    State m_state;
};

} // namespace waxwing::control::testing
