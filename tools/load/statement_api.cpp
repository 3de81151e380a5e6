#include "statement_api.h"

#include "load_options.h"

#include <waxwing/transport/http_exchange.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace waxwing::load
{

namespace json = boost::json;

namespace
{

std::string textOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    boost::system::error_code error;
    const auto number = value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

std::string proxyTarget(const Operation &operation)
{
    switch (operation.steps[operation.step].kind) {
    case Step::Kind::Statement:
        return "/v1/statements";
    case Step::Kind::Begin:
        return "/v1/transactions";
    case Step::Kind::TransactionStatement:
        return "/v1/transactions/" + operation.transaction + "/statements";
    case Step::Kind::Commit:
        return "/v1/transactions/" + operation.transaction + "/commit";
    case Step::Kind::Rollback:
        return "/v1/transactions/" + operation.transaction + "/rollback";
    }
    return {};
}

} // namespace

StatementApi::StatementApi(const LoadOptions &options)
    : m_options(options)
{
}

HttpRequest StatementApi::request(const Operation &operation, const Session &session, Duration remaining) const
{
    return m_options.isDirect ? directRequest(operation) : proxyRequest(operation, session, remaining);
}

HttpRequest StatementApi::proxyRequest(const Operation &operation, const Session &session, Duration remaining) const
{
    const auto &step = operation.steps[operation.step];
    const auto &operationClass = *operation.operationClass;
    const auto milliseconds = std::max<std::int64_t>(1, toMilliseconds(remaining).count());
    // Steps of a transaction take what the transaction began with; proxies refuse the other fields there.
    if (step.kind == Step::Kind::TransactionStatement) {
        const json::object part {{"statement", step.statement}, {"kind", "write"}, {"deadline_ms", milliseconds}};
        return {.method = "POST", .target = proxyTarget(operation), .body = json::serialize(part)};
    }
    if (step.kind == Step::Kind::Commit || step.kind == Step::Kind::Rollback) {
        return {.method = "POST", .target = proxyTarget(operation), .body = json::serialize(json::object {{"deadline_ms", milliseconds}})};
    }
    json::object body {{"service", operation.service},
                       {"kind", operationClass.isWrite ? "write" : "read"},
                       {"deadline_ms", milliseconds},
                       {"caller", "caller-" + std::to_string(operation.session % 8)},
                       {"operation", operationClass.name}};
    if (!step.statement.empty()) {
        body["statement"] = step.statement;
    }
    if (!session.token.empty()) {
        body["session"] = session.token;
    }
    if (!operationClass.isWrite) {
        body["freshness"] = json::object {{"mode", operationClass.freshness}, {"max_age_ms", operationClass.maxAgeMilliseconds}};
    }
    if (operationClass.mustNotRepeat) {
        body["idempotency_key"] = operation.idempotencyKey;
        body["must_not_repeat"] = true;
    }
    return {.method = "POST", .target = proxyTarget(operation), .body = json::serialize(body)};
}

HttpRequest StatementApi::directRequest(const Operation &operation) const
{
    const auto &step = operation.steps[operation.step];
    const json::object body {{"correlation_id", operation.identifier},
                             {"term", m_options.directTerm},
                             {"statement", step.statement},
                             {"kind", operation.operationClass->isWrite ? "write" : "read"},
                             {"transaction", false}};
    return {.method = "POST", .target = "/v1/execute", .body = json::serialize(body)};
}

Answer StatementApi::answer(const HttpExchange &exchange) const
{
    Answer answer;
    if (exchange.error) {
        answer.reason = exchange.error.message();
        return answer;
    }
    answer.status = exchange.response.status;
    boost::system::error_code error;
    const auto value = json::parse(exchange.response.body, error);
    if (error || !value.is_object()) {
        answer.reason = "unreadable";
        return answer;
    }
    const auto &object = value.as_object();
    answer.outcome = textOf(object, "outcome");
    answer.reason = textOf(object, "reason");
    answer.session = textOf(object, "session");
    answer.transaction = textOf(object, "transaction");
    answer.servedBy = textOf(object, "served_by");
    answer.role = textOf(object, "role");
    answer.term = numberOf(object, "term");
    answer.position = numberOf(object, "position");
    if (const auto *result = object.if_contains("result"); result != nullptr && result->is_object()) {
        answer.value = textOf(result->as_object(), "value");
    } else {
        answer.value = textOf(object, "result");
    }
    if (answer.outcome == "rejected") {
        answer.outcome = "not-run";
    }
    return answer;
}

} // namespace waxwing::load
