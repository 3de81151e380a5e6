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
/// As long as an equal share is large enough, every proxy holds its own. Otherwise a few proxies of each failure domain hold
/// all connections, and the others pass their statements to them.
class ConnectionHolders
{
public:
    struct Options
    {
        std::size_t reserved = 2; ///< connections of each database that are left to control
        std::size_t sharedFrom = 3; ///< with an equal share of this many connections, every proxy holds its own again
        std::size_t gatheredBelow = 2; ///< with an equal share below this, holders are named: a transaction must leave one free
        std::size_t connections = 6; ///< of a holder to a database, at least: transactions hold one while their callers pause
    };

    struct Proxy
    {
        std::string name;
        std::string link; ///< IP:port; a proxy without one can't be a holder
        std::string failureDomain;
        bool draining = false;
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

    /// @brief Tells whether any service needs holders.
    /// @param proxies number of live proxies
    bool needsHolders(std::size_t proxies, const std::map<std::string, std::size_t, std::less<>> &limits) const;

    /// @brief Forgets all holders.
    void clear();

    /// @brief Takes over the live proxies and the services with their limits of connections to one database.
    /// @return true if the holders of a service have changed
    bool update(std::span<const Proxy> proxies, const std::map<std::string, std::size_t, std::less<>> &limits);

    /// @brief Holders of a service; empty while every proxy holds its share.
    std::span<const Holder> holders(std::string_view service) const;

private:
    std::size_t usable(std::size_t limit) const;
    bool isGathered(std::size_t connections, std::size_t proxies, bool before) const;
    std::vector<Holder> choose(const std::string &service, std::span<const Proxy> proxies, std::size_t connections, const std::vector<Holder> &before,
                               std::map<std::string, std::size_t, std::less<>> &load) const;

    Options m_options;
    std::map<std::string, std::vector<Holder>, std::less<>> m_holders; ///< by service; without an entry every proxy holds its share
};

} // namespace waxwing::control
