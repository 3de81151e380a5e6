#pragma once

#include <waxwing/support/bounded_ring.h>
#include <waxwing/support/time.h>
#include <waxwing/transport/link_peer.h>
#include <waxwing/transport/message_link.h>

#include <zmq.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace waxwing
{

/// @brief Work of the thread of a MessageLink: moves frames between the rings and the ZeroMQ sockets.
class LinkThread
{
public:
    /// @brief One queued frame or command.
    struct Item
    {
        enum class Kind {
            Message,
            Dial,
            Disconnect,
            NotSent, ///< to the user: the frame was not sent
        };
        Kind kind = Kind::Message;
        LinkPeer peer;
        std::string frame;
    };

    /// @brief Opens the sockets.
    /// @param options addresses and limits
    /// @param notify wakes the consumer of the inbound ring
    LinkThread(const MessageLinkOptions &options, std::function<void()> notify);
    ~LinkThread();
    LinkThread(const LinkThread &) = delete;
    LinkThread &operator=(const LinkThread &) = delete;

    /// @brief Binds the listening socket.
    /// @return false if the address can't be bound
    bool bind();

    /// @brief Runs until stop(); call on the thread itself.
    void run();

    /// @brief Makes run() return; any thread.
    void stop();

    /// @brief Wakes run() after a push to outbound(); any thread.
    void wake();

    BoundedRing<Item> &outbound()
    {
        return m_outbound;
    }

    BoundedRing<Item> &inbound()
    {
        return m_inbound;
    }

private:
    /// What ZeroMQ holds for one peer.
    struct PeerQueue
    {
        std::shared_ptr<std::atomic<std::size_t>> bytes; ///< shared with the frames, which outlive the entry; lowered by ZeroMQ's thread
        std::size_t dropped = 0; ///< messages since the last log line
        TimePoint nextReportAt;
    };

    void applyCommon(zmq::socket_t &socket);

    /// @brief Socket to an address, connected on first use.
    /// @return null if the address can't be dialed or no socket is left; it is tried again on the next use
    zmq::socket_t *dialed(const std::string &address);

    /// @brief Reads from a socket; an error of ZeroMQ is counted and does not end the thread.
    template<class Receive>
    void receive(Receive receiveFrom);

    void sendPending();
    void sendOne(Item &&item);
    bool admits(const Item &item);
    zmq::message_t makeFrame(const LinkPeer &peer, std::string &&content);
    void receiveAccepted();
    void receiveDialed(const std::string &address, zmq::socket_t &socket);
    void answerAuthentication();
    void deliver(Item &&item);

    MessageLinkOptions m_options;
    std::function<void()> m_notify;
    zmq::context_t m_context {1};
    zmq::socket_t m_authentication;
    zmq::socket_t m_router;
    std::map<std::string, zmq::socket_t> m_dialed;
    std::map<std::pair<LinkPeer::Kind, std::string>, PeerQueue> m_queues;
    BoundedRing<Item> m_outbound;
    BoundedRing<Item> m_inbound;
    std::atomic<bool> m_stopped {false};
    int m_wakeDescriptor = -1;
};

} // namespace waxwing
