#pragma once

#include <waxwing/coordination/epoch_lease.h>
#include <waxwing/sessions/service_state.h>
#include <waxwing/state/pool_config.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief What control told this proxy: configuration, directory and lease.
class SessionDirectory
{
public:
    struct Options
    {
        std::string proxy; ///< name of this process
        std::string failureDomain;
        std::map<std::string, std::string> regions; ///< region by failure domain
        std::size_t reservedConnections = 2; ///< of each database, for control
        std::size_t warmConnections = 2; ///< opened to each database ahead of use; a crest needs them within milliseconds
        Duration drainLimit = 7s; ///< a database takes new statements for this long after it said that it leaves
        std::size_t connectionLimit = 12; ///< to one database; four times its slots, since open transactions hold connections while callers pause
    };

    SessionDirectory(const boost::asio::any_io_executor &executor, Options options);

    /// @brief Takes over a grant or push.
    /// @param sentAt when the renewal that it answers was sent; the epoch of the clock for a push
    void apply(const wire::PoolGrant &grant, TimePoint sentAt);

    /// @brief Closes connections that are not needed any more, and opens missing ones.
    void tick(TimePoint now);

    /// @brief Ends all waits for a primary or a connection.
    void endWaits();

    /// @brief Closes the connections to databases that are in use, so that what they run ends at once.
    void interrupt();

    /// @brief Gives up an epoch, and closes it if that is asked for.
    /// @return confirmation with what this proxy acknowledged; without the process's own fields
    wire::PoolWithdrawn withdraw(const wire::PoolWithdraw &request, TimePoint now);

    /// @brief Configuration in force; null before the first. Shared with sessions, which keep one for an operation.
    const std::shared_ptr<const PoolConfig> &config() const
    {
        return m_config;
    }

    std::uint64_t configVersion() const
    {
        return m_config ? m_config->version : 0;
    }

    std::uint64_t directoryVersion() const
    {
        return m_directoryVersion;
    }

    /// @brief Finds a service.
    /// @return the service, or null if it is not known
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

    /// @brief Tells whether this proxy can serve: it has the configuration, the directory and a lease.
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

private:
    void applyDocument(const wire::PoolGrant &grant);
    void applyServices(const wire::PoolGrant &grant);
    void applyMembers(ServiceState &service, const wire::PoolServiceView &view);
    void updateLimits();

    boost::asio::any_io_executor m_executor;
    Options m_options;
    std::shared_ptr<const PoolConfig> m_config; // see config()
    EpochLease m_lease;
    std::uint64_t m_controlTerm = 0;
    std::uint64_t m_directoryVersion = 0;
    std::uint32_t m_sharePermille = 1000; ///< part of the connections to each database
    std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> m_services;
};

} // namespace waxwing
