#pragma once

#include <waxwing/coordination/endpoint_state.h>
#include <waxwing/coordination/session_token.h>
#include <waxwing/state/refusal_reason.h>
#include <waxwing/support/time.h>

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace waxwing
{

class Random;
class ReplicaView;
class TermHistory;

/// How fresh the data of a read must be.
enum class FreshnessMode {
    Primary, ///< served by the primary
    Session, ///< includes all commits that the session has seen
    MaxAge, ///< at most as old as the caller states
    Any, ///< any age
};

/// @brief Finds the mode with a code: `primary`, `session` (or empty), `max_age` or `any`.
std::optional<FreshnessMode> freshnessModeFromCode(std::string_view code);

/// @brief What a read requires of the database that serves it.
struct ReadRequirement
{
    FreshnessMode mode = FreshnessMode::Session;
    Duration maxAge {}; ///< for MaxAge
    std::optional<SessionPosition> session {}; ///< for Session; without a position, the primary serves the read
    TimePoint arrivedAt {}; ///< start of the wait of a session read
};

/// @brief State of the group to which a read is routed.
struct ReadContext
{
    const ReplicaView &view;
    const TermHistory &history;
    std::span<const EndpointState> endpoints;
    bool leaseValid = false; ///< without a valid lease, only reads of modes MaxAge and Any are served, and only by replicas
};

/// @brief Whether and where a read may run now.
struct ReadDecision
{
    enum class Kind {
        Run, ///< on a member of `preferred` or, if none of them has a free slot, of `overflow`
        Wait, ///< decide again at `recheckAt`, or when a database reports a position
        Refuse, ///< with `reason`
    };

    Kind kind = Kind::Wait;
    EndpointSet preferred {};
    EndpointSet overflow {};
    TimePoint recheckAt = TimePoint::max();
    RefusalReason reason = RefusalReason::NoPrimary; ///< for Refuse, and for Wait if the deadline passes
};

struct ReadRoutingOptions
{
    /// Time for which a session read waits for a replica to catch up before it goes to the primary.
    Duration sessionWait = 20ms;
    /// Whether the primary serves reads meant for replicas while no suitable replica has a free slot.
    bool overflowToPrimary = true;
};

template<class Policy>
concept ReadPolicy = requires(const Policy policy, const ReadRequirement &requirement, const ReadContext &context, TimePoint now)
{
    {
        policy.decide(requirement, context, now)
        } -> std::same_as<ReadDecision>;
};

/// @brief Sends reads to the replicas whose data is known to be fresh enough.
class ReplicaReads
{
public:
    explicit ReplicaReads(ReadRoutingOptions options = {});

    /// @brief Decides where a read may run.
    ReadDecision decide(const ReadRequirement &requirement, const ReadContext &context, TimePoint now) const;

private:
    ReadDecision decideSession(const ReadRequirement &requirement, const ReadContext &context, TimePoint now) const;
    ReadDecision runOn(EndpointSet replicas, const ReadContext &context) const;

    ReadRoutingOptions m_options;
};

/// @brief Baseline: sends all reads to the primary.
class PrimaryReads
{
public:
    /// @brief Decides where a read may run.
    ReadDecision decide(const ReadRequirement &requirement, const ReadContext &context, TimePoint now) const;
};

/// @brief Picks two members of a set at random and returns the less loaded one, so that not all proxies choose the same.
/// @return index into @p endpoints, or nothing if the set is empty
std::optional<std::size_t> chooseOfTwo(EndpointSet set, std::span<const EndpointState> endpoints, Random &random);

} // namespace waxwing
