#pragma once

#include <waxwing/support/time.h>

#include <concepts>
#include <cstddef>

namespace waxwing
{

class Random;

/// @brief Connections of the owner proxy to one endpoint.
struct ConnectionCounts
{
    std::size_t idle = 0;
    std::size_t busy = 0; ///< with a statement or a transaction
    std::size_t opening = 0;
    std::size_t limit = 0; ///< connections that the endpoint allows in total
    std::size_t waiting = 0; ///< statements and transactions that could use a connection now

    /// @brief Connections that exist or are being opened.
    std::size_t total() const
    {
        return idle + busy + opening;
    }
};

/// @brief Connections of an endpoint that its owner leaves unused, for reads of a stated age by proxies without a valid lease.
/// @param limit connections that the endpoint allows in total
constexpr std::size_t unusedConnections(std::size_t limit)
{
    // Very small limits leave the owner all connections; proxies without a lease then serve no reads.
    return limit >= 4 ? 2 : 0;
}

/// @brief Connections that the owner may have to an endpoint.
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
    std::size_t maxOpening = 4; ///< being opened at a time per endpoint
    std::size_t warm = 4; ///< kept idle beyond those in use, so that no statement waits for a new connection
    Duration firstBackOff = 20ms; ///< upper limit of the pause after a failure; it doubles with each further one
    Duration maxBackOff = 1s;
};

/// @brief Decides how many connections to one endpoint to open now.
class ConnectionPlan
{
public:
    explicit ConnectionPlan(ConnectionPlanOptions options = {});

    /// @brief Number of connections to start opening now.
    std::size_t toOpen(const ConnectionCounts &counts, TimePoint now) const;

    /// @brief Number of idle connections to close, when the limit was lowered.
    std::size_t toClose(const ConnectionCounts &counts) const;

    /// @brief When toOpen() may yield more than before by the passing of time alone.
    TimePoint pausedUntil() const;

    /// @brief Notes that a connection was opened; ends the pause.
    void onOpened();

    /// @brief Notes that a connection could not be opened; pauses with full jitter.
    void onFailed(Random &random, TimePoint now);

private:
    ConnectionPlanOptions m_options;
    std::size_t m_failures = 0;
    TimePoint m_pausedUntil = TimePoint::min();
};

/// @brief Baseline: opens a connection for each statement that waits, up to the limit.
class OnDemandConnections
{
public:
    /// @brief Number of connections to start opening now.
    std::size_t toOpen(const ConnectionCounts &counts, TimePoint now) const;
};

} // namespace waxwing
