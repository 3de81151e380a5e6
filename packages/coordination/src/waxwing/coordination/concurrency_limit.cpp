#include <waxwing/coordination/concurrency_limit.h>
#include <waxwing/support/invariant.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// Caps the ratio of a single statement, because one that blocks for long says little about the endpoint. With a higher
// value, 5% stragglers with the fingerprint of short statements lower the limit of a healthy endpoint.
constexpr double maxRatio = 4.0;

bool hasElapsed(TimePoint since, Duration duration, TimePoint now)
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
    m_averageRatio = 1.0;
    m_wasLimitReached = false;
    WAXWING_INVARIANT(m_limit <= m_slots, "concurrency-within-slots");
}

void AdaptiveLimit::onFinished(const FinishedStatement &finished, TimePoint now)
{
    const double predicted = std::max(std::chrono::duration<double>(finished.predictedCost).count(), 1e-6);
    const double ratio = std::min(std::chrono::duration<double>(finished.cost).count() / predicted, maxRatio);
    m_averageRatio += m_options.smoothing * (ratio - m_averageRatio);
    m_wasLimitReached = m_wasLimitReached || finished.running >= m_limit;
    if (!hasElapsed(m_changedAt, m_options.interval, now)) {
        return;
    }
    if (m_averageRatio > m_options.slowRatio && m_limit > 1) {
        change(m_limit - 1, now);
    } else if (m_averageRatio < m_options.fastRatio && m_wasLimitReached && m_limit < m_slots && hasElapsed(m_rejectedAt, m_options.recovery, now)) {
        change(m_limit + 1, now);
    }
}

void AdaptiveLimit::onRejected(TimePoint now)
{
    m_rejectedAt = now;
    if (hasElapsed(m_changedAt, m_options.interval, now)) {
        change(m_limit - std::min<std::size_t>(m_limit, 1), now);
    }
}

} // namespace waxwing
