#include "absent_runs.h"

#include <utility>

namespace waxwing::control
{

using Reach = DatabaseCalls::Reach;

void AbsentRuns::retain(std::span<const wire::PoolMember> absent, TimePoint now)
{
    auto before = std::exchange(m_runs, {});
    for (const auto &run : absent) {
        const auto known = before.find(key(run));
        m_runs.emplace(key(run), known == before.end() ? Evidence {.aliveAt = now} : known->second);
    }
}

bool AbsentRuns::record(const wire::PoolMember &run, Reach reach, TimePoint now)
{
    const auto found = m_runs.find(key(run));
    if (found == m_runs.end()) {
        return false;
    }
    auto &evidence = found->second;
    const bool changed = std::exchange(evidence.reach, reach) != reach;
    evidence.refusals = reach == Reach::Refused ? evidence.refusals + 1 : 0;
    if (reach == Reach::Answered || reach == Reach::Busy) {
        evidence.aliveAt = now;
    } else if (reach == Reach::Replaced) {
        evidence.isReplaced = true;
    }
    return changed;
}

bool AbsentRuns::hasEnded(const wire::PoolMember &run, TimePoint now) const
{
    const auto found = m_runs.find(key(run));
    if (found == m_runs.end()) {
        return false;
    }
    const auto &evidence = found->second;
    // A database that crashed also refuses connections, and comes back with its log.
    const bool hasExited = run.leaving() && evidence.refusals >= m_options.refusalsUntilEnded;
    return evidence.isReplaced || hasExited || now - evidence.aliveAt >= m_options.silenceLimit;
}

} // namespace waxwing::control
