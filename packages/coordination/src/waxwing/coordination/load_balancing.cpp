#include <waxwing/coordination/load_balancing.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace waxwing
{

namespace
{

// Time constant: after this time the weight of a measurement is about a third.
constexpr double decaySeconds = 1.0;

/// Expected time without what was sent since, which is small compared to the difference between distance classes.
Duration estimate(const LoadCandidate &candidate)
{
    return candidate.queueTime + (candidate.measured ? weightedByAge(*candidate.measured, candidate.assumed, candidate.age) : candidate.assumed);
}

Duration costOfClass(const LoadCandidate &candidate)
{
    return estimate(candidate) + candidate.distanceCost + candidate.penalty;
}

} // namespace

Duration weightedByAge(Duration measured, Duration assumed, Duration age)
{
    const auto seconds = std::chrono::duration<double>(age).count();
    return assumed + std::chrono::duration_cast<Duration>((measured - assumed) * std::exp(-seconds / decaySeconds));
}

LoadBalancing::LoadBalancing(std::uint64_t seed, Options options)
    : m_options(options)
    , m_random(seed)
{
}

LoadBalancing::LoadBalancing(std::uint64_t seed)
    : LoadBalancing(seed, Options())
{
}

Duration LoadBalancing::expectedTime(const LoadCandidate &candidate)
{
    return estimate(candidate) + candidate.timePerSent * static_cast<Duration::rep>(candidate.sentSince);
}

std::optional<LoadBalancing::Choice> LoadBalancing::choose(std::span<const LoadCandidate> candidates)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    // What was sent since counts among equally near candidates only: a short burst must not go over a long distance.
    const auto nearest = std::min_element(candidates.begin(), candidates.end(), [](const LoadCandidate &a, const LoadCandidate &b) {
        return std::tuple(costOfClass(a), a.distanceClass) < std::tuple(costOfClass(b), b.distanceClass);
    });
    m_rated.clear();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].distanceClass == nearest->distanceClass && candidates[i].penalty <= nearest->penalty) {
            m_rated.push_back({i, expectedTime(candidates[i])});
        }
    }
    const auto best = std::min_element(m_rated.begin(), m_rated.end(), [](const Rated &a, const Rated &b) { return a.time < b.time; })->index;
    const auto chosen = draw();
    return Choice {chosen, chosen != best};
}

std::size_t LoadBalancing::draw()
{
    if (m_rated.size() == 1) {
        return m_rated.front().index;
    }
    const auto one = m_random.between(0, m_rated.size() - 1);
    const auto other = (one + m_random.between(1, m_rated.size() - 1)) % m_rated.size();
    const auto [faster, slower] = m_rated[one].time <= m_rated[other].time ? std::pair(one, other) : std::pair(other, one);
    const auto clear = std::max(m_options.clearTime, std::chrono::duration_cast<Duration>(m_rated[faster].time * m_options.clearShare));
    const auto difference = std::chrono::duration<double>(m_rated[slower].time - m_rated[faster].time) / std::chrono::duration<double>(clear);
    // The probability falls from one half to zero without a step. At a step, processes would move together when an estimate crosses it.
    return m_rated[m_random.chance(std::max(0.0, (1.0 - difference) / 2.0)) ? slower : faster].index;
}

} // namespace waxwing
