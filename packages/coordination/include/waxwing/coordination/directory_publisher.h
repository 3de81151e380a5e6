#pragma once

#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Versions the directory of groups and finds what a proxy has not received yet.
///
/// A version holds the term of the control leader in its upper half, so that versions of an earlier leader are known
/// as such: their reader receives the whole directory.
class DirectoryPublisher
{
public:
    /// @brief Forgets everything and starts with the versions of a new leader.
    /// @param controlTerm term of the control leader
    void reset(std::uint32_t controlTerm);

    /// @brief Sets the content of a group; a new version is used only if it differs.
    /// @return whether it differs
    bool update(const wire::GroupDirectory &content);

    /// @brief Marks a group as deleted.
    void remove(const std::string &group);

    /// @brief Version of the latest change.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// @brief Version at which the owner of a group last changed; 0 without a group.
    std::uint64_t ownerVersion(std::string_view group) const;

    /// @brief Content of a group; null if there is none.
    const wire::GroupDirectory *group(std::string_view name) const;

    /// @brief Adds to a grant the groups that changed after a version.
    /// @param readerVersion version that the proxy has
    /// @param grant receives version, groups and whether they are the whole set
    void fill(std::uint64_t readerVersion, wire::Grant &grant) const;

private:
    struct Entry
    {
        wire::GroupDirectory content;
        std::uint64_t version = 0;
        std::uint64_t ownerVersion = 0;
    };

    void touch(Entry &entry, const std::string &group);

    std::uint64_t m_version = 0;
    std::map<std::string, Entry, std::less<>> m_groups;
    std::map<std::uint64_t, std::string> m_byVersion;
};

} // namespace waxwing
