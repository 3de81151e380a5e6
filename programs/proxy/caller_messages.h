#pragma once

#include <waxwing/transport/http_response.h>
#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <string>
#include <variant>

namespace waxwing
{

/// @brief Statement or step of a transaction, from the thread of the callers to that of the dispatcher.
struct SubmitMessage
{
    std::uint64_t reply = 0;
    wire::StatementRequest request;
};

/// @brief Cancels a request.
struct CancelMessage
{
    std::uint64_t reply = 0;
    std::string requestId;
};

/// @brief Asks for the decisions taken for a request.
struct ExplainMessage
{
    std::uint64_t reply = 0;
    std::string requestId;
};

/// Message from the thread of the callers to that of the dispatcher.
using CallerMessage = std::variant<std::monostate, SubmitMessage, CancelMessage, ExplainMessage, wire::Announcement>;

/// @brief Answer from the thread of the dispatcher to that of the callers.
struct CallerReply
{
    std::uint64_t reply = 0;
    std::variant<wire::StatementAnswer, HttpResponse> content;
};

} // namespace waxwing
