#include <waxwing/coordination/position_history.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// Callers ask for maximum ages of up to several seconds; older positions are of no use.
constexpr Duration retentionPeriod = 10s;
// Minimum time between samples. It makes the required position newer than necessary by at most this time.
constexpr Duration minSampleInterval = 25ms;

} // namespace

void PositionHistory::add(const TermPosition &position, TimePoint requestedAt)
{
    if (!m_samples.empty()) {
        const auto &last = m_samples.back();
        if (requestedAt < last.requestedAt + minSampleInterval || position < last.position) {
            return;
        }
    }
    m_samples.push_back({position, requestedAt});
    while (m_samples.front().requestedAt + retentionPeriod < requestedAt) {
        m_samples.pop_front();
    }
}

std::optional<TermPosition> PositionHistory::proof(TimePoint notBefore) const
{
    const auto found
        = std::lower_bound(m_samples.begin(), m_samples.end(), notBefore, [](const Sample &sample, TimePoint time) { return sample.requestedAt < time; });
    if (found == m_samples.end()) {
        return std::nullopt;
    }
    return found->position;
}

std::optional<TimePoint> PositionHistory::newest() const
{
    if (m_samples.empty()) {
        return std::nullopt;
    }
    return m_samples.back().requestedAt;
}

} // namespace waxwing
