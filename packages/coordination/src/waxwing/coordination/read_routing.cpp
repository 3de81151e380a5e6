#include <waxwing/coordination/read_routing.h>
#include <waxwing/coordination/replica_view.h>
#include <waxwing/coordination/term_history.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/random.h>

#include <algorithm>
#include <array>

namespace waxwing
{

namespace
{

template<class Predicate>
EndpointSet select(const ReadContext &context, Predicate predicate)
{
    EndpointSet set;
    const auto count = std::min(context.endpoints.size(), set.size());
    for (std::size_t i = 0; i < count; ++i) {
        if (context.endpoints[i].isUsable && predicate(context.endpoints[i])) {
            set.set(i);
        }
    }
    return set;
}

EndpointSet primaryOf(const ReadContext &context)
{
    if (!context.leaseValid || context.view.primary().empty()) {
        return {};
    }
    return select(context, [&](const EndpointState &endpoint) { return endpoint.name == context.view.primary(); });
}

template<class Predicate>
EndpointSet replicas(const ReadContext &context, Predicate predicate)
{
    return select(context, [&](const EndpointState &endpoint) { return endpoint.name != context.view.primary() && predicate(endpoint); });
}

ReadDecision refuse(RefusalReason reason)
{
    return {.kind = ReadDecision::Kind::Refuse, .preferred = {}, .overflow = {}, .recheckAt = TimePoint::max(), .reason = reason};
}

ReadDecision wait(TimePoint recheckAt, RefusalReason reason)
{
    return {.kind = ReadDecision::Kind::Wait, .preferred = {}, .overflow = {}, .recheckAt = recheckAt, .reason = reason};
}

ReadDecision run(EndpointSet preferred, EndpointSet overflow)
{
    return {.kind = ReadDecision::Kind::Run, .preferred = preferred, .overflow = overflow};
}

ReadDecision runOnPrimary(const ReadContext &context, RefusalReason refusalReason)
{
    if (const auto primary = primaryOf(context); primary.any()) {
        return run(primary, {});
    }
    return wait(TimePoint::max(), refusalReason);
}

} // namespace

std::optional<FreshnessMode> freshnessModeFromCode(std::string_view code)
{
    if (code == "primary") {
        return FreshnessMode::Primary;
    }
    if (code == "session" || code.empty()) {
        return FreshnessMode::Session;
    }
    if (code == "max_age") {
        return FreshnessMode::MaxAge;
    }
    if (code == "any") {
        return FreshnessMode::Any;
    }
    return std::nullopt;
}

ReplicaReads::ReplicaReads(ReadRoutingOptions options)
    : m_options(options)
{
}

ReadDecision ReplicaReads::runOn(EndpointSet replicas, const ReadContext &context) const
{
    return run(replicas, m_options.overflowToPrimary ? primaryOf(context) : EndpointSet {});
}

ReadDecision ReplicaReads::decide(const ReadRequirement &requirement, const ReadContext &context, TimePoint now) const
{
    if (!WAXWING_INVARIANT(context.endpoints.size() <= maxGroupMembers, "group-size-bounded")) {
        return refuse(RefusalReason::NoPrimary);
    }
    const bool needsLease = requirement.mode == FreshnessMode::Primary || requirement.mode == FreshnessMode::Session;
    if (needsLease && !context.leaseValid) {
        return refuse(RefusalReason::LeaseLost);
    }
    EndpointSet suitable;
    switch (requirement.mode) {
    case FreshnessMode::Primary:
        return runOnPrimary(context, RefusalReason::NoPrimary);
    case FreshnessMode::Session:
        return decideSession(requirement, context, now);
    case FreshnessMode::MaxAge:
        suitable = replicas(context, [&](const EndpointState &endpoint) {
            const auto age = context.view.provenAge(endpoint.name, now);
            return age && *age <= requirement.maxAge;
        });
        break;
    case FreshnessMode::Any:
        suitable = replicas(context, [](const EndpointState &) { return true; });
        break;
    }
    if (suitable.any()) {
        return runOn(suitable, context);
    }
    return runOnPrimary(context, RefusalReason::FreshnessUnavailable);
}

ReadDecision ReplicaReads::decideSession(const ReadRequirement &requirement, const ReadContext &context, TimePoint now) const
{
    if (!requirement.session) {
        return runOnPrimary(context, RefusalReason::NoPrimary);
    }
    const auto &session = *requirement.session;
    const auto waitUntil = requirement.arrivedAt + m_options.sessionWait;
    switch (context.history.fate(session.seen)) {
    case WriteFate::Kept:
        break;
    case WriteFate::FutureTerm:
        // The session has seen a newer term than this proxy; the next grant will contain it.
        return wait(TimePoint::max(), RefusalReason::StaleTerm);
    case WriteFate::Lost:
    case WriteFate::Undetermined:
        return refuse(RefusalReason::SessionWriteLost);
    }
    if (session.uncertain) {
        return runOnPrimary(context, RefusalReason::NoPrimary);
    }
    const auto suitable = replicas(context, [&](const EndpointState &endpoint) {
        const auto applied = context.view.applied(endpoint.name);
        return applied && applied->term == context.view.term() && context.history.isSatisfied(session.seen, *applied);
    });
    if (suitable.any()) {
        return runOn(suitable, context);
    }
    const bool anyReplica = replicas(context, [](const EndpointState &) { return true; }).any();
    if (anyReplica && now < waitUntil) {
        return wait(waitUntil, RefusalReason::FreshnessUnavailable);
    }
    return runOnPrimary(context, RefusalReason::NoPrimary);
}

ReadDecision PrimaryReads::decide(const ReadRequirement &requirement, const ReadContext &context, TimePoint) const
{
    if (!context.leaseValid) {
        return refuse(RefusalReason::LeaseLost);
    }
    if (requirement.mode == FreshnessMode::Session && requirement.session) {
        const auto fate = context.history.fate(requirement.session->seen);
        if (fate == WriteFate::Lost || fate == WriteFate::Undetermined) {
            return refuse(RefusalReason::SessionWriteLost);
        }
        if (fate == WriteFate::FutureTerm) {
            return wait(TimePoint::max(), RefusalReason::StaleTerm);
        }
    }
    return runOnPrimary(context, RefusalReason::NoPrimary);
}

std::optional<std::size_t> chooseOfTwo(EndpointSet set, std::span<const EndpointState> endpoints, Random &random)
{
    std::array<std::size_t, maxGroupMembers> members {};
    std::size_t count = 0;
    for (std::size_t i = 0; i < std::min(set.size(), endpoints.size()); ++i) {
        if (set.test(i)) {
            members[count++] = i;
        }
    }
    if (count == 0) {
        return std::nullopt;
    }
    const auto first = random.between(0, count - 1);
    if (count == 1) {
        return members[first];
    }
    auto second = random.between(0, count - 2);
    if (second >= first) {
        ++second;
    }
    return endpoints[members[second]].load() < endpoints[members[first]].load() ? members[second] : members[first];
}

} // namespace waxwing
