#include <waxwing/coordination/confirmation_time.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// An estimate from a slow moment must not refuse every write for good, since no write would then correct it.
constexpr auto trustedFor = 2s;

} // namespace

void ConfirmationTime::observe(Duration waited, TimePoint now)
{
    m_observedAt = now;
    m_latest[m_next] = waited;
    m_next = (m_next + 1) % capacity;
    m_count = std::min(m_count + 1, capacity);
    auto sorted = m_latest;
    const auto place = m_count * 98 / 100;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(m_count);
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(place), end);
    m_estimate = sorted[place];
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
    const bool isTrusted = m_observedAt + trustedFor >= now;
    return deadline - (isTrusted ? m_estimate : std::min(m_estimate, (deadline - now) / 2));
}

} // namespace waxwing
