#pragma once

#include <waxwing/support/time.h>
#include <waxwing/transport/link_peer.h>
#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// Sends a message; returns false if nothing was sent.
using LinkSender = std::function<bool(const LinkPeer &to, const wire::Envelope &message)>;

/// @brief Sends renewals to the control leader and finds a new leader when it does not answer.
class ControlClient
{
public:
    struct Options
    {
        std::vector<std::string> addresses; ///< links of the control processes
        Duration interval = 400ms; ///< between renewals
        Duration searchAfter = 200ms; ///< without a grant, the next renewal goes to every control address
        Duration urgentSpacing = 20ms; ///< shortest time between renewals that are sent ahead of time
    };

    /// @brief Creates a client that knows no leader yet.
    /// @param sender sends to the link
    /// @param fill completes a renewal with the present state of this proxy
    ControlClient(Options options, LinkSender sender, std::function<void(wire::Renewal &renewal)> fill);

    /// @brief Sends what is due; call at least every 20 ms.
    void tick(TimePoint now);

    /// @brief Asks for a renewal ahead of time, since something changed that control must know.
    void hurry();

    /// @brief Notes a grant.
    /// @return when the renewal that it answers was sent; nothing for a push or an unknown renewal
    std::optional<TimePoint> onGrant(const LinkPeer &from, const wire::Grant &grant, TimePoint now);

    /// @brief Follows the hint of a control process that is not the leader.
    void onNotLeader(const LinkPeer &from, const wire::NotLeader &message);

    /// @brief Sends a message to the leader, or to every control address while none is known.
    /// @return false if it was sent to none
    bool send(const wire::Envelope &message);

private:
    void renew(TimePoint now);
    bool isKnown(const std::string &address) const;

    struct Sent
    {
        std::uint64_t sequence;
        TimePoint at;
    };

    Options m_options;
    LinkSender m_sender;
    std::function<void(wire::Renewal &renewal)> m_fill;
    std::string m_leader;
    std::uint64_t m_sequence = 0;
    std::deque<Sent> m_sent;
    std::optional<TimePoint> m_unansweredSince;
    std::optional<TimePoint> m_lastRenewal;
    bool m_isUrgent = false;
};

} // namespace waxwing
