#pragma once

#include "group_member.h"
#include "service_view.h"

#include <waxwing/coordination/endpoint_state.h>
#include <waxwing/coordination/outlier_detector.h>
#include <waxwing/coordination/replica_view.h>
#include <waxwing/coordination/term_history.h>

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace waxwing
{

class Random;

/// @brief Databases of a group: their connections, health, positions and free slots.
class GroupMembers
{
public:
    /// @brief Called when a database reports its position.
    using PositionHandler = std::function<void(const std::string &database, TermPosition applied)>;

    /// @brief Creates a group without members.
    /// @param context runs all callbacks; one thread
    /// @param onPosition called with each position reported
    /// @param onAvailable called when a statement may be able to start
    GroupMembers(boost::asio::io_context &context, Random &random, PositionHandler onPosition, std::function<void()> onAvailable);

    /// @brief Takes over the members, term and primary of the directory, and the configuration.
    void update(const wire::GroupDirectory &directory, const ServiceView &service, TimePoint now);

    /// @brief Excludes a database at once that announced that it is leaving.
    void setLeaving(std::string_view database, bool isLeaving, TimePoint now);

    /// @brief Lowers the limits to what a proxy without a valid lease may use.
    void setOwning(bool isOwning, TimePoint now);

    /// @brief Probes what is due and maintains the connections.
    /// @param waiting statements that wait for a slot
    /// @param pollsReplicas whether writes wait for the positions of replicas
    void tick(std::size_t waiting, bool pollsReplicas, TimePoint now);

    /// @brief Opens the connections that waiting statements could use.
    void openConnections(std::size_t waiting, TimePoint now);

    /// @brief Takes over a position from a response.
    void observe(const GroupMember &member, TermPosition applied, TimePoint sentAt);

    /// @brief States for the decisions; the index of a state is that of its member.
    std::span<const EndpointState> states() const
    {
        return m_states;
    }

    /// @brief Members that have an idle connection.
    EndpointSet connected() const;

    /// @brief Member at an index of states().
    GroupMember &at(std::size_t index)
    {
        return *m_members[index];
    }

    /// @brief Index of a member; the number of members if it is not there.
    std::size_t indexOf(std::string_view database) const;

    /// @brief Index of the primary; the number of members if none is known.
    std::size_t primaryIndex() const;

    /// @brief Member that is the primary; nullptr if none is known.
    GroupMember *primary();

    /// @brief Notes that a statement holds a slot.
    void take(GroupMember &member, bool isLong);

    /// @brief Notes that a statement gave its slot back.
    void give(GroupMember &member, bool isLong);

    /// @brief Takes over the cost of a statement that finished, before its slot is given back.
    void onFinished(GroupMember &member, Duration cost, Duration predictedCost, TimePoint now);

    /// @brief Takes over a failed connection, a timeout or a torn response.
    void onFailure(const GroupMember &member, TimePoint now);

    /// @brief Takes over that the endpoint has no free slot although its limit allowed the statement.
    void onNoSlot(GroupMember &member, TimePoint now);

    /// @brief Notes that a running statement became long.
    void reclassify(GroupMember &member);

    /// @brief Tells whether some member has a free slot.
    bool hasFreeSlot() const;

    const ReplicaView &view() const
    {
        return m_view;
    }

    const TermHistory &history() const
    {
        return m_history;
    }

private:
    std::unique_ptr<GroupMember> make(const wire::Announcement &announcement);
    void refresh(std::size_t index, TimePoint now);
    void setLimits(GroupMember &member);
    EndpointState *stateOf(const GroupMember &member);

    boost::asio::io_context &m_context;
    Random &m_random;
    PositionHandler m_onPosition;
    std::function<void()> m_onAvailable;
    ServiceView m_service;
    OutlierDetector m_outliers;
    bool m_isOwning = true;
    std::vector<std::unique_ptr<GroupMember>> m_members;
    std::vector<EndpointState> m_states;
    ReplicaView m_view;
    TermHistory m_history;
};

} // namespace waxwing
