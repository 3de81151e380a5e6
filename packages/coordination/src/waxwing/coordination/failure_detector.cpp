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
    const auto reported = m_groupsByProxy.find(proxy);
    if (reported != m_groupsByProxy.end()) {
        for (const auto &name : reported->second) {
            const auto group = m_reportsByGroup.find(name);
            group->second.erase(proxy);
            if (group->second.empty()) {
                m_reportsByGroup.erase(group);
            }
        }
        m_groupsByProxy.erase(reported);
    }
    for (const auto *item : evidence) {
        auto &entries = m_reportsByGroup[item->group()];
        if (!entries.contains(proxy)) {
            m_groupsByProxy[proxy].push_back(item->group());
        }
        entries[proxy] = {failureDomain, item->database(), item->term(), item->refused(), now};
    }
}

bool FailureDetector::suspects(const Primary &primary, std::span<const LiveProxy> live, TimePoint now) const
{
    if (!isConfirmed(primary, live, now, false)) {
        return false;
    }
    const bool isSilent = !primary.lastAnnouncement || now - *primary.lastAnnouncement >= m_options.announcementTimeout;
    return isSilent || isConfirmed(primary, live, now, true);
}

bool FailureDetector::isConfirmed(const Primary &primary, std::span<const LiveProxy> live, TimePoint now, bool refusedOnly) const
{
    const auto group = m_reportsByGroup.find(primary.group);
    if (group == m_reportsByGroup.end()) {
        return false;
    }
    std::set<std::string_view> liveDomains;
    std::set<std::string_view> reportingDomains;
    std::size_t reportingProxies = 0;
    for (const auto &proxy : live) {
        liveDomains.insert(proxy.failureDomain);
        const auto found = group->second.find(proxy.proxy);
        if (found == group->second.end()) {
            continue;
        }
        const auto &entry = found->second;
        if (entry.database == primary.database && entry.term == primary.term && now - entry.at < m_options.maxEvidenceAge && (entry.refused || !refusedOnly)) {
            reportingDomains.insert(entry.failureDomain);
            ++reportingProxies;
        }
    }
    return liveDomains.size() >= 2 ? reportingDomains.size() >= 2 : reportingProxies > 0 && reportingProxies == live.size();
}

void FailureDetector::clear()
{
    m_reportsByGroup.clear();
    m_groupsByProxy.clear();
}

} // namespace waxwing
