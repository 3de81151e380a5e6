#include <waxwing/coordination/pool_directory.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// Deregistered databases are recorded so that late heartbeats do not add them again. The limit bounds the memory.
constexpr std::size_t maxDeregistered = 4096;

bool isSame(const wire::PoolMember &one, const wire::PoolMember &other)
{
    return one.service() == other.service() && one.address() == other.address() && one.failure_domain() == other.failure_domain()
        && one.born_ms() == other.born_ms() && one.draining() == other.draining() && one.primary() == other.primary() && one.slots() == other.slots();
}

} // namespace

PoolDirectory::PoolDirectory()
    : PoolDirectory(Options())
{
}

PoolDirectory::PoolDirectory(const Options &options)
    : m_options(options)
{
}

bool PoolDirectory::hasRoomFor(const wire::PoolMember &member) const
{
    if (m_entries.size() < m_options.maxPerService || m_entries.contains(member.id())) {
        return true;
    }
    if (m_entries.size() < m_options.maxDatabases && members(member.service()).size() < m_options.maxPerService) {
        return true;
    }
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) { return item.second.member.address() == member.address(); });
}

bool PoolDirectory::applyHeartbeat(const wire::PoolMember &member, TimePoint now)
{
    if (const auto deregistered = m_deregistered.find(member.id()); deregistered != m_deregistered.end()) {
        if (member.born_ms() <= deregistered->second) {
            return false;
        }
        m_deregistered.erase(deregistered);
    }
    const auto found = m_entries.find(member.id());
    if (found == m_entries.end()) {
        if (!hasRoomFor(member)) {
            return false;
        }
        // A late heartbeat of a crashed database may arrive after a new database has taken over its address.
        for (const auto &[id, entry] : m_entries) {
            if (entry.member.address() == member.address() && entry.member.born_ms() > member.born_ms()) {
                return false;
            }
        }
        std::erase_if(m_entries, [&](const auto &item) { return item.second.member.address() == member.address(); });
        m_entries.emplace(member.id(), Entry {member, now});
        return true;
    }
    auto &entry = found->second;
    const bool isNewer
        = member.born_ms() > entry.member.born_ms() || (member.born_ms() == entry.member.born_ms() && member.sequence() > entry.member.sequence());
    if (!isNewer) {
        return false;
    }
    const bool hasChanged = !isSame(entry.member, member);
    entry = {member, now};
    return hasChanged;
}

bool PoolDirectory::deregister(std::string_view id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return false;
    }
    if (m_deregistered.size() >= maxDeregistered) {
        m_deregistered.erase(m_deregistered.begin());
    }
    m_deregistered[found->first] = found->second.member.born_ms();
    m_entries.erase(found);
    return true;
}

std::vector<PoolDirectory::Entry> PoolDirectory::expire(TimePoint now)
{
    std::vector<Entry> expired;
    std::erase_if(m_entries, [&](const auto &item) {
        if (now - item.second.lastHeartbeat < m_options.expiry) {
            return false;
        }
        expired.push_back(item.second);
        return true;
    });
    return expired;
}

void PoolDirectory::clear()
{
    m_entries.clear();
    m_deregistered.clear();
}

const PoolDirectory::Entry *PoolDirectory::find(std::string_view id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<const PoolDirectory::Entry *> PoolDirectory::members(std::string_view service) const
{
    std::vector<const Entry *> members;
    for (const auto &[id, entry] : m_entries) {
        if (entry.member.service() == service) {
            members.push_back(&entry);
        }
    }
    return members;
}

} // namespace waxwing
