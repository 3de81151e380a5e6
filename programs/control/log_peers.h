#pragma once

#include <waxwing/transport/link_peer.h>
#include <waxwing/transport/message_link.h>
#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace waxwing::control
{

/// Log that a Raft envelope between control processes belongs to.
enum class LogId : std::uint32_t {
    Config = 1,
    Intents = 2,
    ForwardedIntents = 3, ///< holds a wire::ControlPacket
    Sessions = 4,
};

/// @brief Sends the packets of one log to the other control processes over the link.
class LogPeers
{
public:
    /// @brief Creates the sender for one log.
    /// @param link message link of the process, empty until it has started; outlives this object
    LogPeers(LogId id, std::optional<MessageLink> &link)
        : m_id(id)
        , m_link(link)
    {
    }

    /// @brief Sends a packet, without a delivery guarantee.
    /// @param address link address of the other process
    void send(const std::string &address, std::string packet)
    {
        if (m_link) {
            m_link->send({LinkPeer::Kind::Dialed, address}, envelope(m_id, std::move(packet)));
        }
    }

    /// @brief Wraps a packet of a log in an envelope.
    static wire::Envelope envelope(LogId id, std::string packet)
    {
        wire::Envelope message;
        message.mutable_raft()->set_log_id(static_cast<std::uint32_t>(id));
        message.mutable_raft()->set_message(std::move(packet));
        return message;
    }

private:
    LogId m_id;
    std::optional<MessageLink> &m_link;
};

} // namespace waxwing::control
