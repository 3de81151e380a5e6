#include "serve.h"

#include "control_service.h"
#include "control_settings.h"
#include "endpoint_client.h"
#include "operator_api.h"

#include <waxwing/coordination/memory_log.h>
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

constexpr Duration tickInterval = 5ms; // bounds the delay of a push and of a step of a promotion
constexpr Duration drainLimit = 2s; // for responses in flight at the end

/// The parts of one control process, on one thread beside those of the link, the disk and the log.
class ControlProcess
{
public:
    ControlProcess(const ControlSettings &settings, std::string token)
        : m_settings(settings)
        , m_token(std::move(token))
        , m_configLog(m_config)
        , m_intentLog(m_intents)
        , m_endpoints(m_context)
        , m_service({}, m_config, m_configLog.port(), m_intentLog.port(), ports())
        , m_api(apiOptions(), m_service)
        , m_timer(m_context)
        , m_signals(m_context, SIGTERM, SIGINT)
    {
        m_configLog.observe([this](LogIndex) { m_service.handleApplied(); });
    }

    std::string start(const LinkKey &key)
    {
        auto link = MessageLink::start(m_context, {.name = m_settings.self.name, .listen = m_settings.self.linkAddress, .key = key},
                                       [this](const LinkPeer &from, wire::Envelope &&message) { receive(from, std::move(message)); });
        if (!link) {
            return "can't listen on the link address " + m_settings.self.linkAddress + ": " + link.error().message();
        }
        m_link.emplace(std::move(link.value()));
        HttpServerOptions options;
        options.listen = m_settings.self.httpAddress;
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

    void run()
    {
        m_context.run();
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
        ports.leaderLinkAddress = [] {
            return std::string();
        };
        return ports;
    }

    OperatorApiOptions apiOptions()
    {
        OperatorApiOptions options;
        options.member = m_settings.self.name;
        options.token = m_token;
        options.leaderHttpAddress = [] {
            return std::string();
        };
        options.logStatus = [] {
            return boost::json::object();
        };
        return options;
    }

    void receive(const LinkPeer &from, wire::Envelope &&message)
    {
        if (from.kind == LinkPeer::Kind::Accepted) {
            m_service.handleMessage(from.id, std::move(message));
        }
    }

    void tick()
    {
        m_service.tick();
        m_api.tick();
        if (m_stopping && (m_server->requestsInFlight() == 0 || Clock::now() >= m_stopBy)) {
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
        m_stopBy = Clock::now() + drainLimit;
        m_server->drain();
        m_api.drain();
    }

    const ControlSettings &m_settings;
    std::string m_token;
    boost::asio::io_context m_context {1};
    ConfigMachine m_config;
    IntentMachine m_intents;
    MemoryLog<ConfigMachine> m_configLog;
    MemoryLog<IntentMachine> m_intentLog;
    EndpointClient m_endpoints;
    ControlService m_service;
    OperatorApi m_api;
    std::optional<MessageLink> m_link;
    std::optional<HttpServer> m_server;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    bool m_stopping = false;
    TimePoint m_stopBy;
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
            process.run();
            log::write(log::Level::Info, "stopped");
        }
    }
    log::stop();
    return code;
}

} // namespace waxwing::control
