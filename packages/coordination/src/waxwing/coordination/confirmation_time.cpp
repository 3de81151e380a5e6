#include <waxwing/coordination/confirmation_time.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// After this time an estimate is limited: a high one could otherwise refuse all writes, and then no write would correct it.
constexpr auto estimateValidity = 2s;

} // namespace

void ConfirmationTime::observe(Duration waited, TimePoint now)
{
    m_observedAt = now;
    m_latest[m_nextIndex] = waited;
    m_nextIndex = (m_nextIndex + 1) % maxSamples;
    m_sampleCount = std::min(m_sampleCount + 1, maxSamples);
    auto sorted = m_latest;
    const auto rank = m_sampleCount * 98 / 100;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(m_sampleCount);
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank), end);
    m_estimate = sorted[rank];
}

Duration ConfirmationTime::estimate() const
{
    return m_estimate;
}

TimePoint ConfirmationTime::runBy(TimePoint deadline, TimePoint now) const
{
    if (deadline <= now) {
        return deadline;
    }
    const bool isRecent = m_observedAt + estimateValidity >= now;
    return deadline - (isRecent ? m_estimate : std::min(m_estimate, (deadline - now) / 2));
}

} // namespace waxwing
