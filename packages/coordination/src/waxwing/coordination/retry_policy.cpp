#include <waxwing/coordination/retry_policy.h>
#include <waxwing/support/random.h>

#include <algorithm>

namespace waxwing
{

std::string_view code(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::ConnectionFailed:
        return "connection-failed";
    case AttemptFailure::RejectedByEndpoint:
        return "rejected-by-endpoint";
    case AttemptFailure::OwnerUnreachable:
        return "owner-unreachable";
    case AttemptFailure::ConnectionLost:
        return "connection-lost";
    case AttemptFailure::OwnerLost:
        return "owner-lost";
    case AttemptFailure::TornResponse:
        break;
    }
    return "torn-response";
}

bool provesNotRun(AttemptFailure failure)
{
    return failure == AttemptFailure::ConnectionFailed || failure == AttemptFailure::RejectedByEndpoint || failure == AttemptFailure::OwnerUnreachable;
}

Outcome outcomeOf(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::ConnectionFailed:
        return Outcome::notRun(RefusalReason::ConnectionFailed);
    case AttemptFailure::RejectedByEndpoint:
        return Outcome::notRun(RefusalReason::RejectedByEndpoint);
    case AttemptFailure::OwnerUnreachable:
        return Outcome::notRun(RefusalReason::OwnerUnreachable);
    case AttemptFailure::OwnerLost:
        return Outcome::unknown(UnknownReason::OwnerLost);
    case AttemptFailure::ConnectionLost:
    case AttemptFailure::TornResponse:
        break;
    }
    return Outcome::unknown(UnknownReason::ConnectionLost);
}

RetryPolicy::RetryPolicy(RetryOptions options)
    : m_options(options)
{
}

std::optional<Duration> RetryPolicy::possibleDelay(const FailedAttempt &attempt, Random &random, TimePoint now) const
{
    const bool mayHaveRun = !provesNotRun(attempt.failure);
    if (attempt.inTransaction || (attempt.isWrite && mayHaveRun) || attempt.attempts >= m_options.maxAttempts) {
        return std::nullopt;
    }
    const Duration slack = attempt.deadline - now - attempt.predictedCost;
    if (slack <= Duration::zero()) {
        return std::nullopt;
    }
    const auto doublings = std::min<std::size_t>(attempt.attempts > 0 ? attempt.attempts - 1 : 0, 20);
    const Duration limit = std::min<Duration>(m_options.maxDelay, m_options.firstDelay * (std::int64_t(1) << doublings));
    return random.upTo(std::min(limit, slack));
}

} // namespace waxwing
