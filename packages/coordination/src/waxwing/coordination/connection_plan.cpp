#include <waxwing/coordination/connection_plan.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/random.h>

#include <algorithm>

namespace waxwing
{

namespace
{

std::size_t saturatingDifference(std::size_t minuend, std::size_t subtrahend)
{
    return minuend > subtrahend ? minuend - subtrahend : 0;
}

} // namespace

ConnectionPlan::ConnectionPlan(ConnectionPlanOptions options)
    : m_options(options)
{
}

std::size_t ConnectionPlan::toOpen(const ConnectionCounts &counts, TimePoint now) const
{
    if (now < m_pausedUntil) {
        return 0;
    }
    const auto wanted = counts.busy + std::max(counts.waiting, m_options.warm);
    const auto target = std::min(wanted, ownerConnections(counts.limit));
    // After a failure, a single connection probes the endpoint; further ones are opened once it succeeds.
    const auto maxOpening = m_failures > 0 ? std::min<std::size_t>(1, m_options.maxOpening) : m_options.maxOpening;
    const auto open = std::min(saturatingDifference(target, counts.total()), saturatingDifference(maxOpening, counts.opening));
    return WAXWING_INVARIANT(open == 0 || counts.total() + open <= counts.limit, "connections-within-limit") ? open : 0;
}

std::size_t ConnectionPlan::toClose(const ConnectionCounts &counts) const
{
    return std::min(counts.idle, saturatingDifference(counts.total(), ownerConnections(counts.limit)));
}

TimePoint ConnectionPlan::pausedUntil() const
{
    return m_pausedUntil;
}

void ConnectionPlan::onOpened()
{
    m_failures = 0;
    m_pausedUntil = TimePoint::min();
}

void ConnectionPlan::onFailed(Random &random, TimePoint now)
{
    // Connections that were being opened at the same time usually fail together, so they count as one failure.
    if (now < m_pausedUntil) {
        return;
    }
    const Duration limit = std::min<Duration>(m_options.maxBackOff, m_options.firstBackOff * (std::int64_t(1) << std::min<std::size_t>(m_failures, 20)));
    ++m_failures;
    m_pausedUntil = now + random.upTo(limit);
}

std::size_t OnDemandConnections::toOpen(const ConnectionCounts &counts, TimePoint) const
{
    return std::min(saturatingDifference(counts.waiting, counts.idle + counts.opening), saturatingDifference(counts.limit, counts.total()));
}

} // namespace waxwing
