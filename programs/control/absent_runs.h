#pragma once

#include "database_calls.h"

#include <waxwing/support/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace waxwing::control
{

/// @brief Tells which runs of databases that left or fell silent have ended, from the answers at their addresses. One that has not
/// ended may still receive the log, so that commits are acknowledged for its sake.
class AbsentRuns
{
public:
    struct Options
    {
        /// Consecutive refused checks until a database that has deregistered counts as ended, about 10 s. Refusals may also come from
        /// the network during a partition.
        unsigned refusalsUntilEnded = 20;
        /// Time without an answer until a run counts as ended. It may be cut off from control only, and still receive.
        Duration silenceLimit = 60s;
    };

    explicit AbsentRuns(const Options &options)
        : m_options(options)
    {
    }

    /// @brief Sets the runs that are absent. What is known of others is discarded.
    void retain(std::span<const wire::PoolMember> absent, TimePoint now);

    /// @brief Tells whether no run is known to be absent.
    bool isEmpty() const
    {
        return m_runs.empty();
    }

    /// @brief Records how a run was reached at its address.
    /// @return whether it differs from the check before
    bool record(const wire::PoolMember &run, DatabaseCalls::Reach reach, TimePoint now);

    /// @brief Tells whether a run can't acknowledge commits any more.
    bool hasEnded(const wire::PoolMember &run, TimePoint now) const;

private:
    using Key = std::pair<std::string, std::uint64_t>; ///< id and start

    struct Evidence
    {
        TimePoint aliveAt; ///< last answer; before the first one, when the run became known to be absent
        std::optional<DatabaseCalls::Reach> reach; ///< at the last check
        unsigned refusals = 0; ///< consecutive ones
        bool isReplaced = false; ///< another database has its address
    };

    static Key key(const wire::PoolMember &run)
    {
        return {run.id(), run.born_ms()};
    }

    Options m_options;
    std::map<Key, Evidence> m_runs;
};

} // namespace waxwing::control
