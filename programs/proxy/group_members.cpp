#include "group_members.h"

#include <waxwing/support/random.h>

#include <algorithm>

namespace waxwing
{

namespace
{

constexpr auto probeInterval = 100ms;
// While writes wait for a majority; the lag of replicas is 20 ms and more.
constexpr auto replicaPollInterval = 5ms;
// Statements at a time on a replica from a proxy without a valid lease, and the connections that owners leave it.
constexpr std::size_t slotsWithoutLease = 1;

std::size_t lower(std::size_t announced, std::size_t configured)
{
    return configured == 0 ? announced : std::min(announced, configured);
}

} // namespace

GroupMembers::GroupMembers(boost::asio::io_context &context, Random &random, PositionHandler onPosition, std::function<void()> onAvailable)
    : m_context(context)
    , m_random(random)
    , m_onPosition(std::move(onPosition))
    , m_onAvailable(std::move(onAvailable))
{
}

std::unique_ptr<GroupMember> GroupMembers::make(const wire::Announcement &announcement)
{
    const auto name = announcement.database();
    auto onStatus = [this, name](const EndpointStatus &status, TimePoint sentAt) {
        const auto index = indexOf(name);
        if (index < m_members.size() && status.database == name) {
            observe(*m_members[index], {.term = status.term, .position = status.position}, sentAt);
        }
    };
    auto onFailure = [this, name] {
        const auto index = indexOf(name);
        // Idle connections to a process that is gone would lose the next statements.
        if (index < m_members.size() && m_members[index]->probe.isRefused()) {
            m_members[index]->pool.closeIdle();
        }
    };
    return std::unique_ptr<GroupMember>(new GroupMember {.announcement = announcement,
                                                         .pool = EndpointPool(m_context, announcement.address(), m_random, m_onAvailable),
                                                         .probe = StatusProbe(m_context, announcement.address(), std::move(onStatus), std::move(onFailure))});
}

void GroupMembers::update(const wire::GroupDirectory &directory, const ServiceView &service, TimePoint now)
{
    m_service = service;
    const bool isFirst = m_members.empty();
    if (directory.term() > m_view.term() || directory.primary() != m_view.primary()) {
        m_view.setTerm(directory.term(), directory.primary());
        if (auto *next = primary()) {
            next->probe.forgetRole();
        }
    }
    for (const auto &term : directory.term_history()) {
        m_history.add({.term = term.term(), .start = term.start()});
    }
    if (!directory.primary().empty()) {
        m_history.add({.term = directory.term(), .start = directory.term_start()});
    }
    for (auto &member : m_members) {
        member->isRemoved = true;
    }
    for (const auto &announcement : directory.members()) {
        const auto index = indexOf(announcement.database());
        if (index < m_members.size() && m_members[index]->pool.address() == announcement.address()) {
            m_members[index]->announcement = announcement;
            m_members[index]->isRemoved = false;
        } else if (index == m_members.size() && m_members.size() < maxGroupMembers) {
            m_members.push_back(make(announcement));
            m_states.push_back({.name = announcement.database()});
        }
    }
    for (std::size_t i = m_members.size(); i-- > 0;) {
        if (m_members[i]->isRemoved && m_states[i].running == 0 && m_members[i]->pinned == 0) {
            m_view.forget(m_members[i]->name());
            m_members.erase(m_members.begin() + static_cast<std::ptrdiff_t>(i));
            m_states.erase(m_states.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    // A database that moved to another address replaces its former entry once that has no statements left.
    for (const auto &announcement : directory.members()) {
        if (indexOf(announcement.database()) == m_members.size() && m_members.size() < maxGroupMembers) {
            m_members.push_back(make(announcement));
            m_states.push_back({.name = announcement.database()});
        }
    }
    std::vector<std::string> names;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        names.push_back(m_members[i]->name());
        // Slow start is for endpoints that join; those of a group that was just taken over have been running.
        m_members[i]->wasUsable = m_members[i]->wasUsable || isFirst;
        setLimits(*m_members[i]);
        refresh(i, now);
    }
    m_outliers.setMembers(names, now);
}

void GroupMembers::setLeaving(std::string_view database, bool isLeaving, TimePoint now)
{
    const auto index = indexOf(database);
    if (index < m_members.size()) {
        m_members[index]->announcement.set_leaving(isLeaving);
        refresh(index, now);
    }
}

void GroupMembers::setOwning(bool isOwning, TimePoint now)
{
    m_isOwning = isOwning;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        setLimits(*m_members[i]);
        refresh(i, now);
    }
}

void GroupMembers::setLimits(GroupMember &member)
{
    const auto slots = lower(member.announcement.slots(), m_service.limits.slots);
    const bool isAdaptive = std::holds_alternative<AdaptiveLimit>(member.limit);
    if (m_service.policy.adaptsConcurrency && !isAdaptive) {
        member.limit = AdaptiveLimit(slots);
    } else if (!m_service.policy.adaptsConcurrency && isAdaptive) {
        member.limit = FixedLimit(slots);
    }
    std::visit([slots](auto &limit) { limit.setSlots(slots); }, member.limit);
    const auto connections = lower(member.announcement.connections(), m_service.limits.connections);
    // A proxy without a valid lease uses what the owner leaves: its plan leaves as many unused again.
    member.pool.setLimit(m_isOwning ? connections : std::min(connections, 2 * unusedConnections(connections)));
}

void GroupMembers::refresh(std::size_t index, TimePoint now)
{
    auto &member = *m_members[index];
    auto &state = m_states[index];
    const bool isPrimary = member.name() == m_view.primary();
    const bool isUsable = !member.isRemoved && !member.announcement.leaving() && (isPrimary || !m_outliers.isEjected(member.name(), now));
    if (isUsable && !member.wasUsable) {
        member.slowStart.begin(now);
    }
    member.wasUsable = isUsable;
    state.isUsable = isUsable;
    const auto full = std::visit([](const auto &limit) { return limit.limit(); }, member.limit);
    state.limit = isPrimary ? full : member.slowStart.limit(full, now);
    if (!m_isOwning) {
        state.limit = std::min(state.limit, slotsWithoutLease);
    }
}

void GroupMembers::onFinished(GroupMember &member, Duration cost, Duration predictedCost, TimePoint now)
{
    const auto *state = stateOf(member);
    const auto running = state != nullptr ? state->running : 0;
    std::visit([&](auto &limit) { limit.onFinished({.cost = cost, .predictedCost = predictedCost, .running = running}, now); }, member.limit);
    if (predictedCost > Duration::zero()) {
        m_outliers.onSuccess(member.name(), std::chrono::duration<double>(cost) / std::chrono::duration<double>(predictedCost), now);
    }
}

void GroupMembers::onFailure(const GroupMember &member, TimePoint now)
{
    m_outliers.onFailure(member.name(), now);
}

void GroupMembers::onNoSlot(GroupMember &member, TimePoint now)
{
    std::visit([now](auto &limit) { limit.onRejected(now); }, member.limit);
}

void GroupMembers::tick(std::size_t waiting, bool pollsReplicas, TimePoint now)
{
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        auto &member = *m_members[i];
        refresh(i, now);
        if (member.isRemoved) {
            continue;
        }
        const bool isPolled = pollsReplicas && member.name() != m_view.primary();
        if (now - member.lastProbe >= (isPolled ? Duration(replicaPollInterval) : Duration(probeInterval))) {
            member.lastProbe = now;
            member.probe.send(now);
        }
        member.pool.maintain(m_states[i].isUsable ? waiting : 0, now);
    }
}

void GroupMembers::openConnections(std::size_t waiting, TimePoint now)
{
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        if (m_states[i].hasFreeSlot() && !m_members[i]->pool.hasIdle()) {
            m_members[i]->pool.maintain(waiting, now);
        }
    }
}

void GroupMembers::observe(const GroupMember &member, TermPosition applied, TimePoint sentAt)
{
    m_view.observe(member.name(), applied, sentAt);
    m_onPosition(member.name(), applied);
}

EndpointSet GroupMembers::connected() const
{
    EndpointSet set;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        set.set(i, m_members[i]->pool.hasIdle());
    }
    return set;
}

std::size_t GroupMembers::indexOf(std::string_view database) const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const auto &member) { return member->name() == database; });
    return static_cast<std::size_t>(found - m_members.begin());
}

std::size_t GroupMembers::primaryIndex() const
{
    return m_view.primary().empty() ? m_members.size() : indexOf(m_view.primary());
}

GroupMember *GroupMembers::primary()
{
    const auto index = primaryIndex();
    return index < m_members.size() ? m_members[index].get() : nullptr;
}

EndpointState *GroupMembers::stateOf(const GroupMember &member)
{
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        if (m_members[i].get() == &member) {
            return &m_states[i];
        }
    }
    return nullptr;
}

void GroupMembers::take(GroupMember &member, bool isLong)
{
    if (auto *state = stateOf(member)) {
        ++state->running;
        state->runningLong += isLong ? 1 : 0;
    }
}

void GroupMembers::give(GroupMember &member, bool isLong)
{
    if (auto *state = stateOf(member)) {
        state->running -= std::min<std::size_t>(state->running, 1);
        state->runningLong -= std::min<std::size_t>(state->runningLong, isLong ? 1 : 0);
    }
}

void GroupMembers::reclassify(GroupMember &member)
{
    if (auto *state = stateOf(member)) {
        ++state->runningLong;
    }
}

bool GroupMembers::hasFreeSlot() const
{
    return std::any_of(m_states.begin(), m_states.end(), [](const EndpointState &state) { return state.hasFreeSlot(); });
}

} // namespace waxwing
