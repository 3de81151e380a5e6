#pragma once

#include "sent_traffic.h"

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
    /// @param traffic counts the packets; may be null, outlives this object otherwise
    explicit LogPeers(LogId id, std::optional<MessageLink> &link, SentTraffic *traffic = nullptr)
        : m_id(id)
        , m_link(link)
        , m_traffic(traffic)
    {
    }

    /// @brief Sends a packet, without a delivery guarantee.
    /// @param address link address of the other process
    void send(const std::string &address, std::string packet)
    {
        if (m_link) {
            const auto message = envelope(m_id, std::move(packet));
            if (m_traffic != nullptr) {
                m_traffic->add(message);
            }
            m_link->send({LinkPeer::Kind::Dialed, address}, message);
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
    SentTraffic *m_traffic;
};

} // namespace waxwing::control
