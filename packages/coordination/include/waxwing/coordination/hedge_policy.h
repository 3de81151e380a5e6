#pragma once

#include <waxwing/coordination/work_class.h>
#include <waxwing/support/time.h>

#include <concepts>
#include <cstddef>
#include <optional>

namespace waxwing
{

/// @brief A statement that is running.
struct RunningStatement
{
    bool isRead = false;
    bool inTransaction = false;
    WorkClass workClass = WorkClass::Short;
    std::size_t attempts = 1; ///< attempts in progress
    Duration predictedCost {};
    TimePoint startedAt {};
    TimePoint deadline {};
};

/// @brief Decides when to start a second attempt of a running read on another endpoint.
template<class Policy>
concept Hedging = requires(const Policy policy, const RunningStatement &statement)
{
    {
        policy.hedgeAt(statement)
        } -> std::same_as<std::optional<TimePoint>>;
};

struct HedgeOptions
{
    double factor = 5.0; ///< multiple of its predicted cost after which a read counts as stuck
    Duration minDelay = 10ms; ///< minimum delay, so that the usual variation of costs starts no second attempt
};

/// @brief Hedges short reads that take many times longer than predicted.
///
/// Hedging must never take capacity from first attempts, so the caller starts a second attempt only if the queue is empty,
/// another suitable endpoint has a free slot and the retry budgets allow it.
class HedgePolicy
{
public:
    explicit HedgePolicy(HedgeOptions options = {});

    /// @brief Time at which a second attempt may start; nothing if the statement is not hedged.
    std::optional<TimePoint> hedgeAt(const RunningStatement &statement) const;

private:
    HedgeOptions m_options;
};

/// @brief Baseline: no second attempts.
class NoHedging
{
public:
    std::optional<TimePoint> hedgeAt(const RunningStatement &) const
    {
        return std::nullopt;
    }
};

} // namespace waxwing
