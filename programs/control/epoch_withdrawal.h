#pragma once

#include "session_leases.h"

#include <waxwing/coordination/term_position.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace waxwing::control
{

/// @brief Withdraws the epochs of one service from all proxies, and collects the positions that they acknowledged.
class EpochWithdrawal
{
public:
    using Sender = std::function<void(const std::string &proxy, const wire::PoolEnvelope &message)>;

    /// @brief Starts to withdraw all epochs before the new one. Confirmations of earlier withdrawals are discarded.
    /// @param epoch the new epoch
    void start(std::uint64_t epoch);

    /// @brief Also asks the proxies to acknowledge no further commits; acknowledged() requires it.
    void close()
    {
        if (!m_closing) {
            m_closing = true;
            m_requestedAt = {};
        }
    }

    /// @brief Handles a proxy's confirmation. Those of earlier withdrawals are ignored.
    void confirm(const wire::PoolWithdrawn &message);

    /// @brief Sends requests to the proxies that have not confirmed, at most once per resend interval.
    /// @return true if each proxy has confirmed, or its lease has ended; after close(), a confirmation must include that no
    /// further commits are acknowledged
    bool advance(const std::string &service, const SessionLeases &leases, TimePoint now, const Sender &send);

    /// @brief Highest position whose commit a proxy has acknowledged to a caller, or may still acknowledge.
    /// @return nothing while it is unknown: a proxy has not confirmed, or one without a lease of this leader may have
    /// acknowledged a commit after the last known position
    std::optional<TermPosition> acknowledged(const SessionLeases &leases, TimePoint now) const;

    /// @brief Position that an acknowledged commit certainly has or follows, as far as proxies have told; the first one if none has.
    ///
    /// After close(), if every proxy that may have sent commits has answered, it is exact but for commits without a known outcome.
    TermPosition acknowledgedAtLeast(const SessionLeases &leases, TimePoint now) const;

    /// @brief Position that no commit follows of those that proxies have told to be acknowledged after a replica had received them. It may
    /// include commits that were not acknowledged.
    TermPosition acknowledgedAtMost() const;

private:
    struct Confirmation
    {
        std::uint64_t incarnation = 0;
        TermPosition acknowledged;
        TermPosition acknowledgedAtLeast;
        TermPosition replicated; ///< upper bound of the above
        std::optional<std::uint32_t> unsettledCommits; ///< of this proxy; nothing from an earlier release
        bool settlesDeparted = false; ///< no commit of a proxy that had departed when the round began follows the last acknowledged one
        std::optional<TermPosition> reported; ///< by the primary, after proxies without a lease of this leader stopped acknowledging
        std::uint32_t round = 0; ///< of the request that it answers
        bool closed = false;
    };

    /// Commits without a known outcome that may follow the last acknowledged one; nothing if a proxy that may have sent some has not told.
    std::optional<std::uint64_t> unsettledCommits(const SessionLeases &leases, TimePoint now) const;
    bool isConfirmed(const std::string &proxy, const SessionLeases::Proxy &lease) const;

    std::uint64_t m_epoch = 0;
    bool m_closing = false;
    TimePoint m_requestedAt;
    std::optional<TimePoint> m_evidenceAfter; ///< time from which the primary's reports show what unknown proxies have acknowledged
    std::uint32_t m_round = 0; ///< counts these times; positions of earlier rounds may be too low
    std::map<std::string, Confirmation, std::less<>> m_confirmations; ///< by proxy
};

} // namespace waxwing::control
