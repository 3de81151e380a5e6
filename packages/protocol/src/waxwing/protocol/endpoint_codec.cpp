#include <waxwing/protocol/endpoint_codec.h>
#include <waxwing/protocol/json_reader.h>
#include <waxwing/support/identifier.h>

#include <boost/json/serialize.hpp>

#include <array>

namespace waxwing
{

namespace
{

using namespace std::string_view_literals;

constexpr std::size_t maxNameLength = 255;
constexpr std::size_t maxReasonLength = 4'096;
constexpr std::array outcomes = {"done"sv, "failed"sv, "rejected"sv};
constexpr std::array roles = {"primary"sv, "replica"sv};

EndpointAnswer::Outcome outcomeFromCode(std::string_view code)
{
    if (code == "rejected") {
        return EndpointAnswer::Outcome::Rejected;
    }
    return code == "failed" ? EndpointAnswer::Outcome::Failed : EndpointAnswer::Outcome::Done;
}

// Takes the result after checking that it is complete.
void decodeResult(JsonReader &reader, bool hasRun, EndpointAnswer &answer)
{
    const auto *result = reader.value("result");
    const auto rows = reader.number("rows", {}, hasRun ? Presence::Required : Presence::Optional);
    const auto checksum = reader.text("checksum", maxNameLength, hasRun ? Presence::Required : Presence::Optional);
    if (!hasRun) {
        return;
    }
    std::string text;
    if (result != nullptr && result->is_string()) {
        text = std::string(result->get_string());
        answer.resultJson = "{\"value\":" + boost::json::serialize(*result) + "}";
    } else if (result != nullptr && !result->is_null()) {
        text = boost::json::serialize(*result);
        answer.resultJson = text;
    }
    if (result != nullptr && result->is_array() && result->get_array().size() != rows) {
        reader.report("rows", "does not match the rows of the result");
    }
    if (checksum != toHex(hash64(text))) {
        reader.report("checksum", "does not match the result");
    }
}

} // namespace

std::string encodeExecute(const EndpointStatement &statement)
{
    return boost::json::serialize(boost::json::object {{"correlation_id", statement.correlationId},
                                                       {"term", statement.term},
                                                       {"statement", statement.statement},
                                                       {"kind", statement.isWrite ? "write" : "read"},
                                                       {"transaction", statement.inTransaction}});
}

std::string encodeTransactionStep(std::string_view correlationId, std::uint64_t term)
{
    return boost::json::serialize(boost::json::object {{"correlation_id", correlationId}, {"term", term}});
}

std::variant<EndpointAnswer, std::string> decodeEndpointAnswer(std::string_view body, std::string_view correlationId)
{
    JsonReader reader(body);
    if (!reader.error().empty()) {
        return reader.error();
    }
    EndpointAnswer answer;
    answer.correlationId = reader.text("correlation_id", maxNameLength, Presence::Required);
    if (answer.correlationId != correlationId) {
        reader.report("correlation_id", "belongs to another request");
    }
    answer.outcome = outcomeFromCode(reader.choice("outcome", outcomes, Presence::Required));
    answer.reason = reader.text("reason", maxReasonLength);
    answer.term = reader.number("term", {}, Presence::Required);
    answer.position = reader.number("position", {}, Presence::Required);
    decodeResult(reader, answer.outcome != EndpointAnswer::Outcome::Rejected, answer);
    if (!reader.error().empty()) {
        return reader.error();
    }
    return answer;
}

// Ignores unknown fields, because a newer database may send more of them; only requests of callers are checked for them.
std::variant<EndpointStatus, std::string> decodeEndpointStatus(std::string_view body)
{
    JsonReader reader(body);
    if (!reader.error().empty()) {
        return reader.error();
    }
    EndpointStatus status;
    status.database = reader.text("database", maxNameLength, Presence::Required);
    status.group = reader.text("group", maxNameLength, Presence::Required);
    status.isPrimary = reader.choice("role", roles, Presence::Required) == "primary";
    status.term = reader.number("term", {}, Presence::Required);
    status.termStart = reader.number("term_start", {});
    status.position = reader.number("position", {}, Presence::Required);
    status.slots = reader.number("slots", {}, Presence::Required);
    status.connections = reader.number("connections", {}, Presence::Required);
    status.running = reader.number("running", {}, Presence::Required);
    if (!reader.error().empty()) {
        return reader.error();
    }
    return status;
}

} // namespace waxwing
