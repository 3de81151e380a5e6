#pragma once

#include <waxwing/support/random.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwing
{

struct SessionJob;

/// @brief Tells refused callers when to come back: after the expected end of the cause, spread so that they don't return together,
/// callers of a higher priority and those that were held longer first.
class RetryAdvice
{
public:
    /// Expected end of a cause that concerns this proxy only: the caller's next connection reaches another one.
    static constexpr Duration otherProxy = std::chrono::milliseconds(20);
    /// Bounds of the expected end, before it is spread.
    static constexpr Duration minExpected = otherProxy;
    static constexpr Duration maxExpected = std::chrono::seconds(3);

    /// @param seed differs between proxies, so that their callers don't return together
    explicit RetryAdvice(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// @brief Time after which the caller should retry.
    /// @param expected expected time until the statement can be served
    Duration after(Duration expected, const SessionJob &job, TimePoint now);

    /// @brief Text of a refusal for its caller.
    /// @param mayHaveRun whether a read was sent and not answered, so that only its result is missing
    static std::string text(Duration retryAfter, std::string_view reason, bool mayHaveRun);

private:
    Random m_random;
};

} // namespace waxwing
