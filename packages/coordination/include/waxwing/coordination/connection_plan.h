#pragma once

#include <waxwing/support/time.h>

#include <concepts>
#include <cstddef>

namespace waxwing
{

class Random;

/// @brief Numbers of connections from the owner proxy to one endpoint.
struct ConnectionCounts
{
    std::size_t idle = 0;
    std::size_t busy = 0; ///< with a statement or a transaction
    std::size_t opening = 0;
    std::size_t limit = 0; ///< connections that the endpoint allows in total
    std::size_t waiting = 0; ///< statements and transactions that wait for a connection

    /// @brief Number of connections that exist or are being opened.
    std::size_t total() const
    {
        return idle + busy + opening;
    }
};

/// @brief Number of connections to an endpoint that the owner leaves to proxies without a valid lease, for max-age reads.
/// @param limit connections that the endpoint allows in total
constexpr std::size_t unusedConnections(std::size_t limit)
{
    // If the limit is very small, the owner may use all connections, and proxies without a lease serve no reads.
    return limit >= 4 ? 2 : 0;
}

/// @brief Maximum number of connections from the owner to an endpoint.
constexpr std::size_t ownerConnections(std::size_t limit)
{
    return limit - unusedConnections(limit);
}

template<class Plan>
concept ConnectionPlanning = requires(const Plan plan, const ConnectionCounts &counts, TimePoint now)
{
    {
        plan.toOpen(counts, now)
        } -> std::same_as<std::size_t>;
};

struct ConnectionPlanOptions
{
    std::size_t maxOpening = 4; ///< maximum number of connections being opened at a time per endpoint
    std::size_t warm = 4; ///< idle connections kept beyond those in use, so that no statement waits for a new one
    Duration firstBackOff = 20ms; ///< upper limit of the pause after the first failure; doubled for each further one
    Duration maxBackOff = 1s;
};

/// @brief Decides when to open and close connections to one endpoint.
class ConnectionPlan
{
public:
    explicit ConnectionPlan(ConnectionPlanOptions options = {});

    /// @brief Number of connections to start opening now.
    std::size_t toOpen(const ConnectionCounts &counts, TimePoint now) const;

    /// @brief Number of idle connections to close now, after the limit was lowered.
    std::size_t toClose(const ConnectionCounts &counts) const;

    /// @brief End of the current pause: when toOpen() may return more although the counts have not changed.
    TimePoint pausedUntil() const;

    /// @brief Records that a connection was opened; ends the pause.
    void onOpened();

    /// @brief Records that a connection could not be opened; starts a pause with full jitter.
    void onFailed(Random &random, TimePoint now);

private:
    ConnectionPlanOptions m_options;
    std::size_t m_failures = 0;
    TimePoint m_pausedUntil = TimePoint::min();
};

/// @brief Baseline: opens one connection per waiting statement, up to the limit.
class OnDemandConnections
{
public:
    /// @brief Number of connections to start opening now.
    std::size_t toOpen(const ConnectionCounts &counts, TimePoint now) const;
};

} // namespace waxwing
