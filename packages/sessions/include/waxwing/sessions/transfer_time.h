#pragma once

#include <waxwing/support/time.h>

namespace waxwing
{

/// @brief Estimates how long a message to another proxy and its answer are under way, from the measured times of earlier messages.
/// Works like the retransmission timer of TCP (RFC 6298).
class TransferTime
{
public:
    /// @param base time that is assumed before the first measurement
    explicit TransferTime(Duration base = {})
        : m_mean(base)
    {
    }

    /// @brief Adds a measurement.
    /// @param time time between sending a message and receiving its answer, less the time that the receiver worked on it
    void add(Duration time);

    /// @brief Time that is rarely exceeded: the mean, plus four times the mean deviation or at least the time for which a busy process
    /// leaves a message unread.
    Duration upperBound() const;

private:
    Duration m_mean;
    Duration m_deviation {};
    bool m_measured = false;
};

} // namespace waxwing
