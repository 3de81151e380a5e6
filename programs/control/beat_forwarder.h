#pragma once

#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace waxwing::control
{

/// @brief Passes deregistrations and draining heartbeats of databases on to the leader, and tells whether it has them. Single-threaded.
class BeatForwarder
{
public:
    using Handler = std::function<void(bool recorded)>;
    using Send = std::function<void(const std::string &member, const wire::PoolEnvelope &message)>;

    /// A database asks another member after a second without an answer.
    static constexpr Duration answerTimeout = 800ms;

    /// @param send sends a message to a member by its link address; it may be lost
    explicit BeatForwarder(Send send);

    /// @brief Passes what a database says of itself on.
    /// @param leader link address
    /// @param handler called once; with false if there is no answer in time
    void forward(const std::string &leader, const wire::PoolMember &member, TimePoint now, Handler handler);

    /// @brief Handles an answer of the leader. One to an earlier process is ignored.
    void receive(const wire::PoolBeatAnswer &answer);

    /// @brief Ends waits whose time has passed; call it periodically.
    void tick(TimePoint now);

private:
    struct Pending
    {
        Handler handler;
        TimePoint deadline;
    };

    Send m_send;
    std::uint64_t m_incarnation;
    std::uint64_t m_lastCorrelation = 0;
    std::map<std::uint64_t, Pending> m_pending; ///< by correlation
};

} // namespace waxwing::control
