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
    /// Maximum number of recorded primary positions. Beyond it, every second one of the older half is dropped, which can
    /// only increase the proven ages, never reduce them.
    std::size_t maxSamples = 256;
    /// Minimum time between recorded primary positions; bounds the work under load.
    Duration minSampleInterval = 5ms;
};

/// @brief Positions that the databases of a group have applied, and an upper limit of the age of their data.
///
/// All times are those at which a probe or statement was sent, by the local monotonic clock. A primary that reports
/// position p to a probe sent at time t was at p or below at t, so a replica at p or above has all commits up to t.
class ReplicaView
{
public:
    explicit ReplicaView(ReplicaViewOptions options = {});

    /// @brief Sets the term and its primary; a lower term is ignored. A higher term discards the recorded primary positions.
    /// @param primary name of the primary; empty while none is known
    void setTerm(std::uint64_t term, std::string_view primary);

    /// @brief Records a position that a database reported.
    /// @param sentAt when the probe or statement was sent
    void observe(std::string_view database, TermPosition applied, TimePoint sentAt);

    /// @brief Removes a database that has left, or that has restarted and may have lost commits.
    void forget(std::string_view database);

    /// @brief Term of the group.
    std::uint64_t term() const;

    /// @brief Name of the primary; empty if none is known.
    const std::string &primary() const;

    /// @brief Highest position that a database reported.
    std::optional<TermPosition> applied(std::string_view database) const;

    /// @brief Maximum age that the data of a database can have.
    /// @return the age, or nothing if it is not known; callers treat it as too old
    std::optional<Duration> provenAge(std::string_view database, TimePoint now) const;

private:
    /// Position reported by the primary.
    struct PrimarySample
    {
        std::uint64_t position;
        TimePoint sentAt;
    };

    void record(PrimarySample sample);

    ReplicaViewOptions m_options;
    std::uint64_t m_term = 0;
    std::string m_primary;
    std::map<std::string, TermPosition, std::less<>> m_applied;
    std::vector<PrimarySample> m_samples; ///< sorted, both fields ascending
};

} // namespace waxwing
