#pragma once

#include <waxwing/support/time.h>
#include <waxwing/transport/message_link.h>
#include <waxwing/wire/waxwing.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace waxwing::control_load
{

/// @brief Sums over all fake proxies.
struct LoadTotals
{
    std::uint64_t renewals = 0;
    std::uint64_t renewalBytes = 0;
    std::uint64_t grants = 0;
    std::uint64_t grantBytes = 0;
    std::uint64_t pushes = 0;
    std::uint64_t pushBytes = 0;
    Duration grantTime {}; ///< sum of the times from renewal to grant
};

/// @brief Proxy that only keeps its lease.
class FakeProxy
{
public:
    using VersionSeen = std::function<void(std::uint64_t version)>;

    /// @brief Starts to renew.
    /// @param context runs all callbacks
    /// @param name name of the proxy
    /// @param address link address of the control leader
    /// @param key link key, may be empty
    /// @param offset time to the first renewal, so that the renewals of all proxies are spread
    /// @param onVersion called when a new configuration version arrives
    FakeProxy(boost::asio::io_context &context, const std::string &name, std::string address, const LinkKey &key, Duration offset, LoadTotals &totals,
              VersionSeen onVersion);

    std::uint64_t configVersion() const
    {
        return m_configVersion;
    }

private:
    void renew();
    void schedule(Duration delay);
    void receive(const wire::Envelope &message);

    std::string m_name;
    std::string m_address;
    LoadTotals &m_totals;
    VersionSeen m_onVersion;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<MessageLink> m_link;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_configVersion = 0;
    std::uint64_t m_directoryVersion = 0;
    TimePoint m_sentAt;
};

} // namespace waxwing::control_load
