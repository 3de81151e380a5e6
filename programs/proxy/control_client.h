#pragma once

#include "control_addresses.h"

#include <waxwing/support/back_off.h>
#include <waxwing/support/time.h>
#include <waxwing/transport/link_peer.h>
#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// Sends a message; returns false if nothing was sent.
using LinkSender = std::function<bool(const LinkPeer &to, const wire::Envelope &message)>;

/// @brief Sends renewals to the control leader and finds a new leader when it does not answer.
///
/// The search asks one member at a time, which refers to the leader as soon as it knows one. Members whose link is not connected take
/// no part of its time.
class ControlClient
{
public:
    struct Options
    {
        std::vector<std::string> addresses; ///< links of control processes that are known from the settings
        std::uint64_t incarnation = 0; ///< of this process, as its renewals state it
        Duration interval = 400ms; ///< between renewals
        Duration searchAfter = 200ms; ///< shortest time without a grant after which the leader is searched
        Duration maxSearchAfter = 800ms; ///< as above, where grants usually take long
        Duration maxSearchPause = 1'600ms; ///< longest mean time between renewals while no leader is known
        Duration maxSearchRound = 2'200ms; ///< longest mean time in which a search asks all members that the links reach
        std::uint64_t seed = 0; ///< of the order in which members are asked, and of the pauses
        Duration urgentSpacing = 20ms; ///< shortest time between renewals that are sent ahead of time
        Duration directInterval = 1s; ///< between attempts to reach the leader directly while another member relays
    };

    /// Makes a renewal with the present state of this proxy; control echoes the sequence.
    using MakeRenewal = std::function<wire::Envelope(std::uint64_t sequence)>;

    /// @brief Creates a client that knows no leader yet.
    /// @param sender sends to the link
    ControlClient(Options options, LinkSender sender, MakeRenewal makeRenewal);

    /// @brief Replaces the control processes that are asked first; those of the settings are asked when none of them answers.
    /// @param addresses links of the members that the present leader names; an empty list changes nothing
    ControlAddresses::Change setMembers(std::span<const std::string> addresses);

    /// @brief Sets the time between renewals, within bounds that keep a lease alive.
    void setInterval(Duration interval);

    /// @brief Sends what is due; call at least every 20 ms.
    void tick(TimePoint now);

    /// @brief Asks for a renewal ahead of time, since something changed that control must know.
    void hurry();

    /// What a grant says of the renewal that it answers.
    struct Answer
    {
        std::uint64_t sequence = 0; ///< 0 for a push
        std::uint64_t incarnation = 0; ///< of the process that sent the renewal
        bool relayed = false; ///< it came through another member, since the leader can't be reached
    };

    /// @brief Notes a grant.
    /// @return when the renewal that it answers was sent; nothing for a push, an unknown renewal or one of an earlier process
    std::optional<TimePoint> onGrant(const LinkPeer &from, const Answer &grant);

    /// @brief Follows the hint of a control process that is not the leader.
    /// @param leader link address of the leader, empty if unknown
    void onNotLeader(const LinkPeer &from, const std::string &leader);

    /// @brief Notes that a message could not be sent, because the link is not connected.
    void onNotSent(const LinkPeer &to);

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
    /// Pause after an attempt to find the leader. It grows once each member was asked, up to its part of a round, and is spread, because
    /// all proxies search at once.
    Duration searchPause();
    /// Time without a grant after which the leader is searched.
    Duration grantTimeout() const;

    struct Sent
    {
        std::uint64_t sequence;
        TimePoint at;
    };

    Options m_options;
    ControlAddresses m_addresses;
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
    TimePoint m_lastTick;
    Duration m_grantTime {}; ///< moving average of the time from a renewal to its grant
    std::size_t m_searchAttempts = 0; ///< since the last grant
    std::string m_asked; ///< by the latest attempt to find the leader
    std::set<std::string, std::less<>> m_notConnected; ///< addresses at which the latest attempt was not sent
    std::size_t m_notSentInARow = 0; ///< latest attempts to find the leader
    BackOff m_searchPauses;
    Duration m_searchPause {}; ///< until the next attempt
};

} // namespace waxwing
