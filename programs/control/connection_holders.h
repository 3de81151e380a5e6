#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief Decides which proxies hold connections to the databases of each service. No I/O.
///
/// If the connections suffice for an equal share of useful size, every proxy holds its own. Otherwise a few proxies of each
/// failure domain (the holders) hold all connections, and the other proxies forward statements to them.
class ConnectionHolders
{
public:
    struct Options
    {
        std::size_t reservedConnections = 2; ///< connections to each database that are reserved for control
        std::size_t shareThreshold = 3; ///< holders are given up when an equal share reaches this many connections
        std::size_t holderThreshold = 2; ///< holders are chosen when an equal share is below this: a transaction must leave one connection free
        std::size_t minHolderConnections = 6; ///< to each database; a transaction occupies one while its caller is idle
    };

    struct Proxy
    {
        std::string name;
        std::string link; ///< IP:port; a proxy without one can't be a holder
        std::string failureDomain;
        bool draining = false;

        bool operator==(const Proxy &) const = default;
    };

    struct Holder
    {
        std::string proxy;
        std::string link;
        std::string failureDomain;
        std::size_t connections = 0; ///< to each database

        bool operator==(const Holder &) const = default;
    };

    ConnectionHolders();
    explicit ConnectionHolders(const Options &options);

    /// @brief Returns whether any service needs holders.
    /// @param proxies number of live proxies
    /// @param limits maximum number of connections to one database, by service; a service with 0 gets no holders
    bool needsHolders(std::size_t proxies, const std::map<std::string, std::size_t, std::less<>> &limits) const;

    /// @brief Removes all holders.
    void clear();

    /// @brief Chooses the holders for the given proxies and services. Costs little while these are as in the last call.
    /// @param proxies all live proxies
    /// @param limits maximum number of connections to one database, by service; a service with 0 gets no holders
    /// @return true if the holders of a service have changed
    bool update(std::span<const Proxy> proxies, const std::map<std::string, std::size_t, std::less<>> &limits);

    /// @brief Returns the holders of a service; empty while every proxy holds its own share.
    std::span<const Holder> holders(std::string_view service) const;

    /// @brief Number of calls of update() that chose anew.
    std::uint64_t choices() const
    {
        return m_choices;
    }

    /// @brief Services whose holders differ after the last update(), which may include services that have none any more.
    const std::vector<std::string> &changedServices() const
    {
        return m_changedServices;
    }

private:
    using Limits = std::map<std::string, std::size_t, std::less<>>;

    std::size_t usableConnections(std::size_t limit) const;
    bool usesHolders(std::size_t connections, std::size_t proxies, bool previous) const;
    std::vector<Holder> chooseHolders(const std::string &service, std::span<const Proxy> proxies, std::size_t connections, const std::vector<Holder> &previous,
                                      std::map<std::string, std::size_t, std::less<>> &servicesPerProxy) const;

    Options m_options;
    std::map<std::string, std::vector<Holder>, std::less<>> m_holders; ///< by service; no entry while every proxy holds its own share
    std::vector<std::string> m_changedServices;
    std::vector<Proxy> m_proxies; ///< for which m_holders were chosen
    Limits m_limits; ///< for which m_holders were chosen
    std::uint64_t m_choices = 0;
};

} // namespace waxwing::control
