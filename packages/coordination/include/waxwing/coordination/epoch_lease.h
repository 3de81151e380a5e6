#pragma once

#include <waxwing/support/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Lease of a proxy on the epochs of all services. As long as it is valid for an epoch, no later primary exists.
class EpochLease
{
public:
    /// Part of the lease that is given up, since the clock of control may run faster than that of this VM.
    static constexpr unsigned driftPercent = 5;

    /// Commits are acknowledged for this long after the lease has ended: longer than control is usually out of reach. A
    /// promotion without one of the replicas waits for it.
    static constexpr Duration acknowledgementGrace = std::chrono::seconds(10);

    /// @brief Takes over a grant. A grant for an older renewal never shortens the lease.
    /// @param sentAt when the renewal that was granted was sent
    /// @param duration as granted
    void renew(TimePoint sentAt, Duration duration);

    /// @brief Takes over the epoch of a service; one that was withdrawn, or an older one, is ignored.
    void grantEpoch(std::string_view service, std::uint64_t epoch);

    /// @brief Gives up an epoch and all before it, for good.
    void withdraw(std::string_view service, std::uint64_t epoch);

    /// @brief Acknowledges no further commit of an epoch and all before it, for good.
    void stopAcknowledging(std::string_view service, std::uint64_t epoch);

    /// @brief Tells whether a commit of an epoch may be acknowledged. Call it after the answer was read, with a time that was
    /// taken then. Unlike reads, commits do not need the lease itself: a replica must have received them.
    bool mayAcknowledge(std::string_view service, std::uint64_t epoch, TimePoint now) const;

    /// @brief Tells whether the lease is valid for an epoch at a time. Call it after the answer was read, with a time that
    /// was taken then.
    bool covers(std::string_view service, std::uint64_t epoch, TimePoint now) const;

    /// @brief Tells whether the lease is valid, whatever the epochs.
    bool isValid(TimePoint now) const
    {
        return now < m_expiresAt;
    }

    /// @brief When the lease ends, unless it is renewed.
    TimePoint expiresAt() const
    {
        return m_expiresAt;
    }

private:
    struct Epoch
    {
        std::uint64_t granted = 0;
        std::uint64_t withdrawn = 0;
        std::uint64_t closed = 0; ///< newest epoch without further acknowledgements
    };

    TimePoint m_expiresAt;
    std::map<std::string, Epoch, std::less<>> m_epochs;
};

} // namespace waxwing
