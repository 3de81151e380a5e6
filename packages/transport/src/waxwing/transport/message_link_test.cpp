#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>
#include <waxwing/transport/message_link.h>
#include <waxwing/wire/waxwing.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <zmq.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace waxwing;

class MessageLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageLinkTest);
    CPPUNIT_TEST(messagesPassBothWaysWithKeys);
    CPPUNIT_TEST(unknownPeerIsReportedAsNotSent);
    CPPUNIT_TEST(otherKeyIsRefused);
    CPPUNIT_TEST(addressesThatCannotBeDialedAreCounted);
    CPPUNIT_TEST(messageUnderAGeneratedNameIsDropped);
    CPPUNIT_TEST(queueOfAPeerThatDoesNotReadIsBounded);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard = boost::asio::make_work_guard(m_context);

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition()) {
            m_context.run_one_for(10ms);
        }
    }

    // Address with a port that was free when this function checked it.
    std::string freeAddress()
    {
        boost::asio::ip::tcp::acceptor acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    static wire::Envelope cancel(std::uint64_t correlation)
    {
        wire::Envelope message;
        message.mutable_forward_cancel()->set_correlation(correlation);
        return message;
    }

public:
    // Guards against peers that do not exist: messages left on the former connection of a peer that has connected again arrive under a
    // name that ZeroMQ has made up, as those of a peer that states no name.
    void messageUnderAGeneratedNameIsDropped()
    {
        const auto address = freeAddress();
        std::vector<std::string> senders;
        std::optional<MessageLink> server;
        server.emplace(std::move(MessageLink::start(
                                     m_context, {.name = "server", .listen = address},
                                     [&](const LinkPeer &from, wire::Envelope &&) { senders.push_back(from.id); }, [](const LinkPeer &, wire::Envelope &&) {})
                                     .value()));
        zmq::context_t context;
        zmq::socket_t unnamed(context, zmq::socket_type::dealer);
        zmq::socket_t named(context, zmq::socket_type::dealer);
        named.set(zmq::sockopt::routing_id, "named");
        for (auto *socket : {&unnamed, &named}) {
            socket->set(zmq::sockopt::linger, 0);
            socket->connect("tcp://" + address);
        }
        auto &dropped = Metrics::instance().counter("waxwing_link_refusals_total", "reason", "unnamed-peer");
        const auto before = dropped.value();
        const auto bytes = cancel(1).SerializeAsString();
        unnamed.send(zmq::buffer(bytes), zmq::send_flags::none);
        runUntil([&] { return dropped.value() != before || !senders.empty(); });
        named.send(zmq::buffer(bytes), zmq::send_flags::none);
        runUntil([&] { return !senders.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string("named"), senders.front());
        CPPUNIT_ASSERT_EQUAL(before + 1, dropped.value());
    }

    // Guards against links that lose the name of the sender or don't encrypt with the given key.
    void messagesPassBothWaysWithKeys()
    {
        const auto key = makeLinkKey();
        const auto address = freeAddress();
        std::optional<std::uint64_t> atServer;
        std::optional<std::uint64_t> atClient;
        std::optional<MessageLink> server;
        server.emplace(
            std::move(MessageLink::start(m_context, {.name = "server", .listen = address, .key = key}, [&](const LinkPeer &from, wire::Envelope &&message) {
                          CPPUNIT_ASSERT_EQUAL(std::string("client"), from.id);
                          atServer = message.forward_cancel().correlation();
                          server->send(from, cancel(*atServer + 1));
                      }).value()));
        auto client = std::move(MessageLink::start(m_context, {.name = "client", .key = key}, [&](const LinkPeer &, wire::Envelope &&message) {
                                    atClient = message.forward_cancel().correlation();
                                }).value());
        runUntil([&] {
            if (!atServer) {
                client.send({LinkPeer::Kind::Dialed, address}, cancel(7));
            }
            return atClient.has_value();
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), *atClient);
    }

    // Guards against a message that is queued for a peer that is not connected and is delivered after its deadline.
    void unknownPeerIsReportedAsNotSent()
    {
        int failures = 0;
        auto link = std::move(MessageLink::start(
                                  m_context, {.name = "client", .listen = freeAddress()}, [](const LinkPeer &, wire::Envelope &&) {},
                                  [&](const LinkPeer &, wire::Envelope &&) { ++failures; })
                                  .value());
        link.send({LinkPeer::Kind::Dialed, freeAddress()}, cancel(1));
        link.send({LinkPeer::Kind::Accepted, "nobody"}, cancel(2));
        runUntil([&] { return failures == 2; });
    }

    // Guards against a process that connects to a deployment without having its key pair.
    void otherKeyIsRefused()
    {
        const auto key = makeLinkKey();
        auto otherKey = makeLinkKey();
        const auto address = freeAddress();
        int received = 0;
        int failures = 0;
        auto server = std::move(MessageLink::start(m_context, {.name = "server", .listen = address, .key = key}, [&](const LinkPeer &from, wire::Envelope &&) {
                                    received += from.id == "other" ? 1 : 1000;
                                }).value());
        // Knows the public key of the server but has no key pair of the deployment.
        struct
        {
            std::string publicKey;
        } known {key.publicKey};
        otherKey.publicKey = known.publicKey;
        auto other = std::move(MessageLink::start(
                                   m_context, {.name = "other", .key = otherKey}, [](const LinkPeer &, wire::Envelope &&) {},
                                   [&](const LinkPeer &, wire::Envelope &&) { ++failures; })
                                   .value());
        auto member = std::move(MessageLink::start(m_context, {.name = "member", .key = key}, [](const LinkPeer &, wire::Envelope &&) {}).value());
        runUntil([&] {
            other.send({LinkPeer::Kind::Dialed, address}, cancel(1));
            member.send({LinkPeer::Kind::Dialed, address}, cancel(2));
            return received >= 20'000 && failures > 0;
        });
        CPPUNIT_ASSERT_EQUAL(0, received % 1000);
    }

    // Guards against a process that ends because a peer names an address that can't be dialed, or more addresses than ZeroMQ has
    // sockets.
    void addressesThatCannotBeDialedAreCounted()
    {
        constexpr int addresses = 1'100; // ZeroMQ has 1,023 sockets by default
        int failures = 0;
        std::optional<std::uint64_t> received;
        const auto listening = freeAddress();
        auto server = std::move(MessageLink::start(m_context, {.name = "server", .listen = listening}, [&](const LinkPeer &, wire::Envelope &&message) {
                                    received = message.forward_cancel().correlation();
                                }).value());
        auto link = std::move(MessageLink::start(
                                  m_context, {.name = "client"}, [](const LinkPeer &, wire::Envelope &&) {},
                                  [&](const LinkPeer &to, wire::Envelope &&) { failures += to.id == "nowhere" ? 1 : 0; })
                                  .value());
        runUntil([&] {
            link.send({LinkPeer::Kind::Dialed, listening}, cancel(1));
            return received.has_value();
        });
        for (const auto *address : {"", ":", "127.0.0.1", "127.0.0.1:99999", "127.0.0.1:-1", "nowhere", "a b:1", "\xff\xfe:1"}) {
            link.dial(address);
        }
        for (int i = 1; i <= addresses; ++i) {
            const auto host = std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
            while (!link.send({LinkPeer::Kind::Dialed, "127.1." + host + ":9"}, cancel(2))) {
                m_context.run_one_for(1ms); // the ring of the link is full
            }
            link.dial("127.2." + host + ":9");
        }
        runUntil([&] {
            link.send({LinkPeer::Kind::Dialed, "nowhere"}, cancel(3));
            link.send({LinkPeer::Kind::Dialed, listening}, cancel(4));
            return failures != 0 && received == 4U;
        });
    }

    // Guards against a process that exceeds its memory because a peer takes its messages too slowly, and against small messages
    // that are dropped because of large ones.
    void queueOfAPeerThatDoesNotReadIsBounded()
    {
        const auto address = freeAddress();
        zmq::context_t context;
        zmq::socket_t peer(context, zmq::socket_type::router);
        peer.set(zmq::sockopt::linger, 0);
        peer.set(zmq::sockopt::rcvhwm, 1);
        peer.bind("tcp://" + address);
        std::size_t largeNotSent = 0;
        std::size_t smallNotSent = 0;
        bool isEnd = false;
        const auto countNotSent = [&](const LinkPeer &to, wire::Envelope &&message) {
            if (to.kind == LinkPeer::Kind::Accepted) {
                isEnd = true;
            } else {
                ++(message.has_raft() ? largeNotSent : smallNotSent);
            }
        };
        auto link = std::move(MessageLink::start(
                                  m_context, {.name = "sender"}, [](const LinkPeer &, wire::Envelope &&) {}, countNotSent)
                                  .value());
        const LinkPeer to {LinkPeer::Kind::Dialed, address};
        zmq::message_t received;
        runUntil([&] {
            link.send(to, cancel(1));
            return peer.recv(received, zmq::recv_flags::dontwait).has_value();
        });
        link.send({LinkPeer::Kind::Accepted, "nobody"}, cancel(0));
        runUntil([&] { return isEnd; });
        isEnd = false;
        smallNotSent = 0;
        auto &dropped = Metrics::instance().counter("waxwing_link_refusals_total", "reason", "peer-queue-full");
        auto &notConnected = Metrics::instance().counter("waxwing_link_refusals_total", "reason", "not-connected");
        const auto notConnectedBefore = notConnected.value();
        wire::Envelope large;
        large.mutable_raft()->set_message(std::string(1'000'000, 'x'));
        constexpr int largeCount = 64; // more than the kernel buffers
        constexpr int smallCount = 20;
        for (int i = 0; i < largeCount; ++i) {
            link.send(to, large);
        }
        for (int i = 0; i < smallCount; ++i) {
            link.send(to, cancel(2));
        }
        link.send({LinkPeer::Kind::Accepted, "nobody"}, cancel(0));
        runUntil([&] { return isEnd; });
        CPPUNIT_ASSERT_MESSAGE("64 MB are queued for a peer that does not read", largeNotSent != 0);
        // The kernel may close the connection meanwhile; only for that reason may a small message not be sent.
        const auto lost = static_cast<std::size_t>(notConnected.value() - notConnectedBefore - 1);
        CPPUNIT_ASSERT_EQUAL(largeNotSent + smallNotSent, static_cast<std::size_t>(dropped.value()) + lost);
        CPPUNIT_ASSERT_LESSEQUAL(lost, smallNotSent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageLinkTest);
