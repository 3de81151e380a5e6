#include <waxwing/coordination/position_history.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// Ages of several seconds are asked for; older positions prove nothing that a route could use.
constexpr Duration keptFor = 10s;
// Samples closer than this bring no better proof: a proof is at most this much stricter than needed.
constexpr Duration spacing = 25ms;

} // namespace

void PositionHistory::add(const TermPosition &position, TimePoint askedAt)
{
    if (!m_samples.empty()) {
        const auto &last = m_samples.back();
        if (askedAt < last.askedAt + spacing || position < last.position) {
            return;
        }
    }
    m_samples.push_back({position, askedAt});
    while (m_samples.front().askedAt + keptFor < askedAt) {
        m_samples.pop_front();
    }
}

std::optional<TermPosition> PositionHistory::proof(TimePoint notBefore) const
{
    const auto found
        = std::lower_bound(m_samples.begin(), m_samples.end(), notBefore, [](const Sample &sample, TimePoint time) { return sample.askedAt < time; });
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
    return m_samples.back().askedAt;
}

} // namespace waxwing
