#pragma once

#include <waxwing/support/time.h>

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace waxwing
{

struct OutlierOptions
{
    std::size_t consecutiveFailures = 5;
    double latencyFactor = 5.0; ///< times the median of the group
    std::size_t minSamples = 8; ///< costs of an endpoint before its latency is judged
    Duration ejection = 5s; ///< multiplied by the number of ejections in a row
    Duration maxEjection = 60s;
    Duration forgiveness = 60s; ///< time without an ejection after which the count of ejections starts anew
};

/// @brief Ejects endpoints of a group that fail or are slow, at most one third of the group at a time.
///
/// Ejection keeps reads away. Writes still go to an ejected primary, since no other database may run them.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierOptions options = {});

    /// @brief Sets the members of the group; results of others are dropped. In a group that shrinks, ejections beyond a
    /// third end.
    void setMembers(std::span<const std::string> members, TimePoint now);

    /// @brief Takes over a statement that finished.
    /// @param relativeCost cost relative to its prediction, which makes statements of different shapes comparable
    void onSuccess(std::string_view endpoint, double relativeCost, TimePoint now);

    /// @brief Takes over a failed connection, a timeout or a torn response. Errors reported by the database are no failures.
    void onFailure(std::string_view endpoint, TimePoint now);

    /// @brief Tells whether an endpoint is ejected.
    bool isEjected(std::string_view endpoint, TimePoint now) const;

    /// @brief Number of endpoints that are ejected.
    std::size_t ejected(TimePoint now) const;

    /// @brief When an ejected endpoint returns; nothing if it is not ejected.
    std::optional<TimePoint> returnsAt(std::string_view endpoint, TimePoint now) const;

private:
    static constexpr std::size_t samplesKept = 16;

    struct Endpoint
    {
        std::size_t failures = 0;
        std::size_t ejections = 0;
        TimePoint ejectedUntil = TimePoint::min();
        std::array<float, samplesKept> costs {};
        std::size_t samples = 0;
    };

    static double median(const Endpoint &endpoint);
    bool isSlow(const Endpoint &endpoint) const;
    void eject(Endpoint &endpoint, TimePoint now);

    OutlierOptions m_options;
    std::map<std::string, Endpoint, std::less<>> m_endpoints;
};

} // namespace waxwing
