#include <waxwing/state/refusal_reason.h>
#include <waxwing/support/invariant.h>

#include <algorithm>
#include <array>

namespace waxwing
{

namespace
{

using Reason = RefusalReason;

struct Entry
{
    Reason reason;
    std::string_view code;
    unsigned status;
    Duration retryAfter;
    std::string_view sentence; ///< `{}` stands for the subject
};

constexpr std::string_view subjectMark = "{}";

// A new primary is usually published within 1.5 s (the goal for the gap in writes); callers retry a few times within it.
constexpr Duration failoverRetryDelay = 500ms;
// A new owner is assigned at most 1.26 s after its predecessor stopped renewing.
constexpr Duration ownerRetryDelay = 500ms;
constexpr Duration overloadRetryDelay = 50ms;
constexpr Duration noRetryDelay = 0ms;

constexpr auto entries = std::to_array<Entry>({
    {Reason::InvalidRequest, "invalid-request", 400, noRetryDelay, "The request is not valid."},
    {Reason::BodyTooLarge, "body-too-large", 400, noRetryDelay, "The body of the request is too large."},
    {Reason::UnknownService, "unknown-service", 400, noRetryDelay, "No service of this name is configured."},
    {Reason::BadSessionToken, "bad-session-token", 403, noRetryDelay, "The session token is not signed by a known key."},
    {Reason::BadTransaction, "bad-transaction", 409, noRetryDelay, "The transaction does not exist, or does not accept this request."},
    {Reason::TransactionExpired, "transaction-expired", 409, noRetryDelay, "The transaction was idle for too long and has been rolled back."},
    {Reason::TransactionLost, "transaction-lost", 409, noRetryDelay, "The transaction ended with the term of its primary."},
    {Reason::DeadlinePassed, "deadline-passed", 503, noRetryDelay, "The deadline passed before the statement was sent."},
    {Reason::DeadlineUnreachable, "deadline-unreachable", 429, overloadRetryDelay, "The statement is not expected to finish within its deadline."},
    {Reason::QueueFull, "queue-full", 429, overloadRetryDelay, "The queue of {} is full."},
    {Reason::CallerShareExceeded, "caller-share-exceeded", 429, overloadRetryDelay, "The caller's share of the queue of {} is used up."},
    {Reason::NoPrimary, "no-primary", 503, failoverRetryDelay, "No primary of {} is known."},
    {Reason::NoOwner, "no-owner", 503, ownerRetryDelay, "No proxy owns {} at the moment."},
    {Reason::OwnerUnreachable, "owner-unreachable", 503, ownerRetryDelay, "The proxy that owns {} can't be reached."},
    {Reason::LeaseLost, "lease-lost", 503, ownerRetryDelay, "The proxy has no valid lease for {}."},
    {Reason::StaleTerm, "stale-term", 503, overloadRetryDelay, "The proxy knows only an older term of {}."},
    {Reason::SessionWriteLost, "session-write-lost", 409, noRetryDelay,
     "A position that this session has written or read was discarded by a change of primary."},
    {Reason::FreshnessUnavailable, "freshness-unavailable", 503, failoverRetryDelay, "No database of {} is known to be as fresh as required."},
    {Reason::RejectedByEndpoint, "rejected-by-endpoint", 503, overloadRetryDelay, "The database rejected the statement without running it."},
    {Reason::ConnectionFailed, "connection-failed", 503, overloadRetryDelay, "No connection to a database of {} could be opened."},
    {Reason::RingFull, "ring-full", 503, overloadRetryDelay, "The proxy is overloaded."},
    {Reason::TooManyConnections, "too-many-connections", 429, overloadRetryDelay, "The proxy has reached its limit of connections."},
    {Reason::Draining, "draining", 503, overloadRetryDelay, "The proxy is stopping."},
    {Reason::Cancelled, "cancelled", 409, noRetryDelay, "The request was cancelled before the statement was sent."},
    {Reason::KeyExpired, "key-expired", 409, noRetryDelay, "The idempotency key is older than the retention window."},
    {Reason::KeyInProgress, "key-in-progress", 409, overloadRetryDelay, "An earlier request with this idempotency key is still in progress."},
    {Reason::KeyConflict, "key-conflict", 409, noRetryDelay, "The idempotency key was used with a different statement."},
    {Reason::IntentUnavailable, "intent-unavailable", 503, failoverRetryDelay, "The record of statements that must not repeat can't be reached."},
    {Reason::IntentCapacity, "intent-capacity", 503, 1s, "The record of statements that must not repeat is full."},
    {Reason::RetryBudgetExhausted, "retry-budget-exhausted", 429, overloadRetryDelay, "The attempt failed, and the retry budget of {} is used up."},
});

constexpr bool isInEnumOrder()
{
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (entries[i].reason != static_cast<Reason>(i)) {
            return false;
        }
    }
    return entries.size() == static_cast<std::size_t>(Reason::RetryBudgetExhausted) + 1;
}
static_assert(isInEnumOrder());

constexpr auto allReasons = [] {
    std::array<Reason, entries.size()> reasons {};
    for (std::size_t i = 0; i < reasons.size(); ++i) {
        reasons[i] = entries[i].reason;
    }
    return reasons;
}();

const Entry &entryOf(Reason reason)
{
    const auto index = static_cast<std::size_t>(reason);
    if (!WAXWING_INVARIANT(index < entries.size(), "refusal-reason-known")) {
        return entries[static_cast<std::size_t>(Reason::InvalidRequest)];
    }
    return entries[index];
}

} // namespace

std::span<const RefusalReason> refusalReasons()
{
    return allReasons;
}

std::string_view code(RefusalReason reason)
{
    return entryOf(reason).code;
}

std::optional<RefusalReason> refusalReasonFromCode(std::string_view code)
{
    const auto found = std::find_if(entries.begin(), entries.end(), [code](const Entry &entry) { return entry.code == code; });
    if (found == entries.end()) {
        return std::nullopt;
    }
    return found->reason;
}

std::string message(RefusalReason reason, std::string_view subject)
{
    std::string text(entryOf(reason).sentence);
    if (const auto place = text.find(subjectMark); place != std::string::npos) {
        text.replace(place, subjectMark.size(), subject);
    }
    return text;
}

Duration retryAfter(RefusalReason reason)
{
    return entryOf(reason).retryAfter;
}

unsigned httpStatus(RefusalReason reason)
{
    return entryOf(reason).status;
}

} // namespace waxwing
