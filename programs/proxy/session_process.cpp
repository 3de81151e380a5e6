#include "session_process.h"

#include "control_client.h"
#include "position_poll.h"
#include "session_settings.h"

#include <waxwing/platform/control_calls.h>
#include <waxwing/sessions/planned_stop.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/session_server.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>
#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_request.h>
#include <waxwing/transport/http_response.h>
#include <waxwing/transport/http_server.h>
#include <waxwing/transport/link_key.h>
#include <waxwing/transport/message_link.h>
#include <waxwing/wire/waxwing.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace waxwing
{

namespace
{

// Evidence of a failed primary waits for at most this long; each wake-up is paid for.
constexpr Duration tickInterval = 40ms;
// A primary is reported when statements wait for this long without any answer. The longest work takes 360 ms, but a
// database runs three statements at a time, so that something is answered in between.
constexpr Duration silenceLimit = 300ms;
constexpr Duration stallLimit = 600ms; // writes wait for a replica as well, up to two round trips between regions
constexpr double demandSeconds = 0.35; // a little less than the time between renewals
constexpr double demandWeight = 0.5; // demand doubles within some seconds, which an average of two or three values follows
constexpr Duration rateRequestSpacing = 100ms; // between renewals ahead of time that ask for a share of a rate limit
constexpr Duration catchUpSpacing = 400ms; // between renewals ahead of time that state a lost configuration or directory
constexpr Duration reportSpacing = 150ms; // between renewals ahead of time that repeat the same evidence
// The thread of the log writes the last lines in this time. Ending the log waits for threads of its library, which took
// longer than the stop limit on these machines.
constexpr Duration logNotice = 50ms;
// Larger blocks, as for long messages, are mapped and returned to the system as soon as they are freed. glibc would raise its own
// threshold with the first freed block, and later blocks would remain in the heap.
constexpr int mappedBlockBytes = 128 << 10;
constexpr int memoryArenas = 2; // threads that handle messages: sessions and the link
// Holders to which links are kept: the nearest, and one to go on with when it fails.
constexpr std::size_t linkedHolders = 2;

std::vector<std::string> linkAddresses(const SessionSettings &settings)
{
    std::vector<std::string> addresses;
    for (const auto &seed : settings.seeds) {
        addresses.push_back(seed.substr(0, seed.rfind(':') + 1) + std::to_string(settings.linkPort));
    }
    return addresses;
}

SessionDirectory::Options directoryOptions(const SessionSettings &settings)
{
    SessionDirectory::Options options;
    options.proxy = settings.name;
    options.failureDomain = settings.failureDomain;
    options.regions = settings.regions;
    options.warmConnections = settings.warmConnections;
    options.connectionLimit = settings.connectionLimit;
    options.drainLimit = settings.drainLimit;
    options.replacedPrimaryStops = settings.replacedPrimaryStops;
    return options;
}

/// The parts of a proxy that serves sessions; all on one thread beside those of the link and the log.
class SessionProcess
{
public:
    explicit SessionProcess(const SessionSettings &settings)
        : m_settings(settings)
        , m_incarnation(randomIdentifier())
        , m_directory(m_context.get_executor(), directoryOptions(settings))
        , m_server(m_context, m_directory, settings.maxSessions, links(), settings.limits)
        , m_stop(m_server, settings.stopLimit)
        , m_poll(m_context, m_directory)
        , m_control(
              {.addresses = linkAddresses(settings), .incarnation = m_incarnation, .seed = m_incarnation},
              [this](const LinkPeer &to, const wire::Envelope &message) { return m_link && m_link->send(to, message); },
              [this](std::uint64_t sequence) { return makeRenewal(sequence); })
        , m_timer(m_context)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    {
    }

    std::string start(LinkKey key)
    {
        MessageLinkOptions options;
        options.name = m_settings.name;
        options.listen = m_settings.linkListen;
        // ZeroMQ 4.3.4 aborts the process when its heartbeat is due on a connection whose input has stopped and failed
        // (`!_io_error`), which happens after a suspension; the kernel's limits find silent peers instead.
        options.heartbeat = Duration::zero();
        options.key = std::move(key);
        auto link = MessageLink::start(
            m_context, std::move(options), [this](const LinkPeer &from, wire::Envelope &&message) { receive(from, message); },
            [this](const LinkPeer &to, wire::Envelope &&message) {
                if (message.has_pool() && message.pool().has_forward()) {
                    m_server.forwarder().recordNotSent(message.pool().forward());
                } else if (message.has_pool() && message.pool().has_renewal()) {
                    m_control.onNotSent(to);
                }
            });
        if (!link) {
            return "can't start the link on " + m_settings.linkListen + ": " + link.error().message();
        }
        m_link.emplace(std::move(link.value()));
        for (const auto &address : linkAddresses(m_settings)) {
            m_link->dial(address); // a message to a peer that is not connected yet is dropped
        }
        if (const auto listening = m_server.listen(m_settings.callerListen); !listening) {
            return "can't listen on " + m_settings.callerListen + ": " + listening.error().message();
        }
        for (const auto &address : {m_settings.readyListen, m_settings.metricsListen}) {
            if (address.empty()) {
                continue;
            }
            HttpServerOptions http;
            http.listen = address;
            auto server = HttpServer::start(m_context, std::move(http), [this](HttpRequest &&request, HttpReply reply) { reply.send(answer(request)); });
            if (!server) {
                return "can't listen on " + address + ": " + server.error().message();
            }
            m_http.push_back(std::move(server.value()));
        }
        awaitSignal();
        tick();
        return {};
    }

    int run()
    {
        m_context.run();
        return 0;
    }

private:
    SessionServer::Links links()
    {
        SessionServer::Links links;
        links.incarnation = m_incarnation;
        links.forward = [this](const std::string &link, const wire::PoolForward &content) {
            wire::Envelope message;
            *message.mutable_pool()->mutable_forward() = content;
            return m_link && m_link->send({LinkPeer::Kind::Dialed, link}, message);
        };
        links.answer = [this](const std::string &proxy, const wire::PoolForwardAnswer &content) {
            wire::Envelope message;
            *message.mutable_pool()->mutable_forward_answer() = content;
            if (m_link) {
                m_link->send({LinkPeer::Kind::Accepted, proxy}, message);
            }
        };
        return links;
    }

    /// Connects to the holders of the nearest failure domains ahead of the first statement.
    void connectHolders()
    {
        if (m_directory.directoryVersion() == m_linkedVersion) {
            return;
        }
        m_linkedVersion = m_directory.directoryVersion();
        std::set<std::string> wanted;
        for (const auto &[name, service] : m_directory.services()) {
            if (service->holdsConnections()) {
                continue;
            }
            auto holders = service->holders();
            std::stable_sort(holders.begin(), holders.end(), [this](const StatementHolder &one, const StatementHolder &other) {
                return m_directory.distance(one.failureDomain) < m_directory.distance(other.failureDomain);
            });
            for (std::size_t i = 0; i < std::min(holders.size(), linkedHolders); ++i) {
                wanted.insert(holders[i].link);
            }
        }
        for (const auto &link : wanted) {
            if (!m_holderLinks.contains(link)) {
                m_link->dial(link);
            }
        }
        m_holderLinks.merge(wanted);
    }

    /// Connects to the members of control that the directory names, and to those of the settings only besides.
    void connectMembers()
    {
        if (m_directory.directoryVersion() == m_membersVersion) {
            return;
        }
        m_membersVersion = m_directory.directoryVersion();
        const auto change = m_control.setMembers(m_directory.controlMembers());
        for (const auto &address : change.added) {
            m_link->dial(address);
        }
        for (const auto &address : change.dropped) {
            m_link->disconnect(address);
        }
    }

    HttpResponse answer(const HttpRequest &request) const
    {
        HttpResponse response;
        std::string unused;
        if (platform::classify(request, unused) == platform::Call::Ready) {
            const bool ready = !m_stop.isBegun() && !m_server.isFull() && m_directory.isReady(Clock::now());
            response.status = ready ? 200 : 503;
            response.body = ready ? R"({"ready":true})" : R"({"ready":false})";
        } else if (request.target == "/metrics") {
            m_server.recordMemory();
            response.contentType = "text/plain; version=0.0.4";
            response.body = Metrics::instance().exposition();
        } else {
            response.status = 404;
            response.body = R"({"error":"not known"})";
        }
        return response;
    }

    wire::Envelope makeRenewal(std::uint64_t sequence)
    {
        const auto now = Clock::now();
        wire::Envelope message;
        auto &renewal = *message.mutable_pool()->mutable_renewal();
        renewal.set_sequence(sequence);
        renewal.set_proxy(m_settings.name);
        renewal.set_incarnation(m_incarnation);
        renewal.set_failure_domain(m_settings.failureDomain);
        renewal.set_config_version(m_directory.configVersion());
        renewal.set_directory_version(m_directory.directoryVersion());
        renewal.set_draining(m_stop.isBegun());
        renewal.set_demand(measureDemand(now));
        renewal.set_link(m_settings.linkListen);
        renewal.set_takes_compressed(true);
        renewal.set_takes_changes(true);
        renewal.set_content_hash(m_directory.contentHash());
        renewal.set_databases_hash(m_directory.databasesHash());
        renewal.set_received_number(m_directory.receivedNumber());
        renewal.set_received_term(m_directory.controlTerm());
        renewal.set_unreachable_leader(m_control.unreachableLeader());
        m_directory.admission().state(renewal, now);
        for (const auto &[name, service] : m_directory.services()) {
            const auto primary = service->primary();
            if (!primary) {
                continue;
            }
            const bool silent = primary->isSilent(now, silenceLimit);
            const bool stalled = service->isStalled(now, stallLimit);
            const bool lagging = service->isPrimaryAlone();
            if (silent || stalled || lagging) {
                auto &report = *renewal.add_reports();
                report.set_service(name);
                report.set_epoch(service->epoch());
                report.set_unreachable(silent);
                report.set_stalled(stalled);
                report.set_lagging(lagging);
            }
        }
        return message;
    }

    /// Sessions and statements a second since the last renewal.
    std::uint32_t measureDemand(TimePoint now)
    {
        const auto seconds = std::chrono::duration<double>(now - m_demandAt).count();
        if (seconds >= demandSeconds) {
            const auto statements = m_server.statements();
            m_statementRate += (static_cast<double>(statements - m_demandStatements) / seconds - m_statementRate) * demandWeight;
            m_demandStatements = statements;
            m_demandAt = now;
        }
        return static_cast<std::uint32_t>(static_cast<double>(m_server.sessions()) + m_statementRate);
    }

    bool hasEvidence(TimePoint now) const
    {
        for (const auto &[name, service] : m_directory.services()) {
            const auto primary = service->primary();
            if (primary && (primary->isSilent(now, silenceLimit) || service->isStalled(now, stallLimit))) {
                return true;
            }
        }
        return false;
    }

    void receive(const LinkPeer &from, const wire::Envelope &message)
    {
        if (!message.has_pool()) {
            return;
        }
        const auto &body = message.pool();
        if (body.has_grant()) {
            const auto sentAt
                = m_control.onGrant(from, {.sequence = body.grant().sequence(), .incarnation = body.grant().incarnation(), .relayed = body.grant().relayed()});
            if (body.grant().renew_after_ms() != 0) {
                m_control.setInterval(std::chrono::milliseconds(body.grant().renew_after_ms()));
            }
            // A relayed grant may overtake the direct one, whose content is still needed.
            const auto before = m_directory.configVersion();
            m_directory.apply(body.grant(), sentAt.value_or(TimePoint()));
            connectMembers();
            if (m_directory.configVersion() != before) {
                m_control.hurry(); // control sends a newer configuration only once this one is in force
            } else if (const auto now = Clock::now(); m_directory.isBehind() && now - m_lastCatchUp >= catchUpSpacing) {
                m_lastCatchUp = now;
                m_control.hurry(); // what this grant names was sent before and is lost; control learns it from the next renewal
            }
        } else if (body.has_withdraw()) {
            withdraw(from, body.withdraw());
        } else if (body.has_forward()) {
            m_server.forwarded().receive(from.id, body.forward());
        } else if (body.has_forward_answer()) {
            m_server.forwarder().receive(body.forward_answer());
        } else if (body.has_not_leader()) {
            m_control.onNotLeader(from, body.not_leader().leader());
        }
    }

    void withdraw(const LinkPeer &from, const wire::PoolWithdraw &request)
    {
        wire::Envelope message;
        auto &reply = *message.mutable_pool()->mutable_withdrawn();
        reply = m_directory.withdraw(request, Clock::now());
        reply.set_proxy(m_settings.name);
        reply.set_incarnation(m_incarnation);
        log::write(log::Level::Info, "epoch withdrawn",
                   {{"service", request.service()},
                    {"epoch", request.epoch()},
                    {"closed", request.closes()},
                    {"acknowledged_term", reply.acknowledged().term()},
                    {"acknowledged", reply.acknowledged().number()}});
        m_link->send(from, message);
    }

    void tick()
    {
        const auto now = Clock::now();
        noteLease(now);
        if (now - m_lastReport >= reportSpacing && hasEvidence(now)) {
            m_lastReport = now;
            m_control.hurry();
        }
        if (now - m_lastRateRequest >= rateRequestSpacing && m_directory.admission().takeRenewalRequest()) {
            m_lastRateRequest = now;
            m_control.hurry();
        }
        m_control.tick(now);
        m_poll.tick(now);
        m_directory.tick(now);
        m_server.forwarded().tick(now);
        connectHolders();
        if (m_stop.advance(now)) {
            std::_Exit(0);
        }
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    void noteLease(TimePoint now)
    {
        const bool leased = m_directory.lease().isValid(now);
        if (m_leased && !leased) {
            log::write(log::Level::Warning, "lease lost", {{"config_version", m_directory.configVersion()}});
            Metrics::instance().counter("waxwing_session_leases_lost_total").add();
        }
        if (leased) {
            m_unleasedSince.reset();
        } else if (!m_unleasedSince) {
            m_unleasedSince = now;
            m_handedOver = false;
        } else if (!m_handedOver && now - *m_unleasedSince >= PlannedStop::balancerRemovalTime) {
            // By now the load balancer sends callers elsewhere, so that idle sessions are served sooner after a new start.
            m_handedOver = true;
            log::write(log::Level::Info, "idle sessions closed without a lease", {{"left", m_server.closeIdle()}});
        }
        m_leased = leased;
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                // Nothing that a running process uses may change but the seeds, which matter to a start only.
                log::write(log::Level::Info, "reload requested", {{"effect", "none"}});
            } else if (!m_stop.isBegun()) {
                m_stop.begin(Clock::now());
                m_control.hurry(); // control names other holders
            }
            awaitSignal();
        });
    }

    const SessionSettings &m_settings;
    std::uint64_t m_incarnation;
    boost::asio::io_context m_context {1};
    std::optional<MessageLink> m_link;
    SessionDirectory m_directory;
    SessionServer m_server;
    PlannedStop m_stop;
    PositionPoll m_poll;
    ControlClient m_control;
    std::vector<HttpServer> m_http;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    std::uint64_t m_membersVersion = 0; ///< of the directory whose members of control are asked
    std::uint64_t m_linkedVersion = 0; ///< of the directory whose holders are connected
    std::set<std::string> m_holderLinks; ///< links that were dialed
    TimePoint m_lastReport;
    TimePoint m_lastCatchUp;
    TimePoint m_lastRateRequest;
    TimePoint m_demandAt = Clock::now();
    std::uint64_t m_demandStatements = 0;
    double m_statementRate = 0; ///< a second, moving average
    std::optional<TimePoint> m_unleasedSince;
    bool m_handedOver = false; ///< idle sessions were closed since the lease was lost
    bool m_leased = false;
};

} // namespace

int runSessionProxy(const SessionSettings &settings)
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
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    ::mallopt(M_ARENA_MAX, memoryArenas);
    std::signal(SIGPIPE, SIG_IGN);
    log::start({.process = settings.name, .standardOutput = true, .level = settings.logLevel});
    int code = 1;
    {
        SessionProcess process(settings);
        if (const auto problem = process.start(std::move(key)); !problem.empty()) {
            log::write(log::Level::Error, "can't start", {{"problem", problem}});
        } else {
            log::write(log::Level::Info, "started", {{"listen", settings.callerListen}, {"failure_domain", settings.failureDomain}});
            code = process.run();
        }
        // Sessions that are left end with the process; their coroutines must not outlive its parts.
        std::this_thread::sleep_for(logNotice);
        std::_Exit(code);
    }
}

} // namespace waxwing
