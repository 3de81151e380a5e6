#include "serve_sessions.h"

#include "control_log.h"
#include "log_peers.h"
#include "sent_traffic.h"
#include "session_control.h"
#include "session_control_settings.h"

#include <waxwing/platform/control_calls.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>
#include <waxwing/transport/http_connection.h>
#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_request.h>
#include <waxwing/transport/http_response.h>
#include <waxwing/transport/http_server.h>
#include <waxwing/transport/link_key.h>
#include <waxwing/transport/message_link.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <thread>
#include <utility>

namespace waxwing::control
{

namespace asio = boost::asio;

namespace
{

constexpr Duration tickInterval = 20ms; // bounds the delay of updates for proxies; a shorter interval costs CPU time in an idle process
constexpr Duration connectTimeout = 500ms;
constexpr Duration logFlushDelay = 50ms;
// After a restart of all members, everything waits for an election, so the timeouts are short. The shortest one still covers
// three heartbeats and a round trip of 40 ms between regions.
constexpr Duration raftHeartbeatInterval = 55ms;
constexpr Duration minElectionTimeout = 220ms;
constexpr Duration maxElectionTimeout = 440ms;
constexpr Duration raftLeaseDuration = 195ms; // 10% shorter than the shortest election timeout, to allow for clock drift
constexpr Duration lossesCheckInterval = 500ms; // an election takes less
constexpr Duration shortfallReportInterval = 5s;
constexpr Duration drainTimeout = 1s; // for responses in flight and the hand-over of the vote when the process stops
constexpr std::size_t maxConfigBytes = 4U << 20; // enough for a configuration of 10,000 routes
constexpr LogIndex snapshotIntervalEntries = 100; // a configuration of 350 routes takes 80 KB, so the log stays below 10 MB
constexpr std::size_t maxSmallBodyBytes = 64U << 10; // of heartbeats and all other requests; each text of a heartbeat has at most 256 bytes
constexpr std::size_t requestMemoryDivisor = 8; // part of the memory that requests and answers may hold; handling takes several copies
constexpr std::size_t maxMetricsConnections = 100;
constexpr unsigned okStatus = 200;
constexpr unsigned conflictStatus = 409;
constexpr unsigned tooManyStatus = 429;
constexpr unsigned unavailableStatus = 503;

/// Runs one member of control on a single thread; the message link, disk writes and logging have threads of their own.
class SessionControlProcess
{
public:
    explicit SessionControlProcess(const SessionControlSettings &settings)
        : m_settings(settings)
        , m_peers(LogId::Sessions, m_link, &m_traffic)
        , m_log(m_context, m_peers, logOptions(settings))
        , m_control(m_context,
                    {.primaries = {.name = settings.name, .ordersAreFenced = settings.ordersAreFenced, .lateOrderLimit = settings.lateOrderLimit},
                     .heartbeat = settings.heartbeat,
                     .rates = {.tolerance = settings.rateLimitTolerance, .window = settings.rateLimitWindow}},
                    m_log.machine(), ports())
        , m_timer(m_context)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    {
        m_log.host().observeApplied([this](LogIndex) { m_control.handleApplied(); });
        m_log.host().observeFailure([this](const StateError &error) {
            log::write(log::Level::Error, "stopping after a disk error", {{"error", error.message}});
            m_exitCode = 1;
            m_context.stop();
        });
    }

    std::string start(LinkKey key)
    {
        MessageLinkOptions options;
        options.name = m_settings.announcedLink;
        options.listen = m_settings.linkListen;
        // ZeroMQ 4.3.4 aborts the process (assertion `!_io_error`) when a heartbeat is due on a connection whose input was stopped
        // and then failed, which happens after a suspension. TCP timeouts of the kernel detect silent peers instead.
        options.heartbeat = Duration::zero();
        options.key = std::move(key);
        auto link = MessageLink::start(
            m_context, std::move(options), [this](const LinkPeer &from, wire::Envelope &&message) { receive(from, message); },
            [this](const LinkPeer &to, wire::Envelope &&message) {
                if (message.has_pool()) {
                    m_control.handleNotSent(to.id, message.pool());
                }
            });
        if (!link) {
            return "can't listen on the link address " + m_settings.linkListen + ": " + link.error().message();
        }
        m_link.emplace(std::move(link.value()));
        if (const auto started = m_log.host().start(); !started) {
            return started.error().message;
        }
        for (const auto &address : {m_settings.httpListen, m_settings.metricsListen}) {
            if (address.empty()) {
                continue;
            }
            HttpServerOptions http = httpOptions();
            http.listen = address;
            if (address == m_settings.metricsListen) {
                http.maxConnections = maxMetricsConnections;
                http.maxBodyBytes = maxSmallBodyBytes;
            }
            auto server = HttpServer::start(m_context, std::move(http), [this](HttpRequest &&request, HttpReply reply) { handle(request, reply); });
            if (!server) {
                return "can't listen on the HTTP address " + address + ": " + server.error().message();
            }
            m_servers.push_back(std::move(server.value()));
        }
        awaitSignal();
        tick();
        return {};
    }

    int run()
    {
        m_context.run();
        return m_exitCode;
    }

private:
    static LogHostOptions logOptions(const SessionControlSettings &settings)
    {
        LogHostOptions options;
        options.folder = settings.dataFolder + "/sessions";
        options.address = settings.announcedLink;
        for (const auto &seed : settings.seeds) {
            options.initialMembers.push_back(settings.linkOf(seed));
        }
        options.membership.open = true;
        options.membership.mayBootstrap = settings.mayForm;
        options.membership.lossesToBear = settings.lossesToBear;
        options.snapshotIntervalEntries = snapshotIntervalEntries;
        options.raft.heartbeatInterval = raftHeartbeatInterval;
        options.raft.electionTimeoutLow = minElectionTimeout;
        options.raft.electionTimeoutHigh = maxElectionTimeout;
        options.raft.leaseDuration = raftLeaseDuration;
        return options;
    }

    HttpServerOptions httpOptions() const
    {
        HttpServerOptions options;
        options.maxBodyBytes = maxConfigBytes;
        options.maxBodyBytesOf = [](std::string_view method, std::string_view target) {
            HttpRequest request;
            request.method = method;
            request.target = target;
            std::string database;
            return platform::classify(request, database) == platform::Call::PutConfig ? maxConfigBytes : maxSmallBodyBytes;
        };
        options.maxHeldBytes = (m_settings.memoryMb << 20) / requestMemoryDivisor;
        // The other half of the descriptors stays for the link and the log.
        rlimit files {};
        const bool known = getrlimit(RLIMIT_NOFILE, &files) == 0;
        options.maxConnections = known ? std::min<std::size_t>(m_settings.maxHttpConnections, files.rlim_cur / 2) : m_settings.maxHttpConnections;
        return options;
    }

    SessionControlPorts ports()
    {
        SessionControlPorts ports;
        ports.log = m_log.port();
        ports.sendToProxy = [this](const std::string &proxy, const wire::PoolEnvelope &message) {
            send({LinkPeer::Kind::Accepted, proxy}, message);
        };
        ports.sendToMember = [this](const std::string &member, const wire::PoolEnvelope &message) {
            send({LinkPeer::Kind::Dialed, member}, message);
        };
        ports.members = [this] {
            std::vector<std::string> addresses;
            const auto status = m_log.host().status();
            for (const auto &member : status.membership.members()) {
                addresses.push_back(member.address());
            }
            return addresses;
        };
        ports.orderPromotion = [this](std::string service, std::string database, std::uint64_t token, Duration timeout) {
            return orderPromotion(std::move(service), std::move(database), token, timeout);
        };
        return ports;
    }

    void send(const LinkPeer &to, const wire::PoolEnvelope &content)
    {
        if (m_link) {
            wire::Envelope message;
            *message.mutable_pool() = content;
            m_traffic.add(message);
            m_link->send(to, message);
        }
    }

    asio::awaitable<bool> confirmLeadership()
    {
        auto read = [this](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler)); // shared: the callback must be copyable
            m_log.port().read(
                [this, shared](LogReply &&reply) { asio::post(m_context, [shared, leads = reply.failure == LogFailure::None] { (*shared)(leads); }); });
        };
        co_return co_await asio::async_initiate<const asio::use_awaitable_t<> &, void(bool)>(std::move(read), asio::use_awaitable);
    }

    asio::awaitable<OrderAnswer> orderPromotion(std::string service, std::string database, std::uint64_t token, Duration timeout)
    {
        static auto &orders = Metrics::instance().counter("waxwing_control_orders_total");
        orders.add();
        HttpConnection connection(m_context);
        auto connect = [&connection](auto handler, std::string address) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler)); // shared: the callback must be copyable
            connection.connect(address, connectTimeout, [shared](std::error_code error) { (*shared)(error); });
        };
        std::string address = m_settings.platformAddress;
        const auto connectError = co_await asio::async_initiate<const asio::use_awaitable_t<> &, void(std::error_code)>(std::move(connect), asio::use_awaitable,
                                                                                                                        std::move(address));
        if (connectError) {
            log::write(log::Level::Warning, "platform not reached", {{"error", connectError.message()}});
            co_return OrderAnswer::NotTaken;
        }
        if (!m_settings.ordersAreFenced) {
            // A later leader must not have sent an order with a higher token.
            const bool leads = co_await confirmLeadership();
            if (!leads) {
                log::write(log::Level::Warning, "order not sent", {{"service", service}, {"token", token}, {"reason", "leadership not confirmed"}});
                co_return OrderAnswer::NotTaken;
            }
        }
        auto exchange = [&connection, timeout](auto handler, HttpRequest request) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler)); // shared: the callback must be copyable
            connection.exchange(request, timeout, [shared](HttpExchange &&result) { (*shared)(std::move(result)); });
        };
        auto request = platform::promotionOrder(service, database, m_settings.name, token);
        const auto result
            = co_await asio::async_initiate<const asio::use_awaitable_t<> &, void(HttpExchange)>(std::move(exchange), asio::use_awaitable, std::move(request));
        if (result.error) {
            log::write(log::Level::Warning, "order without an answer", {{"service", service}, {"token", token}, {"error", result.error.message()}});
            co_return OrderAnswer::None;
        }
        if (result.response.status == okStatus) {
            co_return OrderAnswer::Accepted;
        }
        log::write(log::Level::Warning, "order not accepted",
                   {{"service", service}, {"database", database}, {"token", token}, {"status", result.response.status}, {"body", result.response.body}});
        if (result.response.status == tooManyStatus) {
            co_return OrderAnswer::NotTaken;
        }
        co_return result.response.status == conflictStatus ? OrderAnswer::Conflict : OrderAnswer::None;
    }

    void receive(const LinkPeer &from, const wire::Envelope &message)
    {
        if (message.has_raft()) {
            m_log.host().receive(message.raft().message());
        } else if (message.has_pool()) {
            m_control.handleMessage(from.id, message.pool());
        }
    }

    void handle(const HttpRequest &request, const HttpReply &reply)
    {
        std::string database;
        switch (platform::classify(request, database)) {
        case platform::Call::Beat:
            handleHeartbeat(platform::decodeBeat(database, request.body), reply);
            break;
        case platform::Call::Unreadable:
            handleHeartbeat(std::nullopt, reply);
            break;
        case platform::Call::Leave: {
            wire::PoolMember member;
            member.set_id(database);
            member.set_leaving(true);
            member.set_born_ms(platform::decodeRunStart(request.body));
            handleDeregistration(member, reply);
            break;
        }
        case platform::Call::PutConfig:
            handleStoreConfig(request, reply);
            break;
        case platform::Call::ReadConfig:
            handleReadConfig(request, reply);
            break;
        case platform::Call::Ready:
            sendHealth(reply);
            break;
        case platform::Call::Unknown:
            handleServiceRequest(request, reply);
            break;
        }
    }

    /// Handles requests outside the platform's interface: metrics, health and status.
    void handleServiceRequest(const HttpRequest &request, const HttpReply &reply)
    {
        if (request.target == "/metrics") {
            reply.send({.status = 200, .body = Metrics::instance().exposition(), .contentType = "text/plain; version=0.0.4"});
        } else if (request.target == "/healthz") {
            sendHealth(reply);
        } else if (request.target == "/v1/status") {
            reply.send({.status = 200, .body = boost::json::serialize(m_control.status(m_log.host().status()))});
        } else {
            reply.send({.status = 404, .body = R"({"error":"not known"})"});
        }
    }

    /// A member is healthy when it votes and has caught up. Operators wait for this before they stop the next member.
    void sendHealth(const HttpReply &reply) const
    {
        const bool serving = m_log.host().status().serving;
        reply.send({.status = serving ? okStatus : unavailableStatus, .body = serving ? R"({"ready":true})" : R"({"ready":false})"});
    }

    /// Logs how many more voters may be lost, whenever the number changes.
    void reportLosses()
    {
        const auto now = Clock::now();
        if (now < m_nextLossesCheckAt) {
            return;
        }
        m_nextLossesCheckAt = now + lossesCheckInterval;
        const auto status = m_log.host().status();
        const auto losses = status.tolerableLosses();
        reportShortfall(status, now);
        if (losses == m_reportedLosses) {
            return;
        }
        m_reportedLosses = losses;
        if (losses) {
            Metrics::instance().gauge("waxwing_control_losses_borne").set(*losses);
            log::write(*losses == 0 ? log::Level::Warning : log::Level::Info, "losses that control can bear", {{"voters", *losses}});
        }
    }

    /// Warns while fewer voters may be lost than required, and once when the requirement is met again.
    void reportShortfall(const LogStatus &status, TimePoint now)
    {
        const auto shortfall = status.lossShortfall(m_settings.lossesToBear);
        const auto borne = status.tolerableLosses();
        if (borne) {
            Metrics::instance().gauge("waxwing_control_losses_missing").set(m_settings.lossesToBear - std::min(*borne, m_settings.lossesToBear));
        }
        if (shortfall == m_reportedShortfall && (shortfall == LossShortfall::None || now < m_nextShortfallReportAt)) {
            return;
        }
        const bool ended = shortfall == LossShortfall::None;
        m_reportedShortfall = shortfall;
        m_nextShortfallReportAt = now + shortfallReportInterval;
        if (ended && borne) {
            log::write(log::Level::Info, "control bears the required losses", {{"borne", *borne}, {"required", m_settings.lossesToBear}});
        } else if (!ended) {
            log::write(log::Level::Warning, "control bears fewer losses than required",
                       {{"borne", borne.value_or(0)},
                        {"required", m_settings.lossesToBear},
                        {"reason", lossShortfallName(shortfall)},
                        {"members_heard", status.active.size()},
                        {"voters", voterCount(status.membership)}});
        }
    }

    void handleHeartbeat(const std::optional<wire::PoolMember> &member, const HttpReply &reply)
    {
        if (!member) {
            m_control.ignoreHeartbeat("not-readable");
            reply.send({.status = 400, .body = R"({"error":"the heartbeat is not readable"})"});
        } else {
            m_control.heartbeat(*member, [reply](bool acknowledged) {
                reply.send({.status = acknowledged ? okStatus : unavailableStatus, .body = acknowledged ? "{}" : R"({"error":"not confirmed by a leader"})"});
            });
        }
    }

    void handleDeregistration(const wire::PoolMember &member, const HttpReply &reply)
    {
        m_control.deregister(member, [reply](bool recorded) {
            reply.send({.status = recorded ? okStatus : unavailableStatus, .body = recorded ? "{}" : R"({"error":"not recorded"})"});
        });
    }

    /// Redirects a client to the leader, or answers 503 if no other leader is known.
    void referToLeader(const HttpRequest &request, const HttpReply &reply) const
    {
        const auto leader = m_log.host().status().leaderAddress;
        if (leader.empty() || leader == m_settings.announcedLink) {
            reply.send({.status = 503, .body = R"({"error":"no leader is known"})"});
            return;
        }
        HttpResponse response;
        response.status = 307;
        response.body = R"({"error":"not the leader"})";
        response.headers.emplace_back("Location", "http://" + m_settings.httpOf(leader) + request.target);
        reply.send(std::move(response));
    }

    void handleStoreConfig(const HttpRequest &request, const HttpReply &reply)
    {
        m_control.storeConfig(request.body, [this, request, reply](SessionControl::StoreOutcome outcome, const std::vector<std::string> &errors) {
            switch (outcome) {
            case SessionControl::StoreOutcome::Accepted:
                reply.send({.status = 200, .body = R"({"accepted":true})"});
                break;
            case SessionControl::StoreOutcome::Invalid: {
                boost::json::array list(errors.begin(), errors.end());
                log::write(log::Level::Info, "configuration refused", {{"problems", list.size()}, {"first", errors.front()}});
                reply.send({.status = 400, .body = boost::json::serialize(boost::json::object {{"errors", std::move(list)}})});
                break;
            }
            case SessionControl::StoreOutcome::NotLeader:
                referToLeader(request, reply);
                break;
            case SessionControl::StoreOutcome::Unknown:
                reply.send({.status = 503, .body = R"({"error":"the outcome is not known"})"});
                break;
            }
        });
    }

    void handleReadConfig(const HttpRequest &request, const HttpReply &reply)
    {
        m_control.readConfig([this, request, reply](const std::string *document) {
            if (document == nullptr) {
                referToLeader(request, reply);
            } else {
                reply.send({.status = 200, .body = *document});
            }
        });
    }

    void tick()
    {
        m_control.tick();
        reportLosses();
        m_traffic.report(Clock::now());
        if (m_stopping && Clock::now() >= m_stopDeadline) {
            m_context.stop();
            return;
        }
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                log::write(log::Level::Info, "reload requested", {{"effect", "none"}});
            } else if (!m_stopping) {
                log::write(log::Level::Info, "stopping");
                m_stopping = true;
                m_stopDeadline = Clock::now() + drainTimeout;
                m_log.host().leave();
                for (auto &server : m_servers) {
                    server.drain();
                }
            }
            awaitSignal();
        });
    }

    const SessionControlSettings &m_settings;
    asio::io_context m_context {1};
    std::optional<MessageLink> m_link;
    SentTraffic m_traffic;
    LogPeers m_peers;
    ControlLog<SessionsMachine> m_log;
    SessionControl m_control;
    std::vector<HttpServer> m_servers;
    asio::steady_timer m_timer;
    asio::signal_set m_signals;
    std::optional<std::size_t> m_reportedLosses; ///< voters that may be lost, as last reported; nothing while another member leads
    TimePoint m_nextLossesCheckAt;
    LossShortfall m_reportedShortfall = LossShortfall::None;
    TimePoint m_nextShortfallReportAt;
    bool m_stopping = false;
    TimePoint m_stopDeadline;
    int m_exitCode = 0;
};

} // namespace

int serveSessions(const SessionControlSettings &settings)
{
    LinkKey key;
    if (!settings.keyFile.empty()) {
        auto loaded = loadLinkKey(settings.keyFile);
        if (!loaded) {
            std::fprintf(stderr, "%s: %s\n", settings.keyFile.c_str(), loaded.error().message().c_str());
            return 1;
        }
        key = std::move(loaded.value());
    }
    std::signal(SIGPIPE, SIG_IGN);
    log::start({.process = settings.name, .standardOutput = true, .level = settings.logLevel});
    int code = 1;
    SessionControlProcess process(settings);
    if (const auto problem = process.start(std::move(key)); !problem.empty()) {
        log::write(log::Level::Error, "can't start", {{"problem", problem}});
    } else {
        log::write(log::Level::Info, "started", {{"link", settings.linkListen}, {"http", settings.httpListen}, {"may_form", settings.mayForm}});
        code = process.run();
        log::write(log::Level::Info, "stopped", {{"code", code}});
    }
    // Exit without destructors: coroutines in progress must not outlive the objects that they use. The log is not shut down,
    // because that waits for threads of its library; the delay lets its thread write the last lines.
    std::this_thread::sleep_for(logFlushDelay);
    std::_Exit(code);
}

} // namespace waxwing::control
