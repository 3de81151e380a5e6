#pragma once

#include <waxwing/support/time.h>

#include <concepts>
#include <cstddef>

namespace waxwing
{

/// @brief Result of a statement that finished on an endpoint.
struct FinishedStatement
{
    Duration cost {}; ///< time for which it occupied its slot
    Duration predictedCost {}; ///< cost predicted when it started
    std::size_t running = 0; ///< statements running on the endpoint when it finished, including itself
};

/// @brief Limits the number of statements that may run on an endpoint at a time.
template<class Limit>
concept ConcurrencyLimiting = requires(Limit limit, const Limit constLimit, const FinishedStatement &finished, TimePoint now)
{
    {
        constLimit.limit()
        } -> std::same_as<std::size_t>;
    limit.setSlots(std::size_t(3));
    limit.onFinished(finished, now);
    limit.onRejected(now);
};

struct AdaptiveLimitOptions
{
    double slowRatio = 2.0; ///< ratio of cost to predicted cost above which the endpoint counts as overloaded
    double fastRatio = 1.3; ///< ratio below which the limit may rise
    double smoothing = 0.1; ///< weight of a new ratio in the moving average
    Duration interval = 200ms; ///< minimum time between two changes
    Duration recovery = 1s; ///< time without a rejection before the limit may rise again
};

/// @brief Lowers the limit when statements take longer than predicted or are rejected, and raises it by one at a time.
class AdaptiveLimit
{
public:
    /// @brief Creates a limit equal to the number of slots.
    explicit AdaptiveLimit(std::size_t slots, AdaptiveLimitOptions options = {});

    /// @brief Current limit, from 1 to the number of slots.
    std::size_t limit() const;

    /// @brief Sets the number of slots.
    void setSlots(std::size_t slots);

    /// @brief Records the cost of a statement that finished.
    void onFinished(const FinishedStatement &finished, TimePoint now);

    /// @brief Records that the endpoint rejected a statement with `no-slot`.
    void onRejected(TimePoint now);

private:
    void change(std::size_t limit, TimePoint now);

    AdaptiveLimitOptions m_options;
    std::size_t m_slots;
    std::size_t m_limit;
    double m_averageRatio = 1.0;
    bool m_wasLimitReached = false;
    TimePoint m_changedAt = TimePoint::min();
    TimePoint m_rejectedAt = TimePoint::min();
};

/// @brief Baseline: always the number of slots.
class FixedLimit
{
public:
    explicit FixedLimit(std::size_t slots)
        : m_slots(slots)
    {
    }

    std::size_t limit() const
    {
        return m_slots;
    }

    void setSlots(std::size_t slots)
    {
        m_slots = slots;
    }

    void onFinished(const FinishedStatement &, TimePoint) { }

    void onRejected(TimePoint) { }

private:
    std::size_t m_slots;
};

} // namespace waxwing
