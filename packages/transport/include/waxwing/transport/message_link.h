#pragma once

#include <waxwing/support/time.h>
#include <waxwing/transport/link_key.h>
#include <waxwing/transport/link_peer.h>
#include <waxwing/transport/transport_error.h>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace waxwing::wire
{
class Envelope;
}

namespace waxwing
{

/// @brief Addresses and limits of a link.
struct MessageLinkOptions
{
    std::string name; ///< name of this process, unique; the other end sees it as LinkPeer::Kind::Accepted
    std::string listen; ///< IP:port for the ROUTER socket; empty for none
    LinkKey key; ///< without a key the link is not encrypted
    std::size_t ringCapacity = 16'384; ///< messages queued between the threads, in each direction
    int highWaterMark = 10'000; ///< messages that ZeroMQ holds for one peer
    Duration heartbeat = 250ms; ///< interval of ZeroMQ heartbeats; a peer silent for three is dropped; zero for TCP keep-alive instead
};

/// @brief Sends and receives protobuf envelopes over ZeroMQ on a thread of its own.
///
/// All calls and all callbacks happen on the thread of the given io_context; bounded rings connect it to the link thread.
/// Nothing is queued for a peer that is not connected: such a message is given to the failure handler, so that no
/// statement is delivered long after it was sent.
class MessageLink
{
public:
    using Receiver = std::function<void(const LinkPeer &from, wire::Envelope &&message)>;
    using FailureHandler = std::function<void(const LinkPeer &to, wire::Envelope &&message)>;

    /// @brief Opens the sockets and starts the link thread.
    /// @param context runs the callbacks; one thread
    /// @param options addresses and limits
    /// @param receiver takes each message
    /// @param onFailure takes each message that provably was not sent; may be empty
    /// @return the link, or TransportError::ListenFailed
    static TransportResult<MessageLink> start(boost::asio::io_context &context, MessageLinkOptions options, Receiver receiver, FailureHandler onFailure = {});

    MessageLink(MessageLink &&) noexcept;
    MessageLink &operator=(MessageLink &&) noexcept;
    ~MessageLink();

    /// @brief Sends a message; a peer of kind Dialed is connected on first use.
    /// @return false if the ring is full, which is counted in `waxwing_link_refusals_total`; nothing is sent then
    bool send(const LinkPeer &to, const wire::Envelope &message);

    /// @brief Connects to a peer ahead of the first message.
    void dial(const std::string &address);

    /// @brief Closes the connection to a dialed peer.
    void disconnect(const std::string &address);

private:
    struct Data;
    explicit MessageLink(std::unique_ptr<Data> data);
    std::unique_ptr<Data> m_data;
};

} // namespace waxwing
