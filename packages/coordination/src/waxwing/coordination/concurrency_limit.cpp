#include <waxwing/coordination/concurrency_limit.h>
#include <waxwing/support/invariant.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// A single statement that blocks for long says little about the endpoint; its ratio counts no more than this. With a
// higher value, 5% stragglers with the fingerprint of short statements lower the limit of a healthy endpoint.
constexpr double maxRatio = 4.0;

bool hasPassed(TimePoint since, Duration duration, TimePoint now)
{
    return since == TimePoint::min() || now - since >= duration;
}

} // namespace

AdaptiveLimit::AdaptiveLimit(std::size_t slots, AdaptiveLimitOptions options)
    : m_options(options)
    , m_slots(std::max<std::size_t>(slots, 1))
    , m_limit(m_slots)
{
}

std::size_t AdaptiveLimit::limit() const
{
    return m_limit;
}

void AdaptiveLimit::setSlots(std::size_t slots)
{
    const bool wasAtSlots = m_limit == m_slots;
    m_slots = std::max<std::size_t>(slots, 1);
    m_limit = wasAtSlots ? m_slots : std::min(m_limit, m_slots);
}

void AdaptiveLimit::change(std::size_t limit, TimePoint now)
{
    m_limit = std::clamp<std::size_t>(limit, 1, m_slots);
    m_changedAt = now;
    m_ratio = 1.0;
    m_wasFull = false;
    WAXWING_INVARIANT(m_limit <= m_slots, "concurrency-within-slots");
}

void AdaptiveLimit::onFinished(const FinishedStatement &finished, TimePoint now)
{
    const double predicted = std::max(std::chrono::duration<double>(finished.predictedCost).count(), 1e-6);
    const double ratio = std::min(std::chrono::duration<double>(finished.cost).count() / predicted, maxRatio);
    m_ratio += m_options.smoothing * (ratio - m_ratio);
    m_wasFull = m_wasFull || finished.running >= m_limit;
    if (!hasPassed(m_changedAt, m_options.interval, now)) {
        return;
    }
    if (m_ratio > m_options.slowRatio && m_limit > 1) {
        change(m_limit - 1, now);
    } else if (m_ratio < m_options.fastRatio && m_wasFull && m_limit < m_slots && hasPassed(m_rejectedAt, m_options.recovery, now)) {
        change(m_limit + 1, now);
    }
}

void AdaptiveLimit::onRejected(TimePoint now)
{
    m_rejectedAt = now;
    if (hasPassed(m_changedAt, m_options.interval, now)) {
        change(m_limit - std::min<std::size_t>(m_limit, 1), now);
    }
}

} // namespace waxwing
