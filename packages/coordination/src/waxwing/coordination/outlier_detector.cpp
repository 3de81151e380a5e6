#include <waxwing/coordination/outlier_detector.h>
#include <waxwing/support/invariant.h>

#include <algorithm>
#include <vector>

namespace waxwing
{

OutlierDetector::OutlierDetector(OutlierOptions options)
    : m_options(options)
{
}

void OutlierDetector::setMembers(std::span<const std::string> members, TimePoint now)
{
    std::erase_if(m_endpoints, [members](const auto &entry) { return std::find(members.begin(), members.end(), entry.first) == members.end(); });
    for (const auto &member : members) {
        m_endpoints.try_emplace(member);
    }
    for (auto &[name, endpoint] : m_endpoints) {
        if (ejected(now) * 3 > m_endpoints.size() && now < endpoint.ejectedUntil) {
            endpoint.ejectedUntil = now;
        }
    }
}

double OutlierDetector::median(const Endpoint &endpoint)
{
    auto costs = endpoint.costs;
    const auto count = std::min(endpoint.samples, maxSamples);
    const auto middle = costs.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(costs.begin(), middle, costs.begin() + static_cast<std::ptrdiff_t>(count));
    return *middle;
}

bool OutlierDetector::isSlow(const Endpoint &endpoint) const
{
    if (endpoint.samples < m_options.minSamples) {
        return false;
    }
    std::vector<double> others;
    for (const auto &[name, other] : m_endpoints) {
        if (&other != &endpoint && other.samples >= m_options.minSamples) {
            others.push_back(median(other));
        }
    }
    if (others.empty()) {
        return false;
    }
    // Uses the lower median of the others, so that in a group of three a slow member is found although another is slow too.
    const auto middle = others.begin() + static_cast<std::ptrdiff_t>((others.size() - 1) / 2);
    std::nth_element(others.begin(), middle, others.end());
    return median(endpoint) > m_options.latencyFactor * *middle;
}

void OutlierDetector::onSuccess(std::string_view endpoint, double relativeCost, TimePoint now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &state = found->second;
    state.failures = 0;
    state.costs[state.samples % maxSamples] = static_cast<float>(relativeCost);
    ++state.samples;
    if (isSlow(state)) {
        eject(state, now);
    }
}

void OutlierDetector::onFailure(std::string_view endpoint, TimePoint now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    if (++found->second.failures >= m_options.consecutiveFailures) {
        eject(found->second, now);
    }
}

void OutlierDetector::eject(Endpoint &endpoint, TimePoint now)
{
    if (now < endpoint.ejectedUntil || (ejected(now) + 1) * 3 > m_endpoints.size()) {
        return;
    }
    const bool startsOver = endpoint.ejections > 0 && now - endpoint.ejectedUntil > m_options.ejectionResetInterval;
    endpoint.ejections = startsOver ? 1 : endpoint.ejections + 1;
    endpoint.ejectedUntil = now + std::min<Duration>(m_options.maxEjection, m_options.ejection * static_cast<std::int64_t>(endpoint.ejections));
    // After the ejection, only new results of the endpoint count.
    endpoint.failures = 0;
    endpoint.samples = 0;
    WAXWING_INVARIANT(ejected(now) * 3 <= m_endpoints.size(), "ejections-within-third");
}

bool OutlierDetector::isEjected(std::string_view endpoint, TimePoint now) const
{
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && now < found->second.ejectedUntil;
}

std::size_t OutlierDetector::ejected(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [now](const auto &entry) { return now < entry.second.ejectedUntil; }));
}

std::optional<TimePoint> OutlierDetector::returnsAt(std::string_view endpoint, TimePoint now) const
{
    return isEjected(endpoint, now) ? std::optional(m_endpoints.find(endpoint)->second.ejectedUntil) : std::nullopt;
}

} // namespace waxwing
