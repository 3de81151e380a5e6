#pragma once

#include <waxwing/coordination/log_port.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/machine.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace waxwing::control
{

/// @brief Passes proposals on to the process that leads a log.
///
/// The leaders of the two logs are elected independently; proxies talk to the leader of the config log, which knows
/// the leases, so that it forwards the intents when another process leads their log.
class ProposalForwarder
{
public:
    using Send = std::function<void(const std::string &address, const wire::ControlPacket &packet)>;

    /// @brief Creates a forwarder.
    /// @param local log of this process
    /// @param ownAddress link address of this process
    /// @param send sends a packet to another control process; it may be lost
    /// @param timeout after which a forwarded proposal counts as unknown
    ProposalForwarder(LogPort local, std::string ownAddress, Send send, Duration timeout);

    /// @brief Ports that propose here or at the leader.
    LogPort port();

    /// @brief Takes a packet of another process.
    /// @param reply sends the answer to a proposal
    void receive(const wire::ControlPacket &packet, const std::function<void(const wire::ControlPacket &answer)> &reply);

    /// @brief Ends the proposals that have waited for too long.
    void tick(TimePoint now);

private:
    struct Waiting
    {
        LogPort::Handler handler;
        TimePoint until;
    };

    LogPort m_local;
    std::string m_ownAddress;
    Send m_send;
    Duration m_timeout;
    std::uint64_t m_lastCorrelation;
    std::map<std::uint64_t, Waiting> m_waiting;
};

} // namespace waxwing::control
