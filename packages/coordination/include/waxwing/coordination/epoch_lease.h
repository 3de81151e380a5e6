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

    /// @brief Extends the lease. A grant for an earlier renewal never shortens it.
    ///
    /// If the lease had ended, control need not have waited for this proxy: epochs before those that the grant names are not
    /// acknowledged any more. Apply the epochs of the grant first.
    /// @param sentAt when the proxy sent the renewal
    /// @param duration duration granted by control
    /// @param now when the grant was read
    void renew(TimePoint sentAt, Duration duration, TimePoint now);

    /// @brief Sets the epoch of a service; a lower or withdrawn epoch is ignored.
    void grantEpoch(std::string_view service, std::uint64_t epoch);

    /// @brief Ends the lease for an epoch of a service and all earlier epochs. This can't be undone.
    void withdraw(std::string_view service, std::uint64_t epoch);

    /// @brief Withdraws an epoch and all earlier ones, and stops acknowledging their commits. This can't be undone.
    void close(std::string_view service, std::uint64_t epoch);

    /// @brief Returns whether a commit of an epoch may be acknowledged. It takes a valid lease, and that the epoch was not closed:
    /// control compares logs only after that. Unlike a read, a commit of a withdrawn epoch may be, since its primary steps down
    /// with it.
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
        std::uint64_t closed = 0; ///< highest epoch whose commits are no longer acknowledged
    };

    TimePoint m_expiresAt;
    std::map<std::string, Epoch, std::less<>> m_epochs;
};

} // namespace waxwing
