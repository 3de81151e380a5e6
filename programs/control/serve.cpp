#include "serve.h"

#include "control_log.h"
#include "control_service.h"
#include "control_settings.h"
#include "endpoint_client.h"
#include "log_peers.h"
#include "operator_api.h"
#include "proposal_forwarder.h"

#include <waxwing/state/config_machine.h>
#include <waxwing/state/intent_machine.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/log.h>
#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_request.h>
#include <waxwing/transport/http_response.h>
#include <waxwing/transport/http_server.h>
#include <waxwing/transport/message_link.h>
#include <waxwing/wire/waxwing.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <iostream>
#include <optional>
#include <utility>

namespace waxwing::control
{

namespace
{

constexpr std::size_t maxHttpConnections = 10'000;
constexpr Duration tickInterval = 5ms; // limits the delay of changes sent to proxies and of promotion steps
constexpr Duration forwardTimeout = 500ms; // must be less than the time that owners wait for an intent
constexpr Duration drainTimeout = 2s; // of requests in flight when the process stops

/// Components of a control process. They run on one thread; the link, the disk and the log have threads of their own.
class ControlProcess
{
public:
    ControlProcess(const ControlSettings &settings, std::string token)
        : m_settings(settings)
        , m_token(std::move(token))
        , m_configPeers(LogId::Config, m_link)
        , m_intentPeers(LogId::Intents, m_link)
        , m_configLog(m_context, m_configPeers, logOptions("config"))
        , m_intentLog(m_context, m_intentPeers, logOptions("intents"))
        , m_forwarder(
              m_intentLog.port(), settings.self.linkAddress,
              [this](const std::string &address, const wire::ControlPacket &packet) {
                  if (m_link) {
                      m_link->send({LinkPeer::Kind::Dialed, address}, LogPeers::envelope(LogId::ForwardedIntents, packet.SerializeAsString()));
                  }
              },
              forwardTimeout)
        , m_endpoints(m_context)
        , m_service({}, m_configLog.machine(), m_configLog.port(), m_forwarder.port(), ports())
        , m_api(apiOptions(), m_service)
        , m_timer(m_context)
        , m_signals(m_context, SIGTERM, SIGINT)
    {
        m_configLog.host().observeApplied([this](LogIndex) { m_service.handleApplied(); });
        const auto stopAfterDiskError = [this](const StateError &error) {
            log::write(log::Level::Error, "stopping after a disk error", {{"error", error.message}});
            m_exitCode = 1;
            m_context.stop();
        };
        m_configLog.host().observeFailure(stopAfterDiskError);
        m_intentLog.host().observeFailure(stopAfterDiskError);
    }

    std::string start(const LinkKey &key)
    {
        auto link = MessageLink::start(m_context, {.name = m_settings.self.name, .listen = m_settings.self.linkAddress, .key = key},
                                       [this](const LinkPeer &from, wire::Envelope &&message) { receive(from, std::move(message)); });
        if (!link) {
            return "can't listen on the link address " + m_settings.self.linkAddress + ": " + link.error().message();
        }
        m_link.emplace(std::move(link.value()));
        for (auto started : {m_configLog.host().start(), m_intentLog.host().start()}) {
            if (!started) {
                return started.error().message;
            }
        }
        HttpServerOptions options;
        options.listen = m_settings.self.httpAddress;
        options.maxConnections = maxHttpConnections;
        auto server = HttpServer::start(m_context, std::move(options), [this](HttpRequest &&request, HttpReply reply) {
            m_api.handle(request, [reply](HttpResponse &&response) { reply.send(std::move(response)); });
        });
        if (!server) {
            return "can't listen on the HTTP address " + m_settings.self.httpAddress + ": " + server.error().message();
        }
        m_server.emplace(std::move(server.value()));
        m_signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                stop();
            }
        });
        tick();
        return {};
    }

    /// Runs the event loop until the process stops.
    /// @return exit code of the process
    int run()
    {
        m_context.run();
        return m_exitCode;
    }

private:
    ControlPorts ports()
    {
        ControlPorts ports;
        ports.sendToProxy = [this](const std::string &proxy, const wire::Envelope &message) {
            if (m_link) {
                m_link->send({LinkPeer::Kind::Accepted, proxy}, message);
            }
        };
        ports.callEndpoint = [this](EndpointCall call, std::function<void(EndpointAnswer &&)> handler) {
            m_endpoints.call(std::move(call), std::move(handler));
        };
        ports.now = [] {
            return Clock::now();
        };
        ports.wallClockMs = [] {
            return unixMilliseconds();
        };
        ports.leaderLinkAddress = [this] {
            return m_configLog.host().status().leaderAddress;
        };
        return ports;
    }

    LogHostOptions logOptions(const std::string &name) const
    {
        LogHostOptions options;
        options.folder = m_settings.dataFolder + "/" + name;
        options.address = m_settings.self.linkAddress;
        for (const auto &member : m_settings.members) {
            options.initialMembers.push_back(member.linkAddress);
        }
        return options;
    }

    template<class Log>
    boost::json::object describe(const Log &log) const
    {
        const auto status = log.host().status();
        boost::json::array members;
        for (const auto &member : status.membership.members()) {
            const auto *configured = m_settings.memberByLink(member.address());
            members.push_back(boost::json::object {{"member", configured == nullptr ? std::string() : configured->name},
                                                   {"id", toHex(member.id())},
                                                   {"address", member.address()},
                                                   {"voter", member.voter()}});
        }
        const auto *leader = m_settings.memberByLink(status.leaderAddress);
        return {{"leader", leader == nullptr ? std::string() : leader->name},
                {"term", status.term},
                {"commit_index", status.commitIndex},
                {"applied_index", status.appliedIndex},
                {"snapshot_index", status.snapshotIndex},
                {"members", std::move(members)}};
    }

    OperatorApiOptions apiOptions()
    {
        OperatorApiOptions options;
        options.member = m_settings.self.name;
        options.token = m_token;
        options.leaderHttpAddress = [this] {
            const auto *leader = m_settings.memberByLink(m_configLog.host().status().leaderAddress);
            return leader == nullptr || leader->name == m_settings.self.name ? std::string() : leader->httpAddress;
        };
        options.logStatus = [this] {
            return boost::json::object {{"failure_domain", m_settings.failureDomain},
                                        {"logs", boost::json::object {{"config", describe(m_configLog)}, {"intents", describe(m_intentLog)}}}};
        };
        return options;
    }

    void receive(const LinkPeer &from, wire::Envelope &&message)
    {
        if (message.has_raft()) {
            receiveFromControl(from, std::move(*message.mutable_raft()));
        } else if (from.kind == LinkPeer::Kind::Accepted) {
            m_service.handleMessage(from.id, std::move(message));
        }
    }

    void receiveFromControl(const LinkPeer &from, wire::Raft &&message)
    {
        switch (static_cast<LogId>(message.log_id())) {
        case LogId::Config:
            m_configLog.host().receive(std::move(*message.mutable_message()));
            break;
        case LogId::Intents:
            m_intentLog.host().receive(std::move(*message.mutable_message()));
            break;
        case LogId::Sessions:
            break; // sent by a process of a deployment that serves sessions
        case LogId::ForwardedIntents: {
            wire::ControlPacket packet;
            if (packet.ParseFromString(message.message())) {
                m_forwarder.receive(packet, [this, from](const wire::ControlPacket &answer) {
                    m_link->send(from, LogPeers::envelope(LogId::ForwardedIntents, answer.SerializeAsString()));
                });
            }
            break;
        }
        }
    }

    void tick()
    {
        m_forwarder.tick(Clock::now());
        m_service.tick();
        m_api.tick();
        if (m_stopping && (m_server->requestsInFlight() == 0 || Clock::now() >= m_stopDeadline)) {
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

    void stop()
    {
        log::write(log::Level::Info, "stopping");
        m_stopping = true;
        m_stopDeadline = Clock::now() + drainTimeout;
        m_server->drain();
        m_api.drain();
    }

    const ControlSettings &m_settings;
    std::string m_token;
    boost::asio::io_context m_context {1};
    std::optional<MessageLink> m_link;
    LogPeers m_configPeers;
    LogPeers m_intentPeers;
    ControlLog<ConfigMachine> m_configLog;
    ControlLog<IntentMachine> m_intentLog;
    ProposalForwarder m_forwarder;
    EndpointClient m_endpoints;
    ControlService m_service;
    OperatorApi m_api;
    std::optional<HttpServer> m_server;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    bool m_stopping = false;
    TimePoint m_stopDeadline;
    int m_exitCode = 0;
};

} // namespace

int serve(const ControlSettings &settings)
{
    std::string token;
    if (const auto problem = readSecret(settings.tokenFile, token); !problem.empty()) {
        std::cerr << problem << '\n';
        return 1;
    }
    LinkKey key;
    if (!settings.keyFile.empty()) {
        const auto loaded = loadLinkKey(settings.keyFile);
        if (!loaded) {
            std::cerr << settings.keyFile << ": " << loaded.error().message() << '\n';
            return 1;
        }
        key = loaded.value();
    }
    log::start({.process = settings.self.name, .file = settings.logFile, .level = settings.logLevel});
    int code = 0;
    {
        ControlProcess process(settings, std::move(token));
        if (const auto problem = process.start(key); !problem.empty()) {
            log::write(log::Level::Error, "can't start", {{"problem", problem}});
            std::cerr << problem << '\n';
            code = 1;
        } else {
            log::write(log::Level::Info, "started", {{"link", settings.self.linkAddress}, {"http", settings.self.httpAddress}, {"encrypted", !key.isEmpty()}});
            code = process.run();
            log::write(log::Level::Info, "stopped");
        }
    }
    log::stop();
    return code;
}

} // namespace waxwing::control
