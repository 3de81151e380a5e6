#include "caller_service.h"

#include "statement_answer.h"

#include <waxwing/protocol/announcement_codec.h>
#include <waxwing/protocol/caller_codec.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/metrics.h>
#include <waxwing/transport/http_request.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace waxwing
{

namespace
{

constexpr std::size_t maxRequestIdLength = 128;
constexpr std::string_view transactionsPath = "/v1/transactions/";
constexpr std::string_view requestsPath = "/v1/requests/";
constexpr std::string_view explainPath = "/v1/explain/";
constexpr std::string_view cancelSuffix = "/cancel";

std::string requestIdOf(const HttpRequest &request)
{
    const auto isPrintable = [](char c) {
        return c > ' ' && c <= '~';
    };
    const bool isUsable = !request.requestId.empty() && request.requestId.size() <= maxRequestIdLength
        && std::all_of(request.requestId.begin(), request.requestId.end(), isPrintable);
    return isUsable ? request.requestId : makeUuid7();
}

HttpResponse errorResponse(unsigned status, std::string_view message)
{
    return {.status = status, .body = boost::json::serialize(boost::json::object {{"error", message}})};
}

HttpResponse refusal(const std::string &requestId, RefusalReason reason, const std::string &detail)
{
    wire::StatementRequest request;
    request.set_request_id(requestId);
    auto answer = makeAnswer(request, Outcome::notRun(reason), "the proxy");
    if (!detail.empty()) {
        answer.set_message(detail);
    }
    countOutcome(answer);
    return {.status = callerStatus(answer), .body = encodeCallerAnswer(answer)};
}

} // namespace

CallerService::CallerService(ThreadChannel<CallerMessage> &outbound, const ProxyHealth &health)
    : m_outbound(outbound)
    , m_health(health)
{
}

TransportResult<void> CallerService::start(boost::asio::io_context &context, HttpServerOptions options)
{
    options.refusalBody = [](unsigned, std::string_view reason, std::string_view message) {
        wire::StatementAnswer answer;
        answer.set_request_id(makeUuid7());
        answer.set_outcome("not-run");
        answer.set_reason(std::string(reason));
        answer.set_message(std::string(message));
        countOutcome(answer);
        return encodeCallerAnswer(answer);
    };
    auto server = HttpServer::start(context, std::move(options), [this](HttpRequest &&request, const HttpReply &reply) { handle(std::move(request), reply); });
    if (!server) {
        return server.error();
    }
    m_server.emplace(std::move(server.value()));
    return boost::outcome_v2::success();
}

void CallerService::handle(HttpRequest &&request, const HttpReply &reply)
{
    if (request.method == "POST") {
        handlePost(std::move(request), reply);
    } else if (request.method == "GET") {
        handleGet(request, reply);
    } else {
        reply.send(errorResponse(405, "only GET and POST are supported"));
    }
}

void CallerService::handlePost(HttpRequest &&request, const HttpReply &reply)
{
    const std::string_view path = request.target;
    if (path == "/v1/statements") {
        submit(std::move(request), CallerRequestKind::Statement, {}, reply);
    } else if (path == "/v1/transactions") {
        wire::StatementRequest statement;
        statement.set_action(wire::BEGIN);
        submit(std::move(request), CallerRequestKind::Begin, std::move(statement), reply);
    } else if (path.starts_with(transactionsPath)) {
        const std::string target(path.substr(transactionsPath.size()));
        handleTransaction(target, std::move(request), reply);
    } else if (path == "/v1/announcements") {
        handleAnnouncement(request, reply);
    } else if (path.starts_with(requestsPath) && path.ends_with(cancelSuffix) && path.size() > requestsPath.size() + cancelSuffix.size()) {
        const auto length = path.size() - requestsPath.size() - cancelSuffix.size();
        const auto id = ++m_nextReply;
        push(CancelMessage {id, std::string(path.substr(requestsPath.size(), length))}, id, requestIdOf(request), reply);
    } else {
        reply.send(errorResponse(404, "no such path"));
    }
}

void CallerService::handleTransaction(std::string_view path, HttpRequest &&request, const HttpReply &reply)
{
    const auto slash = path.rfind('/');
    const auto step = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    wire::StatementRequest statement;
    statement.set_transaction(std::string(path.substr(0, slash)));
    if (step == "statements") {
        submit(std::move(request), CallerRequestKind::TransactionStatement, std::move(statement), reply);
    } else if (step == "commit" || step == "rollback") {
        statement.set_action(step == "commit" ? wire::COMMIT : wire::ROLLBACK);
        submit(std::move(request), CallerRequestKind::Finish, std::move(statement), reply);
    } else {
        reply.send(errorResponse(404, "no such path"));
    }
}

void CallerService::submit(HttpRequest &&request, CallerRequestKind kind, wire::StatementRequest &&statement, const HttpReply &reply)
{
    const auto requestId = requestIdOf(request);
    const auto error = decodeCallerRequest(request.body, kind, statement);
    if (!error.empty()) {
        reply.send(refusal(requestId, RefusalReason::InvalidRequest, error));
        return;
    }
    statement.set_request_id(requestId);
    const auto id = ++m_nextReply;
    push(SubmitMessage {id, std::move(statement)}, id, requestId, reply);
}

void CallerService::push(CallerMessage &&message, std::uint64_t id, std::string_view requestId, const HttpReply &reply)
{
    if (!m_outbound.push(std::move(message))) {
        reply.send(refusal(std::string(requestId), RefusalReason::RingFull, {}));
        return;
    }
    m_replies.emplace(id, reply);
}

void CallerService::handleAnnouncement(const HttpRequest &request, const HttpReply &reply)
{
    wire::Announcement announcement;
    const auto error = decodeAnnouncement(request.body, announcement);
    if (!error.empty()) {
        Metrics::instance().counter("waxwing_announcements_refused_total").add();
        reply.send(errorResponse(400, error));
    } else if (!m_outbound.push(std::move(announcement))) {
        Metrics::instance().counter("waxwing_refusals_total", "reason", code(RefusalReason::RingFull)).add();
        reply.send(errorResponse(503, "the proxy is overloaded"));
    } else {
        reply.send({.status = 202, .body = "{}"});
    }
}

void CallerService::handleGet(const HttpRequest &request, const HttpReply &reply)
{
    const std::string_view path = request.target;
    if (path == "/healthz") {
        reportHealth(reply);
    } else if (path == "/metrics") {
        reply.send({.body = Metrics::instance().exposition(), .contentType = "text/plain; version=0.0.4"});
    } else if (path.starts_with(explainPath) && path.size() > explainPath.size()) {
        const auto id = ++m_nextReply;
        push(ExplainMessage {id, std::string(path.substr(explainPath.size()))}, id, requestIdOf(request), reply);
    } else {
        reply.send(errorResponse(404, "no such path"));
    }
}

void CallerService::reportHealth(const HttpReply &reply) const
{
    if (m_health.isDraining) {
        reply.send({.status = 503, .body = R"({"status":"draining"})"});
    } else if (!m_health.isReady) {
        reply.send({.status = 503, .body = R"({"status":"starting"})"});
    } else {
        reply.send({.body = R"({"status":"ok"})"});
    }
}

void CallerService::deliver(CallerReply &&reply)
{
    const auto node = m_replies.extract(reply.reply);
    if (node.empty()) {
        return;
    }
    if (const auto *answer = std::get_if<wire::StatementAnswer>(&reply.content)) {
        node.mapped().send({.status = callerStatus(*answer), .body = encodeCallerAnswer(*answer)});
    } else {
        node.mapped().send(std::move(std::get<HttpResponse>(reply.content)));
    }
}

} // namespace waxwing
