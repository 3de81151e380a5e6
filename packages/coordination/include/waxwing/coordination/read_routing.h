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
    Session, ///< includes all that the session has seen
    MaxAge, ///< at most of a stated age
    Any, ///< any age
};

/// @brief Finds the mode with a code: `primary`, `session`, `max_age` or `any`.
std::optional<FreshnessMode> freshnessModeFromCode(std::string_view code);

/// @brief What a read requires of the database that serves it.
struct ReadRequirement
{
    FreshnessMode mode = FreshnessMode::Session;
    Duration maxAge {}; ///< for MaxAge
    std::optional<SessionPosition> session {}; ///< for Session; without it, the primary serves the read
    TimePoint arrivedAt {}; ///< from which the session wait is counted
};

/// @brief State of a group in which reads are routed.
struct ReadContext
{
    const ReplicaView &view;
    const TermHistory &history;
    std::span<const EndpointState> endpoints;
    bool leaseValid = false; ///< without a valid lease, only reads of a stated age and `any` are served, by replicas
};

/// @brief Where a read may run now.
struct ReadDecision
{
    enum class Kind {
        Run, ///< on a member of `preferred` or, if none of them has a free slot, of `overflow`
        Wait, ///< decide again at `recheckAt`, and when a database reports
        Refuse, ///< with `reason`
    };

    Kind kind = Kind::Wait;
    EndpointSet preferred {};
    EndpointSet overflow {};
    TimePoint recheckAt = TimePoint::max();
    RefusalReason reason = RefusalReason::NoPrimary; ///< for Refuse, and for Wait when the deadline passes
};

struct ReadRoutingOptions
{
    /// How long a session read waits for a replica before it goes to the primary.
    Duration sessionWait = 20ms;
    /// Lets the primary serve reads that a replica could serve when no suitable replica has a free slot.
    bool overflowToPrimary = true;
};

template<class Policy>
concept ReadPolicy = requires(const Policy policy, const ReadRequirement &requirement, const ReadContext &context, TimePoint now)
{
    {
        policy.decide(requirement, context, now)
        } -> std::same_as<ReadDecision>;
};

/// @brief Sends reads to any replica that is known to satisfy them.
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

/// @brief Draws two members of a set and chooses the less loaded one, so that proxies do not all choose the same.
/// @return index into @p endpoints, or nothing if the set is empty
std::optional<std::size_t> chooseOfTwo(EndpointSet set, std::span<const EndpointState> endpoints, Random &random);

} // namespace waxwing
