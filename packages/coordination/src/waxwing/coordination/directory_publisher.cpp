#include <waxwing/coordination/directory_publisher.h>

namespace waxwing
{

namespace
{

constexpr unsigned termShift = 32;

} // namespace

void DirectoryPublisher::reset(std::uint32_t controlTerm)
{
    m_version = static_cast<std::uint64_t>(controlTerm) << termShift;
    m_groups.clear();
    m_groupsByVersion.clear();
}

bool DirectoryPublisher::update(const wire::GroupDirectory &content)
{
    auto &entry = m_groups[content.group()];
    if (entry.version != 0 && entry.content.SerializeAsString() == content.SerializeAsString()) {
        return false;
    }
    const bool ownerChanged = entry.version == 0 || entry.content.owner_epoch() != content.owner_epoch();
    entry.content = content;
    assignNextVersion(entry, content.group());
    if (ownerChanged) {
        entry.ownerVersion = entry.version;
    }
    return true;
}

void DirectoryPublisher::remove(const std::string &group)
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end() || found->second.content.deleted()) {
        return;
    }
    found->second.content.Clear();
    found->second.content.set_group(group);
    found->second.content.set_deleted(true);
    assignNextVersion(found->second, group);
}

void DirectoryPublisher::assignNextVersion(Entry &entry, const std::string &group)
{
    m_groupsByVersion.erase(entry.version);
    entry.version = ++m_version;
    m_groupsByVersion[entry.version] = group;
}

std::uint64_t DirectoryPublisher::ownerVersion(std::string_view group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? 0 : found->second.ownerVersion;
}

const wire::GroupDirectory *DirectoryPublisher::group(std::string_view name) const
{
    const auto found = m_groups.find(name);
    return found == m_groups.end() || found->second.content.deleted() ? nullptr : &found->second.content;
}

void DirectoryPublisher::fill(std::uint64_t readerVersion, wire::Grant &grant) const
{
    grant.set_directory_version(m_version);
    const bool isFull = readerVersion >> termShift != m_version >> termShift || readerVersion > m_version;
    grant.set_directory_full(isFull);
    if (isFull) {
        for (const auto &[name, entry] : m_groups) {
            if (!entry.content.deleted()) {
                *grant.add_groups() = entry.content;
            }
        }
        return;
    }
    for (auto change = m_groupsByVersion.upper_bound(readerVersion); change != m_groupsByVersion.end(); ++change) {
        *grant.add_groups() = m_groups.at(change->second).content;
    }
}

} // namespace waxwing
