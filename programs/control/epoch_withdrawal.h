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

/// @brief Withdrawal of the epochs of one service from all proxies, and what the proxies acknowledged in them.
class EpochWithdrawal
{
public:
    using Sender = std::function<void(const std::string &proxy, const wire::PoolEnvelope &message)>;

    /// @brief Begins to withdraw all epochs before one; what was confirmed for earlier ones does not count.
    /// @param epoch the new epoch
    void start(std::uint64_t epoch);

    /// @brief Asks the proxies to acknowledge no further commit either, so that acknowledged() can be told.
    void close()
    {
        if (!m_closes) {
            m_closes = true;
            m_sentAt = {};
        }
    }

    /// @brief Takes a proxy's confirmation.
    void confirm(const wire::PoolWithdrawn &message);

    /// @brief Sends what is due.
    /// @return true if every proxy has given up its lease on the epochs, or lost it, and is closed if that was asked for
    bool advance(const std::string &service, const SessionLeases &leases, TimePoint now, const Sender &send);

    /// @brief Highest position that any caller was told or may still be told.
    /// @return nothing while it is not known: a proxy has not confirmed, or one without a lease of this leader may have
    /// acknowledged a commit after the last position that is known
    std::optional<TermPosition> acknowledged(const SessionLeases &leases, TimePoint now) const;

private:
    struct Confirmation
    {
        std::uint64_t incarnation = 0;
        TermPosition acknowledged;
        std::optional<TermPosition> reported; ///< by the primary since proxies without a lease of this leader have ended
        bool closed = false;
    };

    bool isConfirmed(const std::string &proxy, const SessionLeases::Proxy &lease) const;

    std::uint64_t m_epoch = 0;
    bool m_closes = false;
    TimePoint m_sentAt;
    TimePoint m_elsewhereUntil; ///< of the leases, when the evidence was asked for
    std::map<std::string, Confirmation, std::less<>> m_confirmations; ///< by proxy
};

} // namespace waxwing::control
