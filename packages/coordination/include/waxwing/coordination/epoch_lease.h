#pragma once

#include <waxwing/support/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Lease of a proxy on the current epoch of each service. While it is valid for an epoch, no later primary exists.
class EpochLease
{
public:
    /// Percentage by which the proxy shortens its lease, because the clock of control may run faster than that of this VM.
    static constexpr unsigned driftPercent = 5;

    /// Time after the end of the lease for which commits are still acknowledged. It is longer than control is usually
    /// unreachable. A promotion while a replica is missing has to wait for it.
    static constexpr Duration acknowledgementGrace = std::chrono::seconds(10);

    /// @brief Extends the lease. A grant for an earlier renewal never shortens it.
    /// @param sentAt when the proxy sent the renewal
    /// @param duration duration granted by control
    void renew(TimePoint sentAt, Duration duration);

    /// @brief Sets the epoch of a service; a lower or withdrawn epoch is ignored.
    void grantEpoch(std::string_view service, std::uint64_t epoch);

    /// @brief Ends the lease for an epoch of a service and all earlier epochs. This can't be undone.
    void withdraw(std::string_view service, std::uint64_t epoch);

    /// @brief Withdraws an epoch and all earlier ones, and stops acknowledging their commits. This can't be undone.
    void stopAcknowledging(std::string_view service, std::uint64_t epoch);

    /// @brief Returns whether a commit of an epoch may be acknowledged. Unlike a read, a commit does not need a valid
    /// lease, because a replica must have received it.
    /// @param now time taken after the response of the database was read
    bool mayAcknowledge(std::string_view service, std::uint64_t epoch, TimePoint now) const;

    /// @brief Returns whether the lease is valid for an epoch.
    /// @param now time taken after the response of the database was read
    bool covers(std::string_view service, std::uint64_t epoch, TimePoint now) const;

    /// @brief Returns whether the lease is valid, regardless of epochs.
    bool isValid(TimePoint now) const
    {
        return now < m_expiresAt;
    }

    /// @brief Time at which the lease ends unless it is renewed.
    TimePoint expiresAt() const
    {
        return m_expiresAt;
    }

private:
    struct Epoch
    {
        std::uint64_t granted = 0;
        std::uint64_t withdrawn = 0;
        std::uint64_t unacknowledged = 0; ///< highest epoch whose commits are no longer acknowledged
    };

    TimePoint m_expiresAt;
    std::map<std::string, Epoch, std::less<>> m_epochs;
};

} // namespace waxwing
