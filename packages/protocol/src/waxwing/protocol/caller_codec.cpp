#include <waxwing/protocol/caller_codec.h>
#include <waxwing/protocol/json_reader.h>
#include <waxwing/state/outcome.h>
#include <waxwing/support/identifier.h>
#include <waxwing/wire/waxwing.pb.h>

#include <boost/json/serialize.hpp>

#include <array>

namespace waxwing
{

namespace
{

using namespace std::string_view_literals;

constexpr std::size_t maxNameLength = 255;
constexpr std::size_t maxStatementLength = 1 << 20;
constexpr std::size_t maxTokenLength = 64 << 10;
constexpr NumberRange deadlineRange {.low = 1, .high = 600'000, .fallback = 5'000};
constexpr NumberRange ageRange {.low = 0, .high = 86'400'000, .fallback = 0};

constexpr std::array kinds = {"read"sv, "write"sv};
constexpr std::array freshnessModes = {"session"sv, "primary"sv, "max_age"sv, "any"sv};
constexpr std::array workClasses = {""sv, "short"sv, "long"sv};

void decodeFreshness(JsonReader &reader, wire::StatementRequest &request)
{
    auto freshness = reader.object("freshness");
    request.set_freshness(freshness.choice("mode", freshnessModes));
    request.set_max_age_ms(freshness.number("max_age_ms", ageRange));
    if (request.freshness() == "max_age" && freshness.value("max_age_ms") == nullptr) {
        freshness.report("max_age_ms", "missing; mode max_age requires it");
    }
    reader.merge(std::move(freshness));
}

void decodeKey(JsonReader &reader, wire::StatementRequest &request)
{
    request.set_idempotency_key(reader.text("idempotency_key", maxNameLength));
    request.set_must_not_repeat(reader.boolean("must_not_repeat", false));
    if (!request.idempotency_key().empty() && !uuid7Time(request.idempotency_key())) {
        reader.report("idempotency_key", "must be a UUID of version 7");
    }
    if (request.must_not_repeat() && request.idempotency_key().empty()) {
        reader.report("idempotency_key", "missing; must_not_repeat requires it");
    }
    if (request.must_not_repeat() && request.kind() == wire::READ) {
        reader.report("must_not_repeat", "allowed for writes only");
    }
}

} // namespace

std::string decodeCallerRequest(std::string_view body, CallerRequestKind kind, wire::StatementRequest &request)
{
    JsonReader reader(body);
    if (!reader.error().empty()) {
        return reader.error();
    }
    const bool hasStatement = kind == CallerRequestKind::Statement || kind == CallerRequestKind::TransactionStatement;
    const bool isNew = kind == CallerRequestKind::Statement || kind == CallerRequestKind::Begin;
    if (hasStatement) {
        request.set_statement(reader.text("statement", maxStatementLength, Presence::Required));
        request.set_kind(reader.choice("kind", kinds, Presence::Required) == "write" ? wire::WRITE : wire::READ);
    } else {
        request.set_kind(wire::WRITE);
        reader.choice("kind", kinds);
    }
    request.set_service(reader.text("service", maxNameLength, isNew ? Presence::Required : Presence::Optional));
    request.set_session(reader.text("session", maxTokenLength));
    request.set_caller(reader.text("caller", maxNameLength));
    request.set_operation(reader.text("operation", maxNameLength));
    request.set_work_class(reader.choice("work_class", workClasses));
    if (isNew) {
        decodeFreshness(reader, request);
        decodeKey(reader, request);
    }
    if (kind == CallerRequestKind::Begin && request.must_not_repeat()) {
        reader.report("must_not_repeat", "not supported for transactions");
    }
    request.set_deadline_ms(reader.number("deadline_ms", deadlineRange));
    reader.refuseUnknownFields();
    return reader.error();
}

std::string encodeCallerAnswer(const wire::StatementAnswer &answer)
{
    boost::json::object body;
    body["request_id"] = answer.request_id();
    body["outcome"] = answer.outcome();
    if (!answer.reason().empty()) {
        body["reason"] = answer.reason();
    }
    if (!answer.message().empty()) {
        body["message"] = answer.message();
    }
    if (answer.outcome() == "not-run") {
        body["retry_after_ms"] = answer.retry_after_ms();
    }
    if (!answer.transaction().empty()) {
        body["transaction"] = answer.transaction();
    }
    if (!answer.session().empty()) {
        body["session"] = answer.session();
    }
    if (!answer.served_by().empty()) {
        body["served_by"] = answer.served_by();
        body["role"] = answer.role();
        body["term"] = answer.term();
        body["position"] = answer.position();
    }
    auto text = boost::json::serialize(body);
    if (!answer.result_json().empty()) {
        // The result is JSON already, checked against its checksum; parsing it again would only cost time.
        text.pop_back();
        text.append(",\"result\":").append(answer.result_json()).append("}");
    }
    return text;
}

unsigned callerStatus(const wire::StatementAnswer &answer)
{
    constexpr unsigned internalError = 500;
    const auto outcome = Outcome::fromCodes(answer.outcome(), answer.reason());
    return outcome ? outcome->httpStatus() : internalError;
}

} // namespace waxwing
