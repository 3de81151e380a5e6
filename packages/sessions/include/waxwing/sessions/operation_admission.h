#pragma once

#include <waxwing/coordination/epoch_lease.h>
#include <waxwing/coordination/operation_limiter.h>
#include <waxwing/sessions/change_signal.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Admits the operations of callers within the rate limits of their workspaces, before they take a place in any queue.
/// Not thread-safe.
class OperationAdmission
{
public:
    /// An operation that may not run.
    struct Refusal
    {
        std::string_view reason;
        Duration retryAfter {}; ///< when the caller should return; zero for at once, to another proxy
    };

    /// @param lease the rates end with it; outlives this object
    OperationAdmission(const boost::asio::any_io_executor &executor, const EpochLease &lease);

    /// @brief Applies the rates of a grant, if it has any.
    void apply(const wire::PoolGrant &grant, TimePoint now);

    /// @brief Adds demand and rates in force to a renewal.
    void state(wire::PoolRenewal &renewal, TimePoint now);

    /// @brief Admits an operation; waits for a short time if a larger share of the limit is expected.
    /// @param deadline no longer than until then
    /// @return nothing if the operation may run
    boost::asio::awaitable<std::optional<Refusal>> admit(std::string workspace, TimePoint deadline);

    /// @brief Records that a session of a workspace was opened or has ended.
    void recordSession(std::string_view workspace, bool opened)
    {
        m_limiter.recordSession(workspace, opened);
    }

    /// @brief Tells whether an operation waits for a share, so that the next renewal should be sent ahead of time. Resets the answer.
    bool takeRenewalRequest();

private:
    Refusal refuse(std::string_view workspace, std::string_view reason, Duration retryAfter);

    const EpochLease &m_lease;
    OperationLimiter m_limiter;
    ChangeSignal m_change; ///< rates have arrived
    bool m_needsRenewal = false;
    std::uint64_t m_refused = 0; ///< operations since the last log line about them
    TimePoint m_nextLogAt;
};

} // namespace waxwing
