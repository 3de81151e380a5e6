#pragma once

#include "endpoint_pool.h"
#include "status_probe.h"

#include <waxwing/coordination/concurrency_limit.h>
#include <waxwing/coordination/retry_budget.h>
#include <waxwing/coordination/slow_start.h>
#include <waxwing/wire/waxwing.pb.h>

#include <cstddef>
#include <string>
#include <variant>

namespace waxwing
{

/// @brief One database of a group as its owner sees it.
struct GroupMember
{
    wire::Announcement announcement;
    EndpointPool pool;
    StatusProbe probe;
    TokenBudget retryBudget {};
    std::variant<AdaptiveLimit, FixedLimit> limit {FixedLimit(0)};
    SlowStart slowStart {};
    bool wasUsable = false;
    std::size_t pinned = 0; ///< connections held by transactions
    bool isRemoved = false; ///< no longer in the directory; kept until its statements have finished
    TimePoint lastProbe {};

    const std::string &name() const
    {
        return announcement.database();
    }
};

} // namespace waxwing
