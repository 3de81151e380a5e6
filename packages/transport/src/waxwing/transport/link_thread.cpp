#include "link_thread.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq_addon.hpp>

#include <array>
#include <cerrno>
#include <vector>

namespace waxwing
{

namespace
{

// Interval between the connection attempts of ZeroMQ, and its upper bound. Short, because a failed handshake with a peer
// that restarts leaves its address unreachable until the next attempt.
constexpr int reconnectIntervalMilliseconds = 50;
constexpr int maxReconnectIntervalMilliseconds = 500;
constexpr int heartbeatsUntilTimeout = 3;
// The kernel repeats a lost SYN after 1, 2 and 4 s, so that without this timeout a connection attempt that began during a
// short network partition succeeds only seconds after its end. A round trip between regions takes 40 ms.
constexpr int connectTimeoutMilliseconds = 300;
constexpr int handshakeTimeoutMilliseconds = 1000; // a few round trips; the default of 30 s outlasts any partition
// A connection is closed when sent bytes are not acknowledged for this long: two retransmissions at a round trip of 40 ms.
constexpr int acknowledgementTimeoutMilliseconds = 800;
// Without ZeroMQ heartbeats, TCP keep-alive detects that the peer of an idle connection is gone.
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
// Messages read from one socket before the other sockets are served.
constexpr int maxMessagesPerRound = 256;
constexpr auto pollTimeout = 200ms;
// Bytes that may wait for one peer when a further message is queued. 1 MB takes 4 s on a link of 2 Mbit/s. Large messages
// (configurations, directories) have the lower bound, so that small ones (answers, leases) are not dropped because of them.
constexpr std::size_t maxQueuedBytes = std::size_t(2) << 20;
constexpr std::size_t maxQueuedBytesForLarge = std::size_t(1) << 20;
constexpr std::size_t largeMessageBytes = std::size_t(8) << 10;
constexpr std::size_t maxIdleQueues = 1024;
constexpr Duration dropReportInterval = 5s;

/// Frame whose bytes count as queued until ZeroMQ releases it.
struct CountedFrame
{
    std::string content;
    std::shared_ptr<std::atomic<std::size_t>> queuedBytes; // see LinkThread::PeerQueue

    static void release(void *, void *hint)
    {
        const std::unique_ptr<CountedFrame> frame(static_cast<CountedFrame *>(hint));
        frame->queuedBytes->fetch_sub(frame->content.size(), std::memory_order_relaxed);
    }
};

void countDrop(std::string_view reason)
{
    Metrics::instance().counter("waxwing_link_refusals_total", "reason", reason).add();
}

void countBytes(std::string_view direction, std::size_t size)
{
    static auto &sent = Metrics::instance().counter("waxwing_link_bytes_total", "direction", "sent");
    static auto &received = Metrics::instance().counter("waxwing_link_bytes_total", "direction", "received");
    (direction == "sent" ? sent : received).add(static_cast<std::int64_t>(size));
}

} // namespace

LinkThread::LinkThread(const MessageLinkOptions &options, std::function<void()> notify)
    : m_options(options)
    , m_notify(std::move(notify))
    , m_outbound(options.ringCapacity)
    , m_inbound(options.ringCapacity)
    , m_wakeDescriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

LinkThread::~LinkThread()
{
    ::close(m_wakeDescriptor);
}

void LinkThread::applyCommon(zmq::socket_t &socket)
{
    const int heartbeat = static_cast<int>(toMilliseconds(m_options.heartbeat).count()); // 0 turns heartbeats off
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, m_options.highWaterMark);
    socket.set(zmq::sockopt::rcvhwm, m_options.highWaterMark);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeatsUntilTimeout * heartbeat);
    socket.set(zmq::sockopt::reconnect_ivl, reconnectIntervalMilliseconds);
    socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectIntervalMilliseconds);
    socket.set(zmq::sockopt::connect_timeout, connectTimeoutMilliseconds);
    socket.set(zmq::sockopt::handshake_ivl, handshakeTimeoutMilliseconds);
    socket.set(zmq::sockopt::tcp_maxrt, acknowledgementTimeoutMilliseconds);
    if (heartbeat == 0) {
        socket.set(zmq::sockopt::tcp_keepalive, 1);
        socket.set(zmq::sockopt::tcp_keepalive_idle, keepAliveIntervalSeconds);
        socket.set(zmq::sockopt::tcp_keepalive_intvl, keepAliveIntervalSeconds);
        socket.set(zmq::sockopt::tcp_keepalive_cnt, keepAliveProbes);
    }
}

bool LinkThread::bind()
{
    if (m_options.listen.empty()) {
        return true;
    }
    try {
        m_router = zmq::socket_t(m_context, zmq::socket_type::router);
        applyCommon(m_router);
        m_router.set(zmq::sockopt::router_mandatory, true);
        // A peer that restarted takes over its name from the connection of its former process.
        m_router.set(zmq::sockopt::router_handover, true);
        if (!m_options.key.isEmpty()) {
            m_authentication = zmq::socket_t(m_context, zmq::socket_type::rep);
            m_authentication.set(zmq::sockopt::linger, 0);
            m_authentication.bind("inproc://zeromq.zap.01");
            m_router.set(zmq::sockopt::curve_server, true);
            m_router.set(zmq::sockopt::curve_secretkey, m_options.key.secretKey);
        }
        m_router.bind("tcp://" + m_options.listen);
    } catch (const zmq::error_t &) {
        return false;
    }
    return true;
}

zmq::socket_t *LinkThread::dialed(const std::string &address)
{
    const auto existing = m_dialed.find(address);
    if (existing != m_dialed.end()) {
        return &existing->second;
    }
    try {
        zmq::socket_t socket(m_context, zmq::socket_type::dealer);
        applyCommon(socket);
        socket.set(zmq::sockopt::routing_id, m_options.name);
        socket.set(zmq::sockopt::immediate, true);
        if (!m_options.key.isEmpty()) {
            socket.set(zmq::sockopt::curve_serverkey, m_options.key.publicKey);
            socket.set(zmq::sockopt::curve_publickey, m_options.key.publicKey);
            socket.set(zmq::sockopt::curve_secretkey, m_options.key.secretKey);
        }
        socket.connect("tcp://" + address);
        return &m_dialed.emplace(address, std::move(socket)).first->second;
    } catch (const zmq::error_t &error) {
        countDrop(error.num() == EMFILE ? "too-many-peers" : "bad-address");
        return nullptr;
    }
}

void LinkThread::run()
{
    while (!m_stopped.load(std::memory_order_acquire)) {
        std::vector<zmq::pollitem_t> items;
        items.push_back({nullptr, m_wakeDescriptor, ZMQ_POLLIN, 0});
        if (m_router.handle() != nullptr) {
            items.push_back({m_router.handle(), 0, ZMQ_POLLIN, 0});
        }
        if (m_authentication.handle() != nullptr) {
            items.push_back({m_authentication.handle(), 0, ZMQ_POLLIN, 0});
        }
        for (auto &[address, socket] : m_dialed) {
            items.push_back({socket.handle(), 0, ZMQ_POLLIN, 0});
        }
        try {
            zmq::poll(items, pollTimeout);
        } catch (const zmq::error_t &) {
            continue; // Interrupted by a signal.
        }
        std::uint64_t ignored = 0;
        [[maybe_unused]] const auto size = ::read(m_wakeDescriptor, &ignored, sizeof(ignored));
        sendPending();
        receive([this] { receiveAccepted(); });
        receive([this] { answerAuthentication(); });
        for (auto &entry : m_dialed) {
            receive([&] { receiveDialed(entry.first, entry.second); });
        }
    }
    m_dialed.clear();
    m_router.close();
    m_authentication.close();
}

template<class Receive>
void LinkThread::receive(Receive receiveFrom)
{
    try {
        receiveFrom();
    } catch (const zmq::error_t &) {
        countDrop("receive-failed"); // the next round tries again
    }
}

void LinkThread::stop()
{
    m_stopped.store(true, std::memory_order_release);
    wake();
}

void LinkThread::wake()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto size = ::write(m_wakeDescriptor, &one, sizeof(one));
}

void LinkThread::sendPending()
{
    for (int i = 0; i < maxMessagesPerRound; ++i) {
        auto item = m_outbound.pop();
        if (!item) {
            return;
        }
        sendOne(std::move(*item));
    }
    wake(); // More messages may be queued.
}

void LinkThread::sendOne(Item &&item)
{
    if (item.kind == Item::Kind::Dial) {
        dialed(item.peer.id);
        return;
    }
    if (item.kind == Item::Kind::Disconnect) {
        m_dialed.erase(item.peer.id);
        return;
    }
    if (!admits(item)) {
        countDrop("peer-queue-full");
        item.kind = Item::Kind::NotSent;
        deliver(std::move(item));
        return;
    }
    bool sent = false;
    const auto size = item.frame.size();
    std::array<zmq::message_t, 2> parts = {zmq::message_t(item.peer.id), makeFrame(item.peer, std::move(item.frame))};
    try {
        if (item.peer.kind == LinkPeer::Kind::Accepted) {
            sent = zmq::send_multipart(m_router, parts, zmq::send_flags::dontwait).has_value();
        } else {
            auto *socket = dialed(item.peer.id);
            sent = socket != nullptr && socket->send(parts[1], zmq::send_flags::dontwait).has_value();
        }
    } catch (const zmq::error_t &) {
        sent = false; // The ROUTER socket has no such peer.
    }
    if (sent) {
        countBytes("sent", size);
    } else {
        countDrop("not-connected");
        item.kind = Item::Kind::NotSent;
        item.frame = parts[1].to_string();
        deliver(std::move(item));
    }
}

bool LinkThread::admits(const Item &item)
{
    const auto found = m_queues.find({item.peer.kind, item.peer.id});
    if (found == m_queues.end()) {
        return true;
    }
    auto &queue = found->second;
    const auto bytes = queue.bytes->load(std::memory_order_relaxed);
    if (bytes < (item.frame.size() >= largeMessageBytes ? maxQueuedBytesForLarge : maxQueuedBytes)) {
        return true;
    }
    ++queue.dropped;
    if (const auto now = Clock::now(); now >= queue.nextReportAt) {
        log::write(log::Level::Warning, "messages to a peer dropped", {{"peer", item.peer.id}, {"queued_bytes", bytes}, {"messages", queue.dropped}});
        queue.dropped = 0;
        queue.nextReportAt = now + dropReportInterval;
    }
    return false;
}

zmq::message_t LinkThread::makeFrame(const LinkPeer &peer, std::string &&content)
{
    if (m_queues.size() > maxIdleQueues) {
        std::erase_if(m_queues, [](const auto &item) { return item.second.bytes->load(std::memory_order_relaxed) == 0; });
    }
    auto &queue = m_queues[{peer.kind, peer.id}];
    if (!queue.bytes) {
        queue.bytes = std::make_shared<std::atomic<std::size_t>>(0);
    }
    auto frame = std::make_unique<CountedFrame>(CountedFrame {std::move(content), queue.bytes});
    queue.bytes->fetch_add(frame->content.size(), std::memory_order_relaxed);
    auto *data = frame->content.data();
    const auto size = frame->content.size();
    return {data, size, &CountedFrame::release, frame.release()};
}

void LinkThread::receiveAccepted()
{
    if (m_router.handle() == nullptr) {
        return;
    }
    for (int i = 0; i < maxMessagesPerRound; ++i) {
        std::vector<zmq::message_t> parts;
        if (!zmq::recv_multipart(m_router, std::back_inserter(parts), zmq::recv_flags::dontwait)) {
            return;
        }
        if (parts.size() != 2) {
            countDrop("malformed");
            continue;
        }
        // ZeroMQ gives a name that begins with a zero byte to peers that state none, and to the former connection of a peer that has
        // connected again: what is left on it would come from a peer that does not exist.
        if (parts[0].size() == 0 || *parts[0].data<char>() == '\0') {
            countDrop("unnamed-peer");
            continue;
        }
        deliver({Item::Kind::Message, {LinkPeer::Kind::Accepted, parts[0].to_string()}, parts[1].to_string()});
    }
    wake();
}

void LinkThread::receiveDialed(const std::string &address, zmq::socket_t &socket)
{
    for (int i = 0; i < maxMessagesPerRound; ++i) {
        zmq::message_t message;
        if (!socket.recv(message, zmq::recv_flags::dontwait)) {
            return;
        }
        deliver({Item::Kind::Message, {LinkPeer::Kind::Dialed, address}, message.to_string()});
    }
    wake();
}

// The request and response frames follow the ZeroMQ authentication protocol (ZAP, RFC 27).
void LinkThread::answerAuthentication()
{
    if (m_authentication.handle() == nullptr) {
        return;
    }
    std::vector<zmq::message_t> parts;
    if (!zmq::recv_multipart(m_authentication, std::back_inserter(parts), zmq::recv_flags::dontwait)) {
        return;
    }
    std::array<char, 41> clientKey {};
    bool accepted = false;
    if (parts.size() == 7 && parts[5].to_string_view() == "CURVE" && parts[6].size() == 32) {
        zmq_z85_encode(clientKey.data(), parts[6].data<std::uint8_t>(), parts[6].size());
        accepted = m_options.key.publicKey == clientKey.data();
    }
    if (!accepted) {
        countDrop("unknown-key");
    }
    const std::string sequence = parts.size() > 1 ? parts[1].to_string() : std::string();
    const std::array<zmq::const_buffer, 6> response = {zmq::str_buffer("1.0"),
                                                       zmq::buffer(sequence),
                                                       accepted ? zmq::str_buffer("200") : zmq::str_buffer("400"),
                                                       accepted ? zmq::str_buffer("OK") : zmq::str_buffer("NO"),
                                                       zmq::str_buffer(""),
                                                       zmq::str_buffer("")};
    zmq::send_multipart(m_authentication, response);
}

void LinkThread::deliver(Item &&item)
{
    if (item.kind == Item::Kind::Message) {
        countBytes("received", item.frame.size());
    }
    if (!m_inbound.push(std::move(item))) {
        countDrop("ring-full");
        return;
    }
    m_notify();
}

} // namespace waxwing
