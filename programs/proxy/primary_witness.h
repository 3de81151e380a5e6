#pragma once

#include "status_probe.h"

#include <waxwing/support/time.h>
#include <waxwing/wire/waxwing.pb.h>

#include <map>
#include <memory>
#include <string>

namespace waxwing
{

class Directory;

/// @brief Tells whether a probe of the database that should be the primary shows that it can't be reached or is no primary.
bool isEvidence(const StatusProbe &probe, TimePoint now);

/// @brief Adds what a probe of a primary shows to a renewal, if it can't be reached.
void addEvidence(const wire::GroupDirectory &group, const StatusProbe &probe, TimePoint now, wire::Renewal &renewal);

/// @brief Probes the primaries of groups that this proxy does not own, so that a failure can be confirmed from several failure domains.
class PrimaryWitness
{
public:
    /// @brief Creates a witness of no groups.
    /// @param context runs all callbacks; one thread
    explicit PrimaryWitness(boost::asio::io_context &context);

    /// @brief Takes over the primary of a group.
    /// @param isWatched whether this proxy is to probe it; false for groups that it owns
    void update(const wire::GroupDirectory &group, bool isWatched);

    /// @brief Stops probing a group.
    void forget(const std::string &group);

    /// @brief Sends the probes that are due.
    void tick(TimePoint now);

    /// @brief Adds what the probes show to a renewal.
    void fill(const Directory &directory, TimePoint now, wire::Renewal &renewal) const;

    /// @brief Number of primaries that can't be reached.
    std::size_t unreachable(TimePoint now) const;

private:
    struct Watched
    {
        std::string database;
        std::unique_ptr<StatusProbe> probe;
        TimePoint lastProbe {};
    };

    boost::asio::io_context &m_context;
    std::map<std::string, Watched, std::less<>> m_watched; // by group
};

} // namespace waxwing
