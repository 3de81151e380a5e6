#include <waxwing/coordination/primary_choice.h>

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
        if (database.id == m_previous) {
            m_former = database.received;
        }
        m_databases.push_back(std::move(database));
    } else if (database.id != m_previous) {
        ++m_missing;
    }
}

bool PrimaryChoice::isBetter(const Database &one, const Database &other) const
{
    // The former primary has everything, but is the one to be replaced.
    const auto rank = [this](const Database &database) {
        return std::make_tuple(!database.draining, database.id != m_previous, *database.received);
    };
    return rank(one) > rank(other);
}

std::string PrimaryChoice::bestAfterStepDown() const
{
    const Database *best = nullptr;
    for (const auto &database : m_databases) {
        const bool complete = m_former && *database.received >= *m_former && database.id != m_previous;
        if (complete && (best == nullptr || isBetter(database, *best))) {
            best = &database;
        }
    }
    return best == nullptr ? std::string() : best->id;
}

std::string PrimaryChoice::bestAmongStopped() const
{
    const bool isBound = m_former || (m_missing != 0 && m_acknowledged);
    if (m_missing != 0 && !isBound) {
        return {}; // a database that does not answer may hold commits that the others lack
    }
    const auto required = m_former ? *m_former : isBound ? *m_acknowledged : TermPosition();
    const Database *best = nullptr;
    for (const auto &database : m_databases) {
        if (*database.received < required) {
            continue;
        }
        // Without the former primary the longest log decides alone.
        const bool better = best == nullptr || (isBound ? isBetter(database, *best) : *database.received > *best->received);
        if (better) {
            best = &database;
        }
    }
    return best == nullptr ? std::string() : best->id;
}

} // namespace waxwing
