#pragma once

#include <waxwing/support/time.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief Databases of one service that may still be promoted by an earlier order, because its answer is missing.
///
/// A platform that checks no fencing tokens may carry out such an order after newer ones. Until that is impossible, no other database
/// may become the primary: it would lose the commits that the late promotion lacks.
class PendingOrders
{
public:
    /// @param limit longest time from sending an order until it is carried out
    explicit PendingOrders(Duration limit)
        : m_limit(limit)
    {
    }

    /// @brief Adds a database with an order in the replicated log; the order was sent before now. Known ones keep their time.
    void adopt(const std::string &database, TimePoint now)
    {
        m_lastOrders.emplace(database, now);
    }

    /// @brief Records that an order was sent and not answered.
    void recordUnanswered(const std::string &database, TimePoint now)
    {
        m_lastOrders.insert_or_assign(database, now);
    }

    /// @brief Returns whether an order for a database may still be carried out.
    bool isPending(std::string_view database) const
    {
        return m_lastOrders.contains(database);
    }

    /// @brief Returns whether a database may become the primary.
    bool allows(std::string_view candidate) const
    {
        return m_lastOrders.empty() || (m_lastOrders.size() == 1 && isPending(candidate));
    }

    /// @brief Removes the databases whose orders are too old to be carried out.
    /// @return their ids
    std::vector<std::string> expire(TimePoint now);

private:
    Duration m_limit;
    std::map<std::string, TimePoint, std::less<>> m_lastOrders; ///< by database: latest time at which its last order was sent
};

} // namespace waxwing::control
