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

/// @brief Writes that wait until a majority of the members of their group report their position in the same term.
class MajorityWait
{
public:
    /// @brief Creates an empty wait.
    /// @param members number of members by configuration; not the number that is reachable, which a partition lowers
    explicit MajorityWait(std::size_t members);

    /// @brief Adds a write that the primary has answered. The primary counts as one member that has the write.
    /// @param id identifier of the statement, not in use
    /// @param primary name of the primary that answered
    /// @param write term and position of the answer
    /// @param deadline when the statement is answered with `majority-not-confirmed`
    void add(std::uint64_t id, std::string_view primary, TermPosition write, TimePoint deadline);

    /// @brief Takes over the position that a member reported. A lower position of the same term is ignored.
    void observe(std::string_view member, TermPosition applied);

    /// @brief Removes a member that left the group; its report no longer counts.
    void forget(std::string_view member);

    /// @brief Removes and returns the writes that a majority has confirmed, in the order in which they were added.
    std::vector<std::uint64_t> takeConfirmed();

    /// @brief Removes and returns the writes whose deadline has passed; their outcome is unknown.
    std::vector<std::uint64_t> takeExpired(TimePoint now);

    /// @brief Removes and returns the writes of terms up to and including @p term, which has ended; their outcome is unknown.
    std::vector<std::uint64_t> takeEnded(std::uint64_t term);

    /// @brief Removes a write whose caller no longer waits.
    void cancel(std::uint64_t id);

    /// @brief Number of writes that wait. While it is not zero, replicas are polled every 5 ms.
    std::size_t size() const;

    /// @brief Earliest deadline of a write that waits; TimePoint::max() without any.
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
