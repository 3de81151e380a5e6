#pragma once

#include <waxwing/state/outcome.h>

#include <string_view>

namespace waxwing::wire
{
class StatementAnswer;
class StatementRequest;
} // namespace waxwing::wire

namespace waxwing
{

/// @brief Builds the answer to a request from its outcome, with message and advice when to retry.
/// @param subject what the message is about, e.g. `group orders`
wire::StatementAnswer makeAnswer(const wire::StatementRequest &request, const Outcome &outcome, std::string_view subject);

/// @brief Counts the outcome that a caller gets, and its reason.
void countOutcome(const wire::StatementAnswer &answer);

/// @brief Counts a retry in `waxwing_retries_total`.
void countRetry(std::string_view reason);

} // namespace waxwing
