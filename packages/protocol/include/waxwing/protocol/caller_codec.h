#pragma once

#include <string>
#include <string_view>

namespace waxwing::wire
{
class StatementAnswer;
class StatementRequest;
} // namespace waxwing::wire

namespace waxwing
{

/// What a request of a caller asks for, which decides the fields that it must and may have.
enum class CallerRequestKind {
    Statement, ///< one statement of its own
    Begin, ///< begins a transaction
    TransactionStatement, ///< a statement in a transaction
    Finish, ///< commit or rollback
};

/// @brief Decodes the body of a request of a caller.
/// @param body JSON object; unknown fields are refused
/// @param kind what the request asks for
/// @param request receives the fields; `deadline_ms` is set to its default when absent
/// @return problems by field, joined by "; "; empty on success
std::string decodeCallerRequest(std::string_view body, CallerRequestKind kind, wire::StatementRequest &request);

/// @brief Encodes the response to a caller.
std::string encodeCallerAnswer(const wire::StatementAnswer &answer);

/// @brief HTTP status of the response to a caller.
unsigned callerStatus(const wire::StatementAnswer &answer);

} // namespace waxwing
