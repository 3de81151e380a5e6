#include "connection_holders.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwing::control
{

namespace
{

/// Rendezvous hash: each service ranks the proxies differently, and the ranks of the others stay when one comes or goes.
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
}

bool ConnectionHolders::isGathered(std::size_t connections, std::size_t proxies, bool before) const
{
    // Hysteresis keeps the connections from moving whenever a single proxy comes or goes.
    return connections < proxies * (before ? m_options.sharedFrom : m_options.gatheredBelow);
}

bool ConnectionHolders::needsHolders(std::size_t proxies, const std::map<std::string, std::size_t, std::less<>> &limits) const
{
    return std::any_of(limits.begin(), limits.end(),
                       [&](const auto &item) { return item.second != 0 && isGathered(usable(item.second), proxies, m_holders.contains(item.first)); });
}

std::size_t ConnectionHolders::usable(std::size_t limit) const
{
    return limit - std::min(limit, m_options.reserved);
}

bool ConnectionHolders::update(std::span<const Proxy> proxies, const std::map<std::string, std::size_t, std::less<>> &limits)
{
    std::map<std::string, std::vector<Holder>, std::less<>> next;
    std::map<std::string, std::size_t, std::less<>> load; // services by proxy
    for (const auto &[service, limit] : limits) {
        const auto before = m_holders.find(service);
        if (limit == 0 || !isGathered(usable(limit), proxies.size(), before != m_holders.end())) {
            continue;
        }
        auto chosen = choose(service, proxies, usable(limit), before == m_holders.end() ? std::vector<Holder>() : before->second, load);
        if (!chosen.empty()) {
            next.emplace(service, std::move(chosen));
        }
    }
    const bool changed = next != m_holders;
    m_holders = std::move(next);
    return changed;
}

std::vector<ConnectionHolders::Holder> ConnectionHolders::choose(const std::string &service, std::span<const Proxy> proxies, std::size_t connections,
                                                                 const std::vector<Holder> &before, std::map<std::string, std::size_t, std::less<>> &load) const
{
    const auto wanted = std::max<std::size_t>(1, connections / m_options.connections);
    const auto wasHolder = [&](const Proxy &proxy) {
        return std::any_of(before.begin(), before.end(), [&](const Holder &holder) { return holder.proxy == proxy.name; });
    };
    // Within each failure domain: present holders, then proxies that hold for the fewest services, then by rank.
    std::map<std::string_view, std::vector<const Proxy *>> domains;
    for (const auto &proxy : proxies) {
        if (!proxy.link.empty() && !proxy.draining) {
            domains[proxy.failureDomain].push_back(&proxy);
        }
    }
    std::vector<std::pair<std::uint64_t, std::vector<const Proxy *> *>> order;
    for (auto &[domain, members] : domains) {
        std::sort(members.begin(), members.end(), [&](const Proxy *one, const Proxy *other) {
            const auto key = [&](const Proxy &proxy) {
                return std::tuple(!wasHolder(proxy), load[proxy.name], rank(service, proxy.name));
            };
            return key(*one) < key(*other);
        });
        order.emplace_back(rank(service, domain), &members);
    }
    std::sort(order.begin(), order.end());
    std::vector<const Proxy *> chosen;
    for (std::size_t round = 0; chosen.size() < wanted; ++round) {
        const auto size = chosen.size();
        for (const auto &[position, members] : order) {
            if (round < members->size() && chosen.size() < wanted) {
                chosen.push_back((*members)[round]);
            }
        }
        if (chosen.size() == size) {
            break;
        }
    }
    std::vector<Holder> holders;
    for (const auto *proxy : chosen) {
        ++load[proxy->name];
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
