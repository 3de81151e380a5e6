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
        Duration directInterval = 1s; ///< between attempts to reach the leader directly while another member relays
    };

    /// Makes a renewal with the present state of this proxy; control echoes the sequence.
    using MakeRenewal = std::function<wire::Envelope(std::uint64_t sequence)>;

    /// @brief Creates a client that knows no leader yet.
    /// @param sender sends to the link
    ControlClient(Options options, LinkSender sender, MakeRenewal makeRenewal);

    /// @brief Adds control processes that were found.
    void learn(const std::string &address);

    /// @brief Sends what is due; call at least every 20 ms.
    void tick(TimePoint now);

    /// @brief Asks for a renewal ahead of time, since something changed that control must know.
    void hurry();

    /// @brief Notes a grant.
    /// @return when the renewal that it answers was sent; nothing for a push or an unknown renewal
    /// @param relayed it came through another member, since the leader can't be reached
    std::optional<TimePoint> onGrant(const LinkPeer &from, std::uint64_t sequence, bool relayed = false);

    /// @brief Follows the hint of a control process that is not the leader.
    /// @param leader link address of the leader, empty if unknown
    void onNotLeader(const LinkPeer &from, const std::string &leader);

    /// @brief Link address of a leader that did not answer and has not been reached since; empty in the usual case.
    const std::string &unreachableLeader() const
    {
        return m_unreachable;
    }

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
    MakeRenewal m_makeRenewal;
    std::string m_leader; ///< or the member that relays to it
    std::string m_unreachable;
    bool m_relayed = false;
    std::optional<TimePoint> m_lastDirect; ///< last attempt to reach the leader while another member relays
    std::uint64_t m_sequence = 0;
    std::deque<Sent> m_sent;
    std::optional<TimePoint> m_unansweredSince;
    std::optional<TimePoint> m_lastRenewal;
    bool m_isUrgent = false;
};

} // namespace waxwing
