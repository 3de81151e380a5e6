#include "member.h"

namespace waxwing::standin
{

Member::Member(StandinOptions settings)
    : options(std::move(settings))
    , faults(options.seed)
    , history(options.history, options.database, options.group)
{
}

void Member::start()
{
    if (history.recover(database)) {
        history.recordTerms("restart", database);
        return;
    }
    if (options.startsAsPrimary) {
        promote(options.term);
    } else if (!options.primary.empty()) {
        follow(options.term, options.primary);
    }
}

bool Member::promote(std::uint64_t term)
{
    const bool isRepetition = database.role() == Role::Primary && database.term() == term;
    if (!database.promote(term)) {
        return false;
    }
    if (!isRepetition) {
        primary.clear();
        history.recordTerms("promote", database);
        if (onRole) {
            onRole();
        }
    }
    return true;
}

bool Member::follow(std::uint64_t term, std::string address)
{
    const auto fence = database.fence();
    if (!database.follow(term)) {
        return false;
    }
    if (primary != address || fence != term) {
        primary = std::move(address);
        history.recordTerms("follow", database);
        if (onRole) {
            onRole();
        }
    }
    return true;
}

boost::json::object Member::status() const
{
    return {{"database", options.database},
            {"group", options.group},
            {"role", roleName(database.role())},
            {"term", database.term()},
            {"term_start", database.termStart()},
            {"position", database.position()},
            {"slots", options.slots},
            {"connections", options.connections},
            {"running", running}};
}

std::string_view roleName(Role role)
{
    return role == Role::Primary ? "primary" : "replica";
}

} // namespace waxwing::standin
