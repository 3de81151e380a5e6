#pragma once

#include <waxwing/state/outcome.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace waxwing
{

class Random;

/// How an attempt ended without a response that can be passed on.
enum class AttemptFailure {
    ConnectionFailed, ///< no connection; nothing was sent
    RejectedByEndpoint, ///< the endpoint proved that the statement did not run
    OwnerUnreachable, ///< nothing was sent to the owner proxy
    ConnectionLost, ///< after the first byte was written: may have run
    OwnerLost, ///< the owner proxy was lost while it had the statement: may have run
    TornResponse, ///< the response does not match its checksum: ran, but the result is lost
};

/// @brief Code of a failure in the metric `waxwing_retries_total{reason=}`.
std::string_view code(AttemptFailure failure);

/// @brief Tells whether the failure proves that the statement did not run.
bool provesNotRun(AttemptFailure failure);

/// @brief Outcome that the caller gets if the attempt is not repeated.
Outcome outcomeOf(AttemptFailure failure);

/// @brief A failed attempt of a statement.
struct FailedAttempt
{
    AttemptFailure failure = AttemptFailure::ConnectionFailed;
    bool isWrite = false;
    bool inTransaction = false; ///< a transaction is bound to its connection and never retried
    std::size_t attempts = 1; ///< attempts so far
    Duration predictedCost {}; ///< of the next attempt
    TimePoint deadline {};
};

/// @brief Whether and when to try again.
struct RetryDecision
{
    std::optional<Duration> delay {}; ///< wait before the next attempt; nothing for no further attempt
    Outcome outcome; ///< for the caller if there is no further attempt
};

struct RetryOptions
{
    Duration firstDelay = 5ms; ///< upper limit of the first delay; it doubles with each attempt
    Duration maxDelay = 200ms;
    std::size_t maxAttempts = 5;
};

/// @brief Decides whether a failed attempt is repeated. A write that may have run is never repeated.
///
/// A retry is not queued: it starts after its delay if a slot is free, and fails otherwise.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryOptions options = {});

    /// @brief Decides on a failed attempt.
    /// @param takeBudget callable that takes from the retry budgets and returns false if they are used up; called only
    /// when the attempt may otherwise be repeated
    template<class TakeBudget>
    RetryDecision decide(const FailedAttempt &attempt, TakeBudget takeBudget, Random &random, TimePoint now) const
    {
        const auto delay = possibleDelay(attempt, random, now);
        if (!delay) {
            return {.delay = std::nullopt, .outcome = outcomeOf(attempt.failure)};
        }
        if (!takeBudget()) {
            // The reason of the attempt stays if the statement may have run: then it must not be reported as not-run.
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
