#pragma once

#include <waxwing/protocol/endpoint_answer.h>
#include <waxwing/protocol/endpoint_status.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace waxwing
{

/// @brief Statement for an endpoint.
struct EndpointStatement
{
    std::string_view correlationId;
    std::uint64_t term = 0;
    std::string_view statement;
    bool isWrite = false;
    bool inTransaction = false;
};

/// @brief Encodes the body of `/v1/execute`.
std::string encodeExecute(const EndpointStatement &statement);

/// @brief Encodes the body of `/v1/begin`, `/v1/commit` and `/v1/rollback`.
std::string encodeTransactionStep(std::string_view correlationId, std::uint64_t term);

/// @brief Decodes the response to a statement and proves that it is complete and meant for the request.
///
/// A response with another correlation id, or whose row count or checksum does not fit its result, is an error: it is
/// late or torn.
/// @param body JSON object
/// @param correlationId identifier that was sent
/// @return the response, or the problems by field
std::variant<EndpointAnswer, std::string> decodeEndpointAnswer(std::string_view body, std::string_view correlationId);

/// @brief Decodes the response to a status probe.
/// @return the status, or the problems by field
std::variant<EndpointStatus, std::string> decodeEndpointStatus(std::string_view body);

} // namespace waxwing
