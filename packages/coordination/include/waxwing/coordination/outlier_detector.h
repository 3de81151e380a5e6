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
    double latencyFactor = 5.0; ///< multiple of the median of the other endpoints above which an endpoint is slow
    std::size_t minSamples = 8; ///< samples required before the latency of an endpoint is compared
    Duration ejection = 5s; ///< duration of an ejection, multiplied by the number of consecutive ejections
    Duration maxEjection = 60s;
    Duration ejectionResetInterval = 60s; ///< time without an ejection after which the number of consecutive ejections is reset
};

/// @brief Ejects endpoints of a group that fail or respond slowly, at most one third of the group at a time.
///
/// An ejected endpoint receives no reads. An ejected primary still receives writes, since no other database may run them.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierOptions options = {});

    /// @brief Sets the members of the group and drops the results of all others. If ejections then exceed a third of the
    /// group, the surplus ones end.
    void setMembers(std::span<const std::string> members, TimePoint now);

    /// @brief Records a statement that finished.
    /// @param relativeCost cost divided by its prediction, which makes statements of different shapes comparable
    void onSuccess(std::string_view endpoint, double relativeCost, TimePoint now);

    /// @brief Records a failed connection, a timeout or a torn response. Errors reported by the database do not count.
    void onFailure(std::string_view endpoint, TimePoint now);

    /// @brief Returns whether an endpoint is ejected.
    bool isEjected(std::string_view endpoint, TimePoint now) const;

    /// @brief Number of ejected endpoints.
    std::size_t ejected(TimePoint now) const;

    /// @brief Time at which the ejection of an endpoint ends; nothing if it is not ejected.
    std::optional<TimePoint> returnsAt(std::string_view endpoint, TimePoint now) const;

private:
    static constexpr std::size_t maxSamples = 16;

    struct Endpoint
    {
        std::size_t failures = 0;
        std::size_t ejections = 0;
        TimePoint ejectedUntil = TimePoint::min();
        std::array<float, maxSamples> costs {};
        std::size_t samples = 0;
    };

    static double median(const Endpoint &endpoint);
    bool isSlow(const Endpoint &endpoint) const;
    void eject(Endpoint &endpoint, TimePoint now);

    OutlierOptions m_options;
    std::map<std::string, Endpoint, std::less<>> m_endpoints;
};

} // namespace waxwing
