#pragma once

#include <waxwing/coordination/term_position.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

struct ReplicaViewOptions
{
    /// Largest number of recorded primary positions. Beyond it, every second older one is dropped, which makes proven
    /// ages older than they are, never younger.
    std::size_t maxMarks = 256;
    /// Shortest time between recorded primary positions; bounds the work under load.
    Duration markSpacing = 5ms;
};

/// @brief What the databases of a group are known to have applied, and how old their data can be at most.
///
/// All times are of the local monotonic clock and of when a probe or statement was sent: a primary that reports
/// position p to a probe sent at t had not passed p at t, so a replica at p or above has everything up to t.
class ReplicaView
{
public:
    explicit ReplicaView(ReplicaViewOptions options = {});

    /// @brief Starts a term; a lower one is ignored. Recorded primary positions of the earlier term no longer count.
    /// @param primary name of the primary; empty while none is known
    void setTerm(std::uint64_t term, std::string_view primary);

    /// @brief Takes over a position that a database reported.
    /// @param sentAt when the probe or statement was sent
    void observe(std::string_view database, TermPosition applied, TimePoint sentAt);

    /// @brief Removes a database that left, or that restarted and may have lost positions.
    void forget(std::string_view database);

    /// @brief Term of the group.
    std::uint64_t term() const;

    /// @brief Name of the primary; empty if none is known.
    const std::string &primary() const;

    /// @brief Latest position that a database reported.
    std::optional<TermPosition> applied(std::string_view database) const;

    /// @brief Largest age that the data of a database can have.
    /// @return nothing if the age is not known, which counts as too old
    std::optional<Duration> provenAge(std::string_view database, TimePoint now) const;

private:
    struct Mark
    {
        std::uint64_t position;
        TimePoint sentAt;
    };

    void record(Mark mark);

    ReplicaViewOptions m_options;
    std::uint64_t m_term = 0;
    std::string m_primary;
    std::map<std::string, TermPosition, std::less<>> m_applied;
    std::vector<Mark> m_marks; // both fields ascending
};

} // namespace waxwing
