#pragma once

#include "database.h"

#include <waxwing/support/random.h>
#include <waxwing/support/time.h>
#include <waxwing/transport/http_connection.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <deque>
#include <optional>
#include <string>

namespace waxwing::standin
{

struct Member;

/// @brief Follows the primary: requests its log over HTTP and applies each entry after a random lag.
class Replicator
{
public:
    /// @brief Starts to follow when the member has a primary.
    Replicator(boost::asio::io_context &context, Member &member);

    /// @brief Restarts after a change of role, term or primary; entries that were received but not applied are lost.
    void restart();

    /// @brief Serves a follower's request.
    /// @return the response, or nothing if there is nothing new and the follower should wait
    static std::optional<boost::json::object> serve(const Member &member, const boost::json::object &request);

private:
    struct Pending
    {
        TimePoint due;
        LogEntry entry;
    };

    void schedulePull(Duration delay);
    void pull();
    void send();
    void receive(const boost::json::object &response);
    void applyDue();
    std::uint64_t receivedPosition() const;

    boost::asio::io_context &m_context;
    Member &m_member;
    Random m_random;
    std::optional<HttpConnection> m_connection;
    boost::asio::steady_timer m_pullTimer;
    boost::asio::steady_timer m_applyTimer;
    std::deque<Pending> m_pending;
    std::vector<TermStart> m_primaryTerms; // Terms of the primary once the logs are known to agree.
    std::uint64_t m_generation = 0; // Raised by restart(), so that a late response of the old primary is discarded.
};

} // namespace waxwing::standin
