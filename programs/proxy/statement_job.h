#pragma once

#include <waxwing/support/time.h>
#include <waxwing/wire/waxwing.pb.h>

#include <functional>
#include <memory>

namespace waxwing
{

/// @brief One request of a caller, or of a peer on its behalf, on its way through the dispatch thread.
struct StatementJob
{
    using Responder = std::function<void(wire::StatementAnswer &&answer)>;

    // Shared by the router, which may send the request elsewhere after a refusal, and the group that runs it.
    std::shared_ptr<const wire::StatementRequest> request;
    TimePoint arrivedAt;
    TimePoint deadline;
    Responder respond; ///< called exactly once
};

} // namespace waxwing
