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

/// @brief Forwards proposals to the process that leads a log.
///
/// The leaders of the two logs are elected independently. Proxies talk to the leader of the config log, which knows the leases;
/// it forwards intents when another process leads the intent log.
class ProposalForwarder
{
public:
    using Send = std::function<void(const std::string &address, const wire::ControlPacket &packet)>;

    /// @brief Creates a forwarder.
    /// @param local log of this process
    /// @param ownAddress link address of this process
    /// @param send sends a packet to another control process; it may be lost
    /// @param timeout after which the outcome of a forwarded proposal is reported as unknown
    ProposalForwarder(LogPort local, std::string ownAddress, Send send, Duration timeout);

    /// @brief Returns a port that proposes to the local log, or forwards to the leader.
    LogPort port();

    /// @brief Handles a packet from another process.
    /// @param reply sends the answer to a proposal
    void receive(const wire::ControlPacket &packet, const std::function<void(const wire::ControlPacket &answer)> &reply);

    /// @brief Reports forwarded proposals as unknown whose timeout has passed.
    void tick(TimePoint now);

private:
    struct PendingProposal
    {
        LogPort::Handler handler;
        TimePoint deadline;
    };

    LogPort m_local;
    std::string m_ownAddress;
    Send m_send;
    Duration m_timeout;
    std::uint64_t m_lastCorrelation;
    std::map<std::uint64_t, PendingProposal> m_pendingProposals;
};

} // namespace waxwing::control
