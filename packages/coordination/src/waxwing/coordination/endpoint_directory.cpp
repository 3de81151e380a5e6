#include <waxwing/coordination/endpoint_directory.h>

namespace waxwing
{

namespace
{

bool differsExceptPosition(const wire::Announcement &a, const wire::Announcement &b)
{
    return a.address() != b.address() || a.primary() != b.primary() || a.term() != b.term() || a.term_start() != b.term_start() || a.slots() != b.slots()
        || a.connections() != b.connections() || a.failure_domain() != b.failure_domain() || a.leaving() != b.leaving();
}

/// Returns whether the next announcement appears to be older than the known one, although it arrived later.
bool isReordered(const wire::Announcement &known, const wire::Announcement &next)
{
    return known.address() == next.address() && (next.term() < known.term() || (next.term() == known.term() && known.leaving() && !next.leaving()));
}

} // namespace

EndpointDirectory::EndpointDirectory()
    : EndpointDirectory(Options {})
{
}

EndpointDirectory::EndpointDirectory(const Options &options)
    : m_options(options)
{
}

bool EndpointDirectory::announce(const wire::Announcement &announcement, TimePoint now)
{
    auto &members = m_groups[announcement.group()];
    const auto known = members.find(announcement.database());
    if (known == members.end()) {
        members.emplace(announcement.database(), Member {announcement, now});
        return true;
    }
    auto &member = known->second;
    if (isReordered(member.announcement, announcement) && now - member.lastSeen < m_options.reorderWindow) {
        return false;
    }
    member.lastSeen = now;
    const bool changed = differsExceptPosition(member.announcement, announcement);
    member.announcement = announcement;
    return changed;
}

std::vector<std::string> EndpointDirectory::expire(TimePoint now)
{
    std::vector<std::string> changed;
    for (auto group = m_groups.begin(); group != m_groups.end();) {
        const auto removed = std::erase_if(group->second, [&](const auto &entry) { return now - entry.second.lastSeen >= m_options.expiry; });
        if (removed > 0) {
            changed.push_back(group->first);
        }
        group = group->second.empty() ? m_groups.erase(group) : std::next(group);
    }
    return changed;
}

const EndpointDirectory::Members *EndpointDirectory::members(std::string_view group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? nullptr : &found->second;
}

const EndpointDirectory::Member *EndpointDirectory::member(std::string_view group, std::string_view database) const
{
    const auto *all = members(group);
    if (all == nullptr) {
        return nullptr;
    }
    const auto found = all->find(database);
    return found == all->end() ? nullptr : &found->second;
}

void EndpointDirectory::clear()
{
    m_groups.clear();
}

} // namespace waxwing
