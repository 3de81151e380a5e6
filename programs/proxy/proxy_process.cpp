#include "proxy_process.h"

#include "caller_service.h"
#include "directory_file.h"
#include "dispatcher.h"
#include "thread_channel.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>
#include <waxwing/transport/message_link.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <optional>
#include <thread>

namespace waxwing
{

namespace
{

using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

constexpr auto pollInterval = 20ms;
constexpr std::size_t diskRingCapacity = 4;

Dispatcher::Options dispatcherOptions(const ProxySettings &settings)
{
    return {.name = settings.name,
            .incarnation = randomIdentifier(),
            .failureDomain = settings.failureDomain,
            .linkAddress = settings.linkAddress,
            .callerAddress = settings.callerAddress,
            .controlAddresses = settings.controlAddresses,
            .explainCapacity = settings.explainCapacity,
            .maxWaiting = settings.maxWaiting,
            .hedgesReads = settings.hedgesReads,
            .seed = randomIdentifier()};
}

} // namespace

struct ProxyProcess::Data
{
    Data(ProxySettings values, TokenKeyRing keys, LinkKey key)
        : settings(std::move(values))
        , linkKey(std::move(key))
        , toDispatch(dispatchContext, settings.ringCapacity)
        , toCallers(callerContext, settings.ringCapacity)
        , toDisk(diskContext, diskRingCapacity)
        , service(toDispatch, health)
        , dispatcher(
              dispatchContext, dispatcherOptions(settings), std::move(keys),
              [this](const LinkPeer &to, const wire::Envelope &message) { return link && link->send(to, message); },
              [this](wire::Grant &&full) { return toDisk.push(std::move(full)); })
        , callerTimer(callerContext)
        , dispatchTimer(dispatchContext)
    {
        toDispatch.setConsumer([this](CallerMessage &&message) { dispatch(std::move(message)); });
        toCallers.setConsumer([this](CallerReply &&reply) { service.deliver(std::move(reply)); });
        toDisk.setConsumer([this](wire::Grant &&full) {
            if (!storeDirectory(settings.dataFolder, full)) {
                Metrics::instance().counter("waxwing_store_failures_total").add();
                log::write(log::Level::Error, "directory could not be stored", {{"folder", settings.dataFolder}});
            }
        });
    }

    void reply(std::uint64_t id, std::variant<wire::StatementAnswer, HttpResponse> content)
    {
        // An answer must not get lost when the ring is full; then it waits here.
        backlog.push_back({id, std::move(content)});
        flushBacklog();
    }

    void flushBacklog()
    {
        while (!backlog.empty()) {
            if (!toCallers.push(std::move(backlog.front()))) {
                Metrics::instance().counter("waxwing_reply_ring_full_total").add();
                return;
            }
            backlog.pop_front();
        }
    }

    void dispatch(CallerMessage &&message)
    {
        if (auto *submit = std::get_if<SubmitMessage>(&message)) {
            dispatcher.submit(std::move(submit->request), [this, id = submit->reply](wire::StatementAnswer &&answer) { reply(id, std::move(answer)); });
        } else if (const auto *cancel = std::get_if<CancelMessage>(&message)) {
            const bool isCancelled = dispatcher.cancel(cancel->requestId);
            reply(cancel->reply, HttpResponse {.status = isCancelled ? 200U : 409U, .body = isCancelled ? R"({"cancelled":true})" : R"({"cancelled":false})"});
        } else if (const auto *explain = std::get_if<ExplainMessage>(&message)) {
            const auto text = dispatcher.explain(explain->requestId);
            reply(explain->reply, HttpResponse {.status = text ? 200U : 404U, .body = text.value_or(R"({"error":"the request is not known"})")});
        } else if (const auto *announcement = std::get_if<wire::Announcement>(&message)) {
            dispatcher.announce(*announcement);
        }
    }

    // On the dispatch thread: passes on the replies that found the ring full, and the state that others read.
    void pollDispatch()
    {
        flushBacklog();
        health.isReady = dispatcher.isReady();
        if (health.isDraining) {
            dispatcher.drain();
            isDrained = dispatcher.isDrained() && backlog.empty();
        }
        dispatchTimer.expires_after(pollInterval);
        dispatchTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                pollDispatch();
            }
        });
    }

    // On the thread of the callers: carries a planned stop through.
    void pollCallers()
    {
        if (health.isDraining && !stopStarted) {
            stopStarted = Clock::now();
            log::write(log::Level::Info, "planned stop begins");
        }
        if (stopStarted) {
            const auto elapsed = Clock::now() - *stopStarted;
            if (elapsed >= settings.drainNotice && !isClosing) {
                isClosing = true;
                service.server().drain();
            }
            const bool isIdle = isClosing && service.server().requestsInFlight() == 0 && isDrained;
            if (isIdle || elapsed >= settings.drainNotice + settings.drainLimit) {
                isComplete = isIdle;
                service.server().closeIdle();
                finish();
                return;
            }
        }
        callerTimer.expires_after(pollInterval);
        callerTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                pollCallers();
            }
        });
    }

    void finish()
    {
        log::write(log::Level::Info, "planned stop ends", {{"complete", isComplete.load()}});
        callerContext.stop();
        dispatchContext.stop();
        diskGuard.reset(); // What is to be stored is stored.
    }

    ProxySettings settings;
    LinkKey linkKey;
    boost::asio::io_context callerContext {1};
    boost::asio::io_context dispatchContext {1};
    boost::asio::io_context diskContext {1};
    WorkGuard callerGuard = boost::asio::make_work_guard(callerContext);
    WorkGuard dispatchGuard = boost::asio::make_work_guard(dispatchContext);
    WorkGuard diskGuard = boost::asio::make_work_guard(diskContext);
    ProxyHealth health;
    ThreadChannel<CallerMessage> toDispatch;
    ThreadChannel<CallerReply> toCallers;
    ThreadChannel<wire::Grant> toDisk;
    std::deque<CallerReply> backlog; // dispatch thread
    std::optional<MessageLink> link;
    CallerService service;
    Dispatcher dispatcher;
    boost::asio::steady_timer callerTimer;
    boost::asio::steady_timer dispatchTimer;
    std::optional<TimePoint> stopStarted; // thread of the callers
    bool isClosing = false; // thread of the callers
    std::atomic<bool> isDrained {false};
    std::atomic<bool> isComplete {false};
    std::thread callerThread;
    std::thread dispatchThread;
    std::thread diskThread;
};

ProxyProcess::ProxyProcess(ProxySettings settings, TokenKeyRing keys, LinkKey linkKey)
    : m_data(std::make_unique<Data>(std::move(settings), std::move(keys), std::move(linkKey)))
{
}

ProxyProcess::~ProxyProcess()
{
    if (m_data->callerThread.joinable()) {
        m_data->finish();
        wait();
    }
}

std::string ProxyProcess::start()
{
    auto &data = *m_data;
    if (const auto stored = loadDirectory(data.settings.dataFolder)) {
        data.dispatcher.restore(*stored);
    }
    auto link = MessageLink::start(
        data.dispatchContext, {.name = data.settings.name, .listen = data.settings.linkListen, .key = data.linkKey},
        [&data](const LinkPeer &from, wire::Envelope &&message) { data.dispatcher.receive(from, std::move(message)); },
        [&data](const LinkPeer &to, wire::Envelope &&message) { data.dispatcher.onNotSent(to, std::move(message)); });
    if (!link) {
        return "can't listen on " + data.settings.linkListen + " (proxy.link_listen)";
    }
    data.link.emplace(std::move(link.value()));
    const auto started = data.service.start(
        data.callerContext, {.listen = data.settings.callerListen, .maxConnections = data.settings.maxConnections, .maxBodyBytes = data.settings.maxBodyBytes});
    if (!started) {
        return "can't listen on " + data.settings.callerListen + " (proxy.listen)";
    }
    data.dispatcher.start();
    data.pollDispatch();
    data.pollCallers();
    data.callerThread = std::thread([&data] { data.callerContext.run(); });
    data.dispatchThread = std::thread([&data] { data.dispatchContext.run(); });
    data.diskThread = std::thread([&data] { data.diskContext.run(); });
    return {};
}

void ProxyProcess::stop()
{
    m_data->health.isDraining = true;
}

bool ProxyProcess::wait()
{
    for (auto *thread : {&m_data->callerThread, &m_data->dispatchThread, &m_data->diskThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
    m_data->link.reset();
    return m_data->isComplete;
}

} // namespace waxwing
