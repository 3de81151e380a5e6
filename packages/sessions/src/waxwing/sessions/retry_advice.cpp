#include <waxwing/sessions/retry_advice.h>
#include <waxwing/sessions/session_job.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// Callers return within this part of the expected time after its end.
constexpr int spreadPart = 2;
// Priorities beyond the last of these share its part of the spread.
constexpr int priorities = 4;

} // namespace

Duration RetryAdvice::after(Duration expected, const SessionJob &job, TimePoint now)
{
    const auto bounded = std::clamp(expected, minExpected, maxExpected);
    const auto part = bounded / spreadPart / priorities;
    const auto time = std::max(job.deadline - job.receivedAt, Duration(1));
    const auto held = std::clamp(std::chrono::duration<double>(now - job.receivedAt) / std::chrono::duration<double>(time), 0.0, 1.0);
    // Callers that were held for the whole time are still spread over half of their part.
    const auto spread = std::chrono::duration_cast<Duration>(part * (1.0 - held / 2));
    return bounded + part * std::clamp(job.route.priority, 0, priorities - 1) + m_random.upTo(spread);
}

std::string RetryAdvice::text(Duration retryAfter, std::string_view reason, bool mayHaveRun)
{
    const std::string promise = mayHaveRun ? "no answer, nothing is kept" : "not run";
    return promise + ", retry after " + std::to_string(toMilliseconds(retryAfter).count()) + " ms: " + std::string(reason);
}

} // namespace waxwing
