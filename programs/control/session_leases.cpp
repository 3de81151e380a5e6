#include "session_leases.h"

#include <algorithm>

namespace waxwing::control
{

SessionLeases::SessionLeases()
    : SessionLeases(Options())
{
}

SessionLeases::SessionLeases(const Options &options)
    : m_options(options)
{
}

void SessionLeases::reset(TimePoint now)
{
    m_proxies.clear();
    m_completeAt = now + guard();
}

SessionLeases::Proxy &SessionLeases::renew(const wire::PoolRenewal &renewal)
{
    auto &proxy = m_proxies[renewal.proxy()];
    // A process that has started again holds nothing of before; the lease of the former one counts on.
    proxy.incarnation = renewal.incarnation();
    proxy.configVersion = renewal.config_version();
    proxy.directoryVersion = renewal.directory_version();
    proxy.draining = renewal.draining();
    return proxy;
}

void SessionLeases::grant(std::string_view proxy, TimePoint now)
{
    if (const auto found = m_proxies.find(proxy); found != m_proxies.end()) {
        found->second.end = std::max(found->second.end, now + guard());
    }
}

bool SessionLeases::expire(TimePoint now)
{
    return std::erase_if(m_proxies, [now](const auto &item) { return item.second.end <= now; }) != 0;
}

} // namespace waxwing::control
