#include "connection_holders.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwing::control
{

namespace
{

/// Rendezvous hashing: each service ranks the proxies differently, and adding or removing a proxy keeps the order of the others.
std::uint64_t rank(std::string_view service, std::string_view proxy)
{
    const std::string key = std::string(service) + '/' + std::string(proxy);
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

ConnectionHolders::ConnectionHolders()
    : ConnectionHolders(Options())
{
}

ConnectionHolders::ConnectionHolders(const Options &options)
    : m_options(options)
{
}

void ConnectionHolders::clear()
{
    m_holders.clear();
    m_proxies.clear();
    m_limits.clear();
}

bool ConnectionHolders::usesHolders(std::size_t connections, std::size_t proxies, bool previous) const
{
    // Hysteresis: a single proxy that joins or leaves must not move all connections.
    return connections < proxies * (previous ? m_options.shareThreshold : m_options.holderThreshold);
}

bool ConnectionHolders::needsHolders(std::size_t proxies, const std::map<std::string, std::size_t, std::less<>> &limits) const
{
    return std::any_of(limits.begin(), limits.end(), [&](const auto &item) {
        return item.second != 0 && usesHolders(usableConnections(item.second), proxies, m_holders.contains(item.first));
    });
}

std::size_t ConnectionHolders::usableConnections(std::size_t limit) const
{
    return limit - std::min(limit, m_options.reservedConnections);
}

bool ConnectionHolders::update(std::span<const Proxy> proxies, const std::map<std::string, std::size_t, std::less<>> &limits)
{
    if (limits == m_limits && std::equal(proxies.begin(), proxies.end(), m_proxies.begin(), m_proxies.end())) {
        m_changedServices.clear();
        return false;
    }
    ++m_choices;
    m_proxies.assign(proxies.begin(), proxies.end());
    m_limits = limits;
    std::map<std::string, std::vector<Holder>, std::less<>> nextHolders;
    std::map<std::string, std::size_t, std::less<>> servicesPerProxy; // number of services by proxy
    for (const auto &[service, limit] : limits) {
        const auto previous = m_holders.find(service);
        if (limit == 0 || !usesHolders(usableConnections(limit), proxies.size(), previous != m_holders.end())) {
            continue;
        }
        auto chosen = chooseHolders(service, proxies, usableConnections(limit), previous == m_holders.end() ? std::vector<Holder>() : previous->second,
                                    servicesPerProxy);
        if (!chosen.empty()) {
            nextHolders.emplace(service, std::move(chosen));
        }
    }
    m_changedServices.clear();
    for (const auto &[service, holders] : nextHolders) {
        const auto previous = m_holders.find(service);
        if (previous == m_holders.end() || previous->second != holders) {
            m_changedServices.push_back(service);
        }
    }
    for (const auto &[service, holders] : m_holders) {
        if (!nextHolders.contains(service)) {
            m_changedServices.push_back(service);
        }
    }
    m_holders = std::move(nextHolders);
    return !m_changedServices.empty();
}

std::vector<ConnectionHolders::Holder> ConnectionHolders::chooseHolders(const std::string &service, std::span<const Proxy> proxies, std::size_t connections,
                                                                        const std::vector<Holder> &previous,
                                                                        std::map<std::string, std::size_t, std::less<>> &servicesPerProxy) const
{
    const auto holderCount = std::max<std::size_t>(1, connections / m_options.minHolderConnections);
    const auto wasHolder = [&](const Proxy &proxy) {
        return std::any_of(previous.begin(), previous.end(), [&](const Holder &holder) { return holder.proxy == proxy.name; });
    };
    // Order within a failure domain: current holders first, then proxies that are holders of the fewest services, then by rank.
    using Candidate = std::tuple<bool, std::size_t, std::uint64_t, const Proxy *>;
    std::map<std::string_view, std::vector<Candidate>> domains;
    for (const auto &proxy : proxies) {
        if (!proxy.link.empty() && !proxy.draining) {
            domains[proxy.failureDomain].emplace_back(!wasHolder(proxy), servicesPerProxy[proxy.name], rank(service, proxy.name), &proxy);
        }
    }
    std::vector<std::pair<std::uint64_t, std::vector<Candidate> *>> domainOrder;
    for (auto &[domain, members] : domains) {
        std::sort(members.begin(), members.end());
        domainOrder.emplace_back(rank(service, domain), &members);
    }
    std::sort(domainOrder.begin(), domainOrder.end());
    std::vector<const Proxy *> chosen;
    for (std::size_t round = 0; chosen.size() < holderCount; ++round) {
        const auto size = chosen.size();
        for (const auto &[domainRank, members] : domainOrder) {
            if (round < members->size() && chosen.size() < holderCount) {
                chosen.push_back(std::get<const Proxy *>((*members)[round]));
            }
        }
        if (chosen.size() == size) {
            break;
        }
    }
    std::vector<Holder> holders;
    for (const auto *proxy : chosen) {
        ++servicesPerProxy[proxy->name];
        holders.push_back({proxy->name, proxy->link, proxy->failureDomain, connections / chosen.size()});
    }
    return holders;
}

std::span<const ConnectionHolders::Holder> ConnectionHolders::holders(std::string_view service) const
{
    const auto found = m_holders.find(service);
    return found == m_holders.end() ? std::span<const Holder>() : std::span<const Holder>(found->second);
}

} // namespace waxwing::control
