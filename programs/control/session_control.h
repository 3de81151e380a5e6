#pragma once

#include "beat_forwarder.h"
#include "connection_holders.h"
#include "numbered_directory.h"
#include "primary_supervisor.h"
#include "session_control_ports.h"
#include "session_leases.h"

#include <waxwing/coordination/log_types.h>
#include <waxwing/coordination/pool_directory.h>
#include <waxwing/coordination/rate_shares.h>
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

/// @brief Grants leases to proxies and publishes databases, primaries and configuration in a deployment that serves sessions.
/// Single-threaded.
///
/// Only the leader acts. The other members refer proxies to it and forward heartbeats.
class SessionControl
{
public:
    struct Options
    {
        PrimarySupervisor::Options primaries = {};
        Duration heartbeat = 1'200ms; ///< interval of the databases' heartbeats
        SessionLeases::Options leases = {};
        RateShares::Options rates = {};
    };

    /// Outcome of storeConfig().
    enum class StoreOutcome {
        Accepted,
        Invalid,
        NotLeader,
        Unknown, ///< it may still be accepted
    };

    /// @param machine state machine of the log; outlives this object
    SessionControl(boost::asio::io_context &context, Options options, const SessionsMachine &machine, SessionControlPorts ports);

    /// @brief Handles a message from a proxy or another member.
    /// @param from name of the sender
    void handleMessage(const std::string &from, const wire::PoolEnvelope &message);

    /// @brief Records that an entry of the log was applied; the next tick() takes it into account.
    void handleApplied()
    {
        m_entryApplied = true;
    }

    /// @brief Expires leases and databases, and sends changed grants to proxies. Must be called about every 20 ms.
    void tick();

    /// @brief Handles a heartbeat. A draining database relies on the acknowledgement, which waits for the leader then.
    /// @param handler called once; with false if the database should try another member: no leader is known, or it does not confirm that
    /// the database drains
    void heartbeat(const wire::PoolMember &member, std::function<void(bool acknowledged)> handler);

    /// @brief Handles a database's notice that it ends.
    /// @param member id, and the start of the run if the database tells it
    /// @param handler called once; with false if the log may lack the notice, so that the database should try another member
    void deregister(const wire::PoolMember &member, std::function<void(bool recorded)> handler);

    /// @brief Handles a message to a proxy or member that provably was not sent.
    /// @param to name of the proxy, or link address of the member
    void handleNotSent(const std::string &to, const wire::PoolEnvelope &message);

    /// @brief Counts a heartbeat that names no database to use, and logs it unless one was logged within the last 5 s.
    /// @param reason value of the counter's label
    void ignoreHeartbeat(std::string_view reason);

    /// @brief Stores a configuration.
    /// @param document JSON as the operator sent it
    /// @param handler called once; with the problems if it is invalid
    void storeConfig(std::string document, std::function<void(StoreOutcome outcome, const std::vector<std::string> &errors)> handler);

    /// @brief Reads the latest configuration.
    /// @param handler called once; with null if there is none, or if this member can't confirm that its own is the latest
    void readConfig(std::function<void(const std::string *document)> handler);

    /// @brief Returns the status report for operators.
    /// @param log status of this member's log
    boost::json::object status(const LogStatus &log) const;

    /// @brief Returns whether this member leads and its state is up to date.
    bool isActive() const
    {
        return m_active;
    }

private:
    /// What the choice of holders depends on.
    struct HolderInputs
    {
        std::uint64_t proxies = 0; ///< SessionLeases::changes()
        std::uint64_t config = 0; ///< version
        std::size_t recorded = 0; ///< number of proxies in the log
        bool complete = false;

        bool operator==(const HolderInputs &) const = default;
    };

    /// What the log refused to record of a database.
    struct RefusedRecord
    {
        wire::PoolMember member;
        bool silent = false; ///< see recordDatabase()
    };

    void handleProxy(const std::string &proxy, const wire::PoolEnvelope &message);
    void forwardProxy(const std::string &proxy, const wire::PoolEnvelope &message);
    void handleRelay(const std::string &from, const wire::PoolRelay &relay);
    /// Records through which member a proxy is reached; empty for directly.
    void setPath(const std::string &proxy, const std::string &member);
    void sendToProxy(const std::string &proxy, const wire::PoolEnvelope &message);
    void updateLeadership();
    void referToLeader(const std::string &proxy);
    void referWaitingProxies(TimePoint now);
    void followLeader();
    void activate();
    void deactivate();
    bool isDirectoryComplete(TimePoint now) const;
    void handleRenewal(const std::string &proxy, const wire::PoolRenewal &renewal);
    void grant(const std::string &proxy, std::uint64_t incarnation, std::uint64_t sequence);
    void fillGrant(const std::string &name, SessionLeases::Proxy &proxy, wire::PoolGrant &grant, TimePoint now);
    /// @param isLost the proxy was known to lack the former copy
    void logSentConfiguration(const std::string &name, const ContentDelivery &delivery, bool isLost, TimePoint now);
    void reportSentConfigurations(TimePoint now);
    void logLateConfirmation(const std::string &proxy, const ContentDelivery &before, std::uint64_t held, TimePoint now) const;
    /// Adds the proxy's parts of the rate limits to a grant.
    void fillRates(const std::string &proxy, wire::PoolGrant &grant, TimePoint now);
    Duration renewalInterval() const;
    const std::string &compressedDocument();
    void updateHolders(TimePoint now);
    wire::PoolGrant makeDirectory() const;
    void numberDirectory(TimePoint now);
    void pushUpdates(TimePoint now);
    void handleBeat(const std::string &from, const wire::PoolBeat &beat);
    void handleHeartbeat(const wire::PoolMember &member);
    void handleDeregistration(const wire::PoolMember &member, std::function<void(bool recorded)> handler);
    void recordDeregistration(const wire::PoolMember &leaving, std::function<void(bool recorded)> handler);
    /// Records what a database said of itself, or that it is gone: the next leader starts from it.
    /// @param silent it is removed since its heartbeats stopped
    void recordDatabase(const wire::PoolMember &member, bool silent);
    /// Repeats the records that the log refused.
    void recordRefused(TimePoint now);
    void recordProxy(const std::string &proxy, bool gone, LogPort::Handler handler);
    void applyConfig();

    Options m_options;
    const SessionsMachine &m_machine;
    SessionControlPorts m_ports;
    PoolDirectory m_directory;
    SessionLeases m_leases;
    RateShares m_rates;
    std::set<std::string, std::less<>> m_limitedWorkspaces; ///< whose demand exceeds their limit
    ConnectionHolders m_holders; ///< declared before the supervisor, which reads it
    BeatForwarder m_beats;
    std::function<void(const std::string &proxy, const wire::PoolEnvelope &message)> m_sendDirectly;
    std::map<std::string, std::string> m_relayMembers; ///< by proxy: the member that relays messages to a proxy out of reach of this leader
    PrimarySupervisor m_supervisor;
    PoolConfig m_config; ///< decoded from the document of the state machine
    std::string m_compressedDocument; ///< see compressedDocument()
    std::uint64_t m_compressedVersion = 0; ///< of m_compressedDocument
    HolderInputs m_holderInputs; ///< of the last choice
    bool m_active = false;
    bool m_firstStart = false; ///< no earlier leader recorded a proxy
    bool m_activating = false;
    bool m_entryApplied = false;
    bool m_directoryChanged = false;
    bool m_holdersPending = false; ///< too few proxies are known yet to choose holders
    std::set<std::string> m_departingProxies; ///< proxies whose removal was proposed in this leadership and that were not recorded again since
    std::map<std::string, TimePoint> m_proxiesAwaitingLeader; ///< proxies that renewed while this member did not lead, and when
    std::string m_referredLeader; ///< link address to which m_proxiesAwaitingLeader were referred last
    std::uint64_t m_generation = 0; ///< counts leaderships, so that results of requests of an earlier one are ignored
    std::uint64_t m_term = 0;
    NumberedDirectory m_numberedDirectory;
    TimePoint m_directoryNumberedAt;
    TimePoint m_activeSince;
    std::map<std::string, RefusedRecord> m_refusedRecords; ///< by database
    TimePoint m_nextRecordAt; ///< of m_refusedRecords
    std::uint64_t m_ignoredHeartbeats = 0; ///< since the last log line about them
    TimePoint m_nextIgnoredLogAt;
    std::uint64_t m_messageNumber = 0; ///< of the last grant; never begins anew, so that numbers of proxies that come back are not used twice
    std::uint64_t m_firstCopies = 0; ///< first copies of a configuration that were sent since the last log line about them
    TimePoint m_nextFirstCopiesLogAt;
};

} // namespace waxwing::control
