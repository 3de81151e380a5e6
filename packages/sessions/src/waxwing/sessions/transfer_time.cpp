#include <waxwing/sessions/transfer_time.h>

#include <algorithm>

namespace waxwing
{

namespace
{

constexpr int meanWindow = 8;
constexpr int deviationWindow = 4;
constexpr int deviations = 4;
// A proxy on a fraction of a core reads a message up to about this much later than it arrived.
constexpr Duration schedulingDelay = 20ms;

} // namespace

void TransferTime::add(Duration time)
{
    time = std::max(time, Duration::zero());
    if (!m_measured) {
        m_measured = true;
        m_mean = time;
        m_deviation = time / 2;
        return;
    }
    m_deviation += (std::chrono::abs(time - m_mean) - m_deviation) / deviationWindow;
    m_mean += (time - m_mean) / meanWindow;
}

Duration TransferTime::upperBound() const
{
    return m_mean + std::max(schedulingDelay, m_deviation * deviations);
}

} // namespace waxwing
