#include <waxwing/sessions/interruption.h>

#include <algorithm>

namespace waxwing
{

namespace
{

constexpr int averageWindow = 4; // a service sees few interruptions a day
// Bounds of the usual duration, so that one exceptional interruption does not decide over all later ones.
constexpr Duration minUsual = 200ms;
constexpr Duration maxUsual = 3s;

} // namespace

void Interruption::end(TimePoint now)
{
    if (m_since) {
        m_usual += (std::clamp(now - *m_since, minUsual, maxUsual) - m_usual) / averageWindow;
        m_since.reset();
    }
}

Duration Interruption::expectedRest(TimePoint now) const
{
    if (!m_since) {
        return m_usual;
    }
    const auto passed = now - *m_since;
    return std::max(m_usual - passed, passed / 2);
}

} // namespace waxwing
