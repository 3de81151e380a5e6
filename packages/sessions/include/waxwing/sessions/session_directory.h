#pragma once

#include <waxwing/coordination/epoch_lease.h>
#include <waxwing/sessions/change_signal.h>
#include <waxwing/sessions/interruption.h>
#include <waxwing/sessions/operation_admission.h>
#include <waxwing/sessions/service_state.h>
#include <waxwing/state/pool_config.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Configuration, database directory and lease that control has sent to this proxy.
class SessionDirectory
{
public:
    struct Options
    {
        std::string proxy; ///< name of this process
        std::string failureDomain;
        std::map<std::string, std::string> regions; ///< region by failure domain
        std::size_t reservedConnections = 2; ///< connections of each database that are reserved for control
        std::size_t warmConnections = 2; ///< connections opened to each database ahead of use; a load peak needs them within milliseconds
        Duration drainLimit = 7s; ///< a draining database gets new statements for this long after it announced that it is leaving
        std::size_t connectionLimit
            = 12; ///< maximum for one database; four times its slots, because open transactions hold connections while their callers pause
        /// A replaced primary stops leading at the moment of the promotion. Otherwise it may go on for as long as it does not reach
        /// the new primary, so that only a lease shows that a database leads.
        bool replacedPrimaryStops = false;
    };

    SessionDirectory(const boost::asio::any_io_executor &executor, Options options);

    /// @brief Applies a grant or push of control.
    /// @param sentAt time at which the renewal that the grant answers was sent; TimePoint() for a push and for an unknown renewal,
    /// which extend no lease
    void apply(const wire::PoolGrant &grant, TimePoint sentAt);

    /// @brief Closes surplus connections and opens missing ones; call it periodically.
    void tick(TimePoint now);

    /// @brief Wakes all statements that wait for a primary or a connection; those that wait for a connection get none.
    void endWaits();

    /// @brief Closes the connections that are in use, which ends the running statements immediately.
    void interrupt();

    /// @brief Withdraws an epoch from the lease, or closes it if the request says so: then its commits aren't acknowledged either.
    /// @return confirmation with the last commit that this proxy acknowledged; the caller fills in the fields of the process
    wire::PoolWithdrawn withdraw(const wire::PoolWithdraw &request, TimePoint now);

    /// @brief Current configuration; null before the first one arrives. Shared, because sessions use one throughout an operation.
    const std::shared_ptr<const PoolConfig> &config() const
    {
        return m_config;
    }

    std::uint64_t configVersion() const
    {
        return m_config ? m_config->version : 0;
    }

    /// @brief Newest version of the configuration that control has named, whether or not it has arrived.
    std::uint64_t newestConfigVersion() const
    {
        return std::max(m_announcedConfigVersion, configVersion());
    }

    /// @brief Tells whether the configuration in force is the latest as far as control has told within the lease. Only then does the
    /// lack of a route prove that there is none.
    bool hasLatestConfig(TimePoint now) const
    {
        return m_config && m_lease.isValid(now) && newestConfigVersion() == configVersion();
    }

    /// @brief Waits until a configuration arrives or is found to be the latest. May return early; check the condition again.
    boost::asio::awaitable<void> waitForConfig(TimePoint deadline)
    {
        return m_configChange.wait(deadline);
    }

    std::uint64_t directoryVersion() const
    {
        return m_directoryVersion;
    }

    /// @brief Link addresses of the members of control, as the directory in force names them.
    const std::vector<std::string> &controlMembers() const
    {
        return m_controlMembers;
    }

    /// @brief Hash of the directory in force as control stated it; 0 if it stated none.
    std::uint64_t contentHash() const
    {
        return m_contentHash;
    }

    /// @brief Hash of the directory in force without holders, as control stated it; 0 if it stated none.
    std::uint64_t databasesHash() const
    {
        return m_databasesHash;
    }

    /// @brief Tells whether control has named a configuration or a directory that is newer than the one in force.
    bool isBehind() const
    {
        return m_announcedConfigVersion > configVersion() || m_announcedDirectory > m_directoryVersion;
    }

    /// @brief Term of the leadership of control whose grant was applied last.
    std::uint64_t controlTerm() const
    {
        return m_controlTerm;
    }

    /// @brief Highest number of a grant of this leadership that has arrived; 0 for none.
    std::uint64_t receivedNumber() const
    {
        return m_receivedNumber;
    }

    /// @brief Finds a service.
    /// @return the service, or null if it is unknown
    ServiceState *service(std::string_view name) const;

    /// @brief All services by name.
    const std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> &services() const
    {
        return m_services;
    }

    const EpochLease &lease() const
    {
        return m_lease;
    }

    /// @brief Rate limits of the workspaces at this proxy.
    OperationAdmission &admission()
    {
        return m_admission;
    }

    /// @brief Returns whether a commit of an epoch may be acknowledged. Once the epoch is withdrawn this takes a replica that must have
    /// received it, or a primary that stops when it is replaced.
    /// @param now time taken after the response of the database was read
    bool mayAcknowledge(std::string_view service, std::uint64_t epoch, TimePoint now) const;

    /// @brief Waits while the lease that an acknowledgement takes has ended, since it may come back.
    /// @param epoch epoch in which a database has answered the commit
    /// @return whether the commit may be acknowledged
    boost::asio::awaitable<bool> awaitAcknowledgement(ServiceState &service, std::uint64_t epoch, TimePoint deadline) const;

    /// @brief Expected time until the lease is renewed after its end.
    /// @return zero while it is valid
    Duration expectedLeaseLoss(TimePoint now);

    /// @brief Tells whether this proxy has a configuration, a directory and a valid lease, all of which it needs to serve.
    bool isReady(TimePoint now) const
    {
        return m_config && m_directoryVersion != 0 && m_lease.isValid(now);
    }

    /// @brief Distance to a failure domain: 0 in the same one, 1 in the same region, 2 elsewhere.
    unsigned distance(std::string_view failureDomain) const;

    const Options &options() const
    {
        return m_options;
    }

    /// @brief Tells whether a replica must have received a commit of a service before it is acknowledged.
    bool isReplicated(std::string_view service) const;

private:
    void applyDocument(const wire::PoolGrant &grant);
    /// Logs and measures by how much the configuration in force is older than the one that control announces.
    void noteAnnounced(std::uint64_t version);
    /// Tells whether this proxy has the content that a grant names by its hash.
    bool hasContentOf(const wire::PoolGrant &grant) const;
    /// Applies the directory or its changes.
    /// @return false if the changes are of a directory that this proxy does not have, or can't be read
    bool applyDirectory(const wire::PoolGrant &grant);
    void applyServices(const wire::PoolGrant &grant, std::uint64_t version);
    void applyMembers(ServiceState &service, const wire::PoolServiceView &view);
    void updateLimits();

    boost::asio::any_io_executor m_executor;
    Options m_options;
    std::shared_ptr<const PoolConfig> m_config; // see config()
    std::uint64_t m_announcedConfigVersion = 0; ///< highest one that a grant has named
    ChangeSignal m_configChange; ///< see waitForConfig()
    EpochLease m_lease;
    OperationAdmission m_admission;
    Interruption m_leaseLoss; ///< from the end of the lease until the next one begins
    std::uint64_t m_controlTerm = 0;
    std::uint64_t m_receivedNumber = 0; ///< see receivedNumber()
    std::uint64_t m_directoryVersion = 0;
    std::uint64_t m_announcedDirectory = 0; ///< latest version that a grant named
    std::vector<std::string> m_controlMembers;
    bool m_waitsEnded = false; ///< see endWaits()
    std::uint64_t m_contentHash = 0; ///< see contentHash()
    std::uint64_t m_databasesHash = 0; ///< see databasesHash()
    std::uint32_t m_sharePermille = 1000; ///< this proxy's share of the connections to each database
    std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> m_services;
};

} // namespace waxwing
