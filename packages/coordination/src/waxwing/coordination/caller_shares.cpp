#include <waxwing/coordination/caller_shares.h>

#include <algorithm>

namespace waxwing
{

CallerShares::CallerShares(CallerShareOptions options)
    : m_options(options)
    , m_total(options.halfLife)
{
}

void CallerShares::use(std::string_view caller, Duration slotTime, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(slotTime).count();
    auto found = m_use.find(caller);
    if (found == m_use.end()) {
        if (m_use.size() >= std::max<std::size_t>(m_options.maxCallers, 1)) {
            m_use.erase(
                std::min_element(m_use.begin(), m_use.end(), [now](const auto &a, const auto &b) { return a.second.value(now) < b.second.value(now); }));
        }
        found = m_use.emplace(std::string(caller), DecayingSum(m_options.halfLife)).first;
    }
    found->second.add(seconds, now);
    m_total.add(seconds, now);
}

bool CallerShares::isOverShare(std::string_view caller, std::size_t waiting, TimePoint now) const
{
    const auto found = m_use.find(caller);
    if (found == m_use.end() || waiting < 2) {
        return false;
    }
    return found->second.value(now) > m_options.tolerance * m_total.value(now) / static_cast<double>(waiting);
}

std::size_t CallerShares::size() const
{
    return m_use.size();
}

} // namespace waxwing
