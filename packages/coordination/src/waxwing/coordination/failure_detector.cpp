#include <waxwing/coordination/failure_detector.h>
#include <waxwing/wire/waxwing.pb.h>

#include <algorithm>
#include <set>

namespace waxwing
{

FailureDetector::FailureDetector()
    : FailureDetector(Options {})
{
}

FailureDetector::FailureDetector(const Options &options)
    : m_options(options)
{
}

void FailureDetector::report(const std::string &proxy, const std::string &failureDomain, std::span<const wire::Evidence *const> evidence, TimePoint now)
{
    const auto reported = m_reported.find(proxy);
    if (reported != m_reported.end()) {
        for (const auto &name : reported->second) {
            const auto group = m_byGroup.find(name);
            group->second.erase(proxy);
            if (group->second.empty()) {
                m_byGroup.erase(group);
            }
        }
        m_reported.erase(reported);
    }
    for (const auto *item : evidence) {
        auto &entries = m_byGroup[item->group()];
        if (!entries.contains(proxy)) {
            m_reported[proxy].push_back(item->group());
        }
        entries[proxy] = {failureDomain, item->database(), item->term(), item->refused(), now};
    }
}

bool FailureDetector::suspects(const Primary &primary, std::span<const LiveProxy> live, TimePoint now) const
{
    if (!isConfirmed(primary, live, now, false)) {
        return false;
    }
    const bool silent = !primary.lastAnnouncement || now - *primary.lastAnnouncement >= m_options.announcementSilence;
    return silent || isConfirmed(primary, live, now, true);
}

bool FailureDetector::isConfirmed(const Primary &primary, std::span<const LiveProxy> live, TimePoint now, bool refusedOnly) const
{
    const auto group = m_byGroup.find(primary.group);
    if (group == m_byGroup.end()) {
        return false;
    }
    std::set<std::string_view> liveDomains;
    std::set<std::string_view> domains;
    std::size_t proxies = 0;
    for (const auto &proxy : live) {
        liveDomains.insert(proxy.failureDomain);
        const auto found = group->second.find(proxy.proxy);
        if (found == group->second.end()) {
            continue;
        }
        const auto &entry = found->second;
        if (entry.database == primary.database && entry.term == primary.term && now - entry.at < m_options.evidenceAge && (entry.refused || !refusedOnly)) {
            domains.insert(entry.failureDomain);
            ++proxies;
        }
    }
    return liveDomains.size() >= 2 ? domains.size() >= 2 : proxies > 0 && proxies == live.size();
}

void FailureDetector::clear()
{
    m_byGroup.clear();
    m_reported.clear();
}

} // namespace waxwing
