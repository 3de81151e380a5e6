#include "session_leases.h"

#include <algorithm>
#include <utility>

namespace waxwing::control
{

namespace
{

constexpr std::uint64_t permille = 1000;
// A proxy without demand gets this part of an equal share.
constexpr std::uint64_t floorParts = 4;

} // namespace

SessionLeases::SessionLeases()
    : SessionLeases(Options())
{
}

SessionLeases::SessionLeases(const Options &options)
    : m_options(options)
{
}

void SessionLeases::reset(TimePoint now, std::set<std::string, std::less<>> recorded)
{
    m_proxies.clear();
    m_known = !recorded.empty();
    m_expected = std::move(recorded);
    m_completeAt = now + guard();
    m_elsewhereUntil = m_completeAt + m_options.acknowledgementGrace;
}

SessionLeases::Proxy &SessionLeases::renew(const wire::PoolRenewal &renewal, TimePoint now)
{
    auto &proxy = m_proxies[renewal.proxy()];
    if (proxy.end == TimePoint()) {
        proxy.end = now + guard(); // until it is granted; recording the proxy comes first
    }
    m_expected.erase(renewal.proxy());
    if (proxy.incarnation != 0 && proxy.incarnation != renewal.incarnation()) {
        m_elsewhereUntil = std::max(m_elsewhereUntil, now); // what the former process acknowledged is not known
    }
    // A process that has started again holds nothing of before; the lease of the former one counts on.
    proxy.incarnation = renewal.incarnation();
    proxy.configVersion = renewal.config_version();
    proxy.directoryVersion = renewal.directory_version();
    proxy.link = renewal.link();
    proxy.failureDomain = renewal.failure_domain();
    proxy.draining = renewal.draining();
    proxy.demand = renewal.demand();
    return proxy;
}

void SessionLeases::grant(std::string_view proxy, TimePoint now)
{
    if (const auto found = m_proxies.find(proxy); found != m_proxies.end()) {
        found->second.end = std::max(found->second.end, now + guard());
    }
}

std::uint32_t SessionLeases::share(const Proxy &proxy) const
{
    std::uint64_t total = 0;
    for (const auto &[name, other] : m_proxies) {
        total += other.demand;
    }
    // A proxy that has just started has no demand yet and needs some connections for it to arise.
    const auto floor = std::max<std::uint64_t>(1, total / (floorParts * std::max<std::size_t>(1, m_proxies.size())));
    const auto weight = proxy.demand + floor;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, permille * weight / (total + floor * m_proxies.size())));
}

std::vector<std::string> SessionLeases::expire(TimePoint now)
{
    std::vector<std::string> expired;
    std::erase_if(m_proxies, [&](const auto &item) {
        if (item.second.end > now) {
            return false;
        }
        m_elsewhereUntil = std::max(m_elsewhereUntil, item.second.end + m_options.acknowledgementGrace);
        expired.push_back(item.first);
        return true;
    });
    if (now >= m_completeAt) {
        expired.insert(expired.end(), m_expected.begin(), m_expected.end());
        m_expected.clear();
    }
    return expired;
}

} // namespace waxwing::control
