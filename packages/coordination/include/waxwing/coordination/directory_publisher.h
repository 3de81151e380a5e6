#pragma once

#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Assigns versions to changes of the directory of groups, and finds the changes that a proxy has not received.
///
/// The upper half of a version is the term of the control leader. A proxy whose version is from an earlier leader
/// receives the whole directory.
class DirectoryPublisher
{
public:
    /// @brief Removes all groups and starts the versions of a new leader.
    /// @param controlTerm term of the control leader
    void reset(std::uint32_t controlTerm);

    /// @brief Sets the content of a group. The version changes only if the content differs.
    /// @return true if the content differs
    bool update(const wire::GroupDirectory &content);

    /// @brief Marks a group as deleted.
    void remove(const std::string &group);

    /// @brief Version of the latest change.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// @brief Version at which the owner of a group last changed; 0 if the group is not known.
    std::uint64_t ownerVersion(std::string_view group) const;

    /// @brief Content of a group; null if it is not known or was deleted.
    const wire::GroupDirectory *group(std::string_view name) const;

    /// @brief Adds to a grant the groups that changed after a version.
    /// @param readerVersion version of the directory that the proxy has
    /// @param grant message in which to set the version, the groups, and whether they are the whole directory
    void fill(std::uint64_t readerVersion, wire::Grant &grant) const;

private:
    struct Entry
    {
        wire::GroupDirectory content;
        std::uint64_t version = 0;
        std::uint64_t ownerVersion = 0;
    };

    void assignNextVersion(Entry &entry, const std::string &group);

    std::uint64_t m_version = 0;
    std::map<std::string, Entry, std::less<>> m_groups;
    std::map<std::uint64_t, std::string> m_groupsByVersion;
};

} // namespace waxwing
