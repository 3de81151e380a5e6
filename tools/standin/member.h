#pragma once

#include "database.h"
#include "faults.h"
#include "history.h"
#include "standin_options.h"

#include <boost/json/object.hpp>

#include <functional>

namespace waxwing::standin
{

/// @brief Group member: options, data, faults and history, shared by the endpoint API, the replicator and the announcer.
struct Member
{
    explicit Member(StandinOptions settings);

    /// @brief Restores data of an earlier process, or takes the role of the first start.
    void start();

    /// @brief Becomes primary of a term; see Database::promote().
    bool promote(std::uint64_t term);

    /// @brief Follows a primary in a term; see Database::follow().
    bool follow(std::uint64_t term, std::string address);

    /// @brief Fields of the status response, exactly those of the page: proxies refuse unknown ones.
    boost::json::object status() const;

    StandinOptions options;
    Database database;
    Faults faults;
    History history;
    std::string primary; ///< address to replicate from
    unsigned running = 0; ///< statements that run now
    bool isAnnouncedLeaving = false; ///< announcements say `leaving`
    bool isLeaving = false; ///< new statements are rejected
    std::function<void()> onRole; ///< promoted, or follows another primary or term
    std::function<void()> onChange; ///< something that announcements tell, other than the position, changed
};

/// @brief Name of a role in the API.
std::string_view roleName(Role role);

} // namespace waxwing::standin
