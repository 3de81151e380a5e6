#include <waxwing/coordination/primary_choice.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwing
{

PrimaryChoice::PrimaryChoice(std::string previous)
    : m_previous(std::move(previous))
{
}

void PrimaryChoice::add(Database database)
{
    if (database.received) {
        if (database.id == m_previous && !database.restarted) {
            m_formerPrimaryEnd = database.received;
        }
        m_databases.push_back(std::move(database));
    } else if (database.id != m_previous) {
        m_missing.push_back(std::move(database.id));
    }
}

std::vector<std::string> PrimaryChoice::missing() const
{
    auto missing = m_missing;
    for (const auto &stopped : m_stopped) {
        const bool isKnown
            = std::any_of(m_databases.begin(), m_databases.end(), [&stopped](const Database &database) { return *database.received >= stopped.second; });
        if (!isKnown) {
            missing.push_back(stopped.first);
        }
    }
    return missing;
}

bool PrimaryChoice::lacks(const TermPosition &position) const
{
    return !m_databases.empty()
        && std::all_of(m_databases.begin(), m_databases.end(), [&position](const Database &database) { return *database.received < position; });
}

bool PrimaryChoice::isBetter(const Database &one, const Database &other) const
{
    // The former primary has all commits, but it is the one to be replaced, so it ranks below any other.
    const auto rank = [this](const Database &database) {
        return std::make_tuple(!database.draining, database.id != m_previous, *database.received);
    };
    return rank(one) > rank(other);
}

std::string PrimaryChoice::bestAfterStepDown() const
{
    const Database *best = nullptr;
    for (const auto &database : m_databases) {
        // A former primary that was started again without its log, unknown to control, ends before the acknowledged commits.
        const bool isComplete = m_formerPrimaryEnd && *database.received >= std::max({*m_formerPrimaryEnd, m_certain, m_awaited}) && database.id != m_previous;
        if (isComplete && (best == nullptr || isBetter(database, *best))) {
            best = &database;
        }
    }
    return best == nullptr ? std::string() : best->id;
}

std::string PrimaryChoice::bestAmongStopped() const
{
    const bool isAnyMissing = !missing().empty();
    const bool hasLowerBound = m_formerPrimaryEnd || (isAnyMissing && m_acknowledged);
    if (isAnyMissing && !hasLowerBound) {
        return {}; // a database that does not respond may hold commits that the others lack
    }
    const auto required = m_formerPrimaryEnd ? *m_formerPrimaryEnd : hasLowerBound ? *m_acknowledged : TermPosition();
    const Database *best = nullptr;
    for (const auto &database : m_databases) {
        if (*database.received < std::max({required, m_certain, m_awaited})) {
            continue;
        }
        // If no lower bound is known, only the longest log certainly has every acknowledged commit.
        const bool better = best == nullptr || (hasLowerBound ? isBetter(database, *best) : *database.received > *best->received);
        if (better) {
            best = &database;
        }
    }
    return best == nullptr ? std::string() : best->id;
}

} // namespace waxwing
