#pragma once

#include <waxwing/state/outcome.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace waxwing
{

class Random;

/// How an attempt failed, so that there is no response to pass on.
enum class AttemptFailure {
    ConnectionFailed, ///< no connection could be opened; nothing was sent
    RejectedByEndpoint, ///< the endpoint reported that the statement did not run
    OwnerUnreachable, ///< nothing was sent to the owner proxy
    ConnectionLost, ///< lost after the first byte was sent: the statement may have run
    OwnerLost, ///< the owner proxy was lost after it received the statement, which may have run
    TornResponse, ///< the response does not match its checksum: the statement ran, but its result is lost
};

/// @brief Code of a failure in the metric `waxwing_retries_total{reason=}`.
std::string_view code(AttemptFailure failure);

/// @brief Returns whether the failure proves that the statement did not run.
bool provesNotRun(AttemptFailure failure);

/// @brief Outcome that is reported to the caller if the attempt is not repeated.
Outcome outcomeOf(AttemptFailure failure);

/// @brief A failed attempt of a statement.
struct FailedAttempt
{
    AttemptFailure failure = AttemptFailure::ConnectionFailed;
    bool isWrite = false;
    bool inTransaction = false; ///< never retried, because a transaction is bound to its connection
    std::size_t attempts = 1; ///< attempts so far
    Duration predictedCost {}; ///< predicted cost of the next attempt
    TimePoint deadline {};
};

/// @brief Whether and when to retry.
struct RetryDecision
{
    std::optional<Duration> delay {}; ///< delay before the next attempt; nothing if there is none
    Outcome outcome; ///< reported to the caller if there is no further attempt
};

struct RetryOptions
{
    Duration firstDelay = 5ms; ///< upper limit of the first delay; doubled for each further attempt
    Duration maxDelay = 200ms;
    std::size_t maxAttempts = 5;
};

/// @brief Decides whether to repeat a failed attempt. A write that may have run is never repeated.
///
/// Retries are not queued: a retry starts after its delay if a slot is free, and fails otherwise.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryOptions options = {});

    /// @brief Decides on a failed attempt.
    /// @param takeBudget callable that takes a token from the retry budgets, or returns false if they are exhausted; called
    /// only if the attempt may otherwise be repeated
    template<class TakeBudget>
    RetryDecision decide(const FailedAttempt &attempt, TakeBudget takeBudget, Random &random, TimePoint now) const
    {
        const auto delay = possibleDelay(attempt, random, now);
        if (!delay) {
            return {.delay = std::nullopt, .outcome = outcomeOf(attempt.failure)};
        }
        if (!takeBudget()) {
            // RetryBudgetExhausted means not-run, so it must not replace the outcome of a statement that may have run.
            const bool notRun = provesNotRun(attempt.failure);
            return {.delay = std::nullopt, .outcome = notRun ? Outcome::notRun(RefusalReason::RetryBudgetExhausted) : outcomeOf(attempt.failure)};
        }
        return {.delay = delay, .outcome = outcomeOf(attempt.failure)};
    }

private:
    std::optional<Duration> possibleDelay(const FailedAttempt &attempt, Random &random, TimePoint now) const;

    RetryOptions m_options;
};

} // namespace waxwing
