#pragma once

#include <waxwing/support/budget_policy.h>
#include <waxwing/support/memory_budget.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <functional>

namespace waxwing
{

/// @brief Limits on what clients may make a proxy hold. Ordinary clients do not reach them.
struct SessionLimits
{
    std::size_t memory = std::size_t(80) << 20; ///< bytes of messages, answers and stored state of all clients
    std::size_t sessionsPerAddress = 1'750; ///< sessions of one client address
    Duration firstMessage = 10s; ///< until the first message of a connection is complete
    Duration messageTime = 60s; ///< for one message, which is at most 1 MiB long
    Duration unreadAnswer = 30s; ///< until the client has read an answer
};

/// @brief What the sessions of a proxy share. It outlives the sessions, whose coroutines may outlive the server.
struct SessionResources
{
    explicit SessionResources(const SessionLimits &configured)
        : limits(configured)
        , budget(configured.memory)
    {
    }

    SessionLimits limits;
    MemoryBudget budget;
    std::function<void()> relieve = [] {
    }; ///< closes sessions while too much memory is used
};

} // namespace waxwing
