#pragma once

#include "caller_messages.h"
#include "thread_channel.h"

#include <waxwing/protocol/caller_codec.h>
#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_server.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace waxwing
{

struct HttpRequest;

/// @brief State of the proxy that /healthz reports; set by any thread.
struct ProxyHealth
{
    std::atomic<bool> isReady {false};
    std::atomic<bool> isDraining {false};
};

/// @brief HTTP API of callers and endpoints: checks and decodes requests, encodes responses. Thread of the callers.
class CallerService
{
public:
    /// @brief Creates the service.
    /// @param outbound to the dispatcher
    /// @param health reported by /healthz
    CallerService(ThreadChannel<CallerMessage> &outbound, const ProxyHealth &health);

    /// @brief Starts to listen.
    TransportResult<void> start(boost::asio::io_context &context, HttpServerOptions options);

    /// @brief Takes an answer of the dispatcher.
    void deliver(CallerReply &&reply);

    /// @brief Server; valid after start().
    HttpServer &server()
    {
        return *m_server;
    }

private:
    void handle(HttpRequest &&request, const HttpReply &reply);
    void handlePost(HttpRequest &&request, const HttpReply &reply);
    void handleGet(const HttpRequest &request, const HttpReply &reply);
    void handleTransaction(std::string_view path, HttpRequest &&request, const HttpReply &reply);
    void handleAnnouncement(const HttpRequest &request, const HttpReply &reply);
    void submit(HttpRequest &&request, CallerRequestKind kind, wire::StatementRequest &&statement, const HttpReply &reply);
    void push(CallerMessage &&message, std::uint64_t id, std::string_view requestId, const HttpReply &reply);
    void reportHealth(const HttpReply &reply) const;

    ThreadChannel<CallerMessage> &m_outbound;
    const ProxyHealth &m_health;
    std::optional<HttpServer> m_server;
    std::uint64_t m_nextReply = 0;
    std::unordered_map<std::uint64_t, HttpReply> m_replies;
};

} // namespace waxwing
