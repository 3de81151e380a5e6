#pragma once

#include <waxwing/sessions/session_directory.h>
#include <waxwing/support/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <set>
#include <string>

namespace waxwing
{

/// @brief Asks primaries for their position when callers' statements did not bring one lately, so that replicas can prove
/// their age.
class PositionPoll
{
public:
    /// @param directory outlives this object
    PositionPoll(boost::asio::io_context &context, SessionDirectory &directory);

    /// @brief Asks where it is due.
    void tick(TimePoint now);

private:
    boost::asio::awaitable<void> ask(std::string name);

    boost::asio::io_context &m_context;
    SessionDirectory &m_directory;
    std::set<std::string, std::less<>> m_asking; ///< services
};

} // namespace waxwing
