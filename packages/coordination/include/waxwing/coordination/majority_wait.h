#pragma once

#include <waxwing/coordination/term_position.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Writes that wait until a majority of their group has reported their position, or a higher one, in the same term.
class MajorityWait
{
public:
    /// @brief Creates an instance without writes.
    /// @param members number of configured members, not of reachable ones, which a network partition reduces
    explicit MajorityWait(std::size_t members);

    /// @brief Adds a write that the primary has completed. The primary counts as a member that has the write.
    /// @param id identifier of the statement; must not be in use
    /// @param primary name of the primary
    /// @param write term and position that the primary reported
    /// @param deadline time at which the caller receives `majority-not-confirmed`
    void add(std::uint64_t id, std::string_view primary, TermPosition write, TimePoint deadline);

    /// @brief Records the position that a member reported. A lower position, or one of an earlier term, is ignored.
    void observe(std::string_view member, TermPosition applied);

    /// @brief Removes a member that has left the group; its position no longer counts.
    void forget(std::string_view member);

    /// @brief Removes and returns the writes confirmed by a majority, in the order in which they were added.
    std::vector<std::uint64_t> takeConfirmed();

    /// @brief Removes and returns the writes whose deadline has passed; their outcome is unknown.
    std::vector<std::uint64_t> takeExpired(TimePoint now);

    /// @brief Removes and returns the writes of @p term, which has ended, and of earlier terms; their outcome is unknown.
    std::vector<std::uint64_t> takeEnded(std::uint64_t term);

    /// @brief Removes a write whose caller no longer waits.
    void cancel(std::uint64_t id);

    /// @brief Number of waiting writes. While it is not zero, replicas are polled every 5 ms.
    std::size_t size() const;

    /// @brief Earliest deadline of the waiting writes; TimePoint::max() if there are none.
    TimePoint nextDeadline() const;

private:
    struct Write
    {
        std::uint64_t id;
        TermPosition at;
        TimePoint deadline;
    };

    bool isConfirmed(const Write &write) const;
    template<class Predicate>
    std::vector<std::uint64_t> takeIf(Predicate predicate);

    std::size_t m_majority;
    std::vector<Write> m_writes;
    std::map<std::string, TermPosition, std::less<>> m_applied;
};

} // namespace waxwing
