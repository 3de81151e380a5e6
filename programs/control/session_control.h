#pragma once

#include "connection_holders.h"
#include "primary_keeper.h"
#include "session_control_ports.h"
#include "session_leases.h"

#include <waxwing/coordination/log_types.h>
#include <waxwing/coordination/pool_directory.h>
#include <waxwing/state/pool_config.h>
#include <waxwing/state/sessions_machine.h>
#include <waxwing/support/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace waxwing::control
{

/// @brief The decisions of a member of control for a deployment that serves sessions. One thread.
///
/// Only the leader acts; the others refer proxies to it and pass heartbeats on.
class SessionControl
{
public:
    struct Options
    {
        std::string name;
        Duration heartbeat = 1'200ms; ///< interval of the databases' heartbeats
        SessionLeases::Options leases = {};
    };

    /// What became of a configuration that was sent.
    enum class PutOutcome {
        Accepted,
        Invalid,
        NotLeader,
        Unknown, ///< it may still be accepted
    };

    /// @param machine machine of the log; outlives this object
    SessionControl(boost::asio::io_context &context, Options options, const SessionsMachine &machine, SessionControlPorts ports);

    /// @brief Takes a message of a proxy or of another member.
    /// @param from name of the sender
    void handleMessage(const std::string &from, const wire::PoolEnvelope &message);

    /// @brief Takes note of an applied entry of the log.
    void handleApplied()
    {
        m_applied = true;
    }

    /// @brief Does what is due; called every 20 ms or so.
    void tick();

    /// @brief Takes a heartbeat, or a database's word that it leaves.
    /// @return false if no leader is known, so that the database should try another member
    bool beat(const wire::PoolMember &member);

    /// @brief Stores a configuration.
    /// @param document as the operator sent it
    /// @param handler called once; with the problems if it is invalid
    void put(std::string document, std::function<void(PutOutcome outcome, const std::vector<std::string> &errors)> handler);

    /// @brief Reads the newest configuration.
    /// @param handler called once, with null if this member can't be sure which one is the newest
    void read(std::function<void(const std::string *document)> handler);

    /// @brief State for operators.
    /// @param log state of this member's log
    boost::json::object status(const LogStatus &log) const;

    /// @brief Tells whether this member leads and its state is up to date.
    bool isActive() const
    {
        return m_active;
    }

private:
    void handleProxy(const std::string &proxy, const wire::PoolEnvelope &message);
    void forwardProxy(const std::string &proxy, const wire::PoolEnvelope &message);
    void handleRelay(const std::string &from, const wire::PoolRelay &relay);
    void sendToProxy(const std::string &proxy, const wire::PoolEnvelope &message);
    void updateLeadership();
    void referToLeader(const std::string &proxy);
    void activate();
    void deactivate();
    bool isCollected(TimePoint now) const;
    void handleRenewal(const std::string &proxy, const wire::PoolRenewal &renewal);
    void grant(const std::string &proxy, std::uint64_t incarnation, std::uint64_t sequence);
    void fill(SessionLeases::Proxy &proxy, wire::PoolGrant &grant);
    void updateHolders(TimePoint now);
    void fillDirectory(wire::PoolGrant &grant) const;
    void push();
    void takeBeat(const wire::PoolMember &member);
    void record(const wire::PoolMember &member);
    void recordProxy(const std::string &proxy, bool gone, LogPort::Handler handler);
    void applyDocument();

    Options m_options;
    const SessionsMachine &m_machine;
    SessionControlPorts m_ports;
    PoolDirectory m_directory;
    SessionLeases m_leases;
    ConnectionHolders m_holders; ///< before the keeper, which reads it
    std::function<void(const std::string &proxy, const wire::PoolEnvelope &message)> m_sendDirectly;
    std::map<std::string, std::string> m_relays; ///< members through which proxies are reached that this leader does not reach
    PrimaryKeeper m_keeper;
    PoolConfig m_config; ///< document of the machine, decoded
    bool m_active = false;
    bool m_activating = false;
    bool m_applied = false;
    bool m_directoryChanged = false;
    bool m_holdersPending = false; ///< the proxies are not known well enough to name holders
    std::set<std::string> m_departing; ///< proxies whose end was proposed in this leadership and that were not recorded since
    std::map<std::string, TimePoint> m_waiting; ///< proxies that asked while this member did not lead, and when
    std::uint64_t m_epoch = 0; ///< distinguishes answers to requests of an earlier leadership
    std::uint64_t m_term = 0;
    std::uint32_t m_directoryNumber = 0; ///< of this leadership
    TimePoint m_activeSince;
};

} // namespace waxwing::control
