#include <waxwing/coordination/pool_directory.h>

namespace waxwing
{

namespace
{

// Databases that deregistered are remembered against late heartbeats; bounds the memory.
constexpr std::size_t leftLimit = 4096;

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

bool PoolDirectory::applyHeartbeat(const wire::PoolMember &member, TimePoint now)
{
    if (const auto left = m_left.find(member.id()); left != m_left.end()) {
        if (member.born_ms() <= left->second) {
            return false;
        }
        m_left.erase(left);
    }
    const auto found = m_entries.find(member.id());
    if (found == m_entries.end()) {
        // A heartbeat of a crashed database may arrive after another one has taken over its address.
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
    const bool newer = member.born_ms() > entry.member.born_ms() || (member.born_ms() == entry.member.born_ms() && member.sequence() > entry.member.sequence());
    if (!newer) {
        return false;
    }
    const bool changed = !isSame(entry.member, member);
    entry = {member, now};
    return changed;
}

bool PoolDirectory::deregister(std::string_view id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return false;
    }
    if (m_left.size() >= leftLimit) {
        m_left.erase(m_left.begin());
    }
    m_left[found->first] = found->second.member.born_ms();
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
    m_left.clear();
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
