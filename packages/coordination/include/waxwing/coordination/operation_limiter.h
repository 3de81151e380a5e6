#pragma once

#include <waxwing/coordination/rate_demand.h>
#include <waxwing/coordination/rate_share.h>
#include <waxwing/support/string_hash.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwing
{

/// @brief Token buckets of one proxy, one for each workspace, filled at the rates that control grants. No I/O.
///
/// Answers the load of a workspace that sends many times its limit through many proxies: what is beyond the limit is refused before it
/// takes a place in a queue.
class OperationLimiter
{
public:
    enum class Verdict {
        Admitted, ///< a token was taken
        Wait, ///< a larger share is expected with one of the next grants
        Refused,
    };

    struct Decision
    {
        Verdict verdict = Verdict::Refused;
        Duration retryAfter {}; ///< of a refusal: when a token is expected that no earlier refusal was told of; zero if nothing tells
    };

    /// @brief Records an operation that arrives; call it once for each, before admit().
    void recordArrival(std::string_view workspace, TimePoint now);

    /// @brief Records that a session of a workspace was opened or has ended.
    void recordSession(std::string_view workspace, bool opened);

    /// @brief Decides whether an operation may run.
    /// @param leased whether the lease is valid; the rates end with it
    Decision admit(std::string_view workspace, bool leased, TimePoint now);

    /// @brief Applies the rates of a grant, which are all that this proxy may use.
    /// @param term of the leadership of control
    /// @param number of the grant; an earlier one of the same leadership than the last is ignored
    void apply(std::span<const RateShare> shares, std::uint64_t term, std::uint64_t number, TimePoint now);

    /// @brief Demand and rates in force, for a renewal.
    std::vector<RateDemand> demands(TimePoint now);

    /// @brief Number of the grant whose rates are in force; 0 for none.
    std::uint64_t number() const
    {
        return m_number;
    }

    /// @brief Term of the leadership that granted the rates in force.
    std::uint64_t term() const
    {
        return m_term;
    }

    /// @brief Number of workspaces that are remembered.
    std::size_t size() const
    {
        return m_buckets.size();
    }

private:
    struct Bucket
    {
        double rate = 0; ///< operations a second
        double burst = 0;
        double tokens = 0;
        TimePoint filledAt;
        bool isLimited = false;
        double demand = 0; ///< operations a second, moving average
        TimePoint demandAt;
        std::size_t sessions = 0;
        TimePoint promisedUntil; ///< tokens up to then were promised to refused callers
    };

    Bucket &bucket(std::string_view workspace, TimePoint now);
    static void fill(Bucket &bucket, TimePoint now);
    static void decay(Bucket &bucket, TimePoint now);

    std::unordered_map<std::string, Bucket, StringHash, std::equal_to<>> m_buckets; ///< by workspace
    std::uint64_t m_term = 0;
    std::uint64_t m_number = 0;
};

} // namespace waxwing
