#pragma once

#include <waxwing/support/string_hash.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace waxwing
{

/// @brief Start tags of start-time fair queueing: sorted by tag, statements of different workspaces alternate, however many of them one
/// workspace has queued. Each statement counts the same. No I/O.
///
/// Answers the load of one workspace that sends many times its usual while others of its priority wait for the same connections.
class FairQueueTags
{
public:
    /// @brief Returns the tag of a statement that is queued now. Statements of one workspace get ascending tags.
    std::uint64_t next(std::string_view workspace);

    /// @brief Records that the statement with this tag is served now.
    void serve(std::uint64_t tag);

    /// @brief Forgets all workspaces; call it when nothing is queued, which bounds the memory.
    void clear();

    /// @brief Number of workspaces that are remembered.
    std::size_t size() const
    {
        return m_next.size();
    }

private:
    std::uint64_t m_virtualTime = 0; ///< tag of the statement served last
    std::unordered_map<std::string, std::uint64_t, StringHash, std::equal_to<>> m_next; ///< next tag by workspace
};

} // namespace waxwing
