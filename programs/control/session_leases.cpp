#include "session_leases.h"

#include <algorithm>
#include <utility>

namespace waxwing::control
{

namespace
{

constexpr std::uint64_t permille = 1000;
// A proxy without demand gets an equal share divided by about this number.
constexpr std::uint64_t idleShareDivisor = 4;

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
    m_totalDemand = 0;
    ++m_changes;
    m_recordsAvailable = !recorded.empty();
    m_expectedProxies = std::move(recorded);
    m_completeAt = now + leaseDurationWithDrift();
    m_unleasedAcknowledgementsUntil = m_completeAt;
}

SessionLeases::Proxy &SessionLeases::renew(const wire::PoolRenewal &renewal, TimePoint now)
{
    const auto [found, isNew] = m_proxies.try_emplace(renewal.proxy());
    auto &proxy = found->second;
    if (proxy.end == TimePoint()) {
        proxy.end = now + leaseDurationWithDrift(); // the proxy must be recorded before the lease is granted
    }
    if (m_expectedProxies.erase(renewal.proxy()) != 0 && m_expectedProxies.empty() && now < m_completeAt) {
        m_unleasedAcknowledgementsUntil = now; // every proxy that may hold a lease of an earlier leader is known now
    }
    if (proxy.incarnation != 0 && proxy.incarnation != renewal.incarnation()) {
        m_unleasedAcknowledgementsUntil = std::max(m_unleasedAcknowledgementsUntil, now); // commits that the former process acknowledged are unknown
    }
    if (proxy.incarnation != renewal.incarnation()) {
        proxy.configuration.reset();
    }
    // A restarted process has no lease, but the lease of its former process remains valid until its end.
    proxy.incarnation = renewal.incarnation();
    proxy.configuration.confirm(renewal.config_version());
    proxy.takesCompressed = renewal.takes_compressed();
    proxy.directoryVersion = renewal.directory_version();
    proxy.contentHash = renewal.content_hash();
    proxy.databasesHash = renewal.databases_hash();
    proxy.takesChanges = renewal.takes_changes();
    if (isNew || proxy.link != renewal.link() || proxy.failureDomain != renewal.failure_domain() || proxy.draining != renewal.draining()) {
        ++m_changes;
    }
    m_totalDemand += renewal.demand();
    m_totalDemand -= proxy.demand;
    proxy.link = renewal.link();
    proxy.failureDomain = renewal.failure_domain();
    proxy.draining = renewal.draining();
    proxy.demand = renewal.demand();
    return proxy;
}

void SessionLeases::grant(std::string_view proxy, TimePoint now)
{
    if (const auto found = m_proxies.find(proxy); found != m_proxies.end()) {
        found->second.end = std::max(found->second.end, now + leaseDurationWithDrift());
    }
}

std::uint32_t SessionLeases::share(const Proxy &proxy) const
{
    const auto total = m_totalDemand;
    // A proxy that has just started has no demand yet, and can only build up demand with some connections.
    const auto idleWeight = std::max<std::uint64_t>(1, total / (idleShareDivisor * std::max<std::size_t>(1, m_proxies.size())));
    const auto weight = proxy.demand + idleWeight;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, permille * weight / (total + idleWeight * m_proxies.size())));
}

std::vector<std::string> SessionLeases::expire(TimePoint now)
{
    std::vector<std::string> expired;
    std::erase_if(m_proxies, [&](const auto &item) {
        if (item.second.end > now) {
            return false;
        }
        m_unleasedAcknowledgementsUntil = std::max(m_unleasedAcknowledgementsUntil, item.second.end);
        expired.push_back(item.first);
        m_totalDemand -= item.second.demand;
        ++m_changes;
        return true;
    });
    if (now >= m_completeAt) {
        expired.insert(expired.end(), m_expectedProxies.begin(), m_expectedProxies.end());
        m_expectedProxies.clear();
    }
    return expired;
}

} // namespace waxwing::control
