#pragma once

#include <waxwing/support/time.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace waxwing
{

/// Why a statement was refused. Each reason guarantees that the statement did not run.
enum class RefusalReason {
    InvalidRequest,
    BodyTooLarge,
    UnknownService,
    BadSessionToken,
    BadTransaction,
    TransactionExpired,
    TransactionLost,
    DeadlinePassed,
    DeadlineUnreachable,
    QueueFull,
    CallerShareExceeded,
    NoPrimary,
    NoOwner,
    OwnerUnreachable,
    LeaseLost,
    StaleTerm,
    SessionWriteLost,
    FreshnessUnavailable,
    RejectedByEndpoint,
    ConnectionFailed,
    RingFull,
    TooManyConnections,
    Draining,
    Cancelled,
    KeyExpired,
    KeyInProgress,
    KeyConflict,
    IntentUnavailable,
    IntentCapacity,
    RetryBudgetExhausted,
};

/// @brief All reasons, in the order of the enum.
std::span<const RefusalReason> refusalReasons();

/// @brief Code of a reason in responses and metric labels, e.g. `queue-full`.
std::string_view code(RefusalReason reason);

/// @brief Finds the reason with a code.
/// @return nothing if no reason has this code
std::optional<RefusalReason> refusalReasonFromCode(std::string_view code);

/// @brief Sentence for the caller.
/// @param subject what the sentence is about, e.g. `group orders`
std::string message(RefusalReason reason, std::string_view subject = "the group");

/// @brief Default delay before a retry; zero if a retry of the same request can't succeed.
Duration retryAfter(RefusalReason reason);

/// @brief HTTP status of the response.
unsigned httpStatus(RefusalReason reason);

} // namespace waxwing
