#pragma once

#include <waxwing/support/time.h>
#include <waxwing/wire/machine.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace waxwing
{

/// @brief An endpoint of the group, as announced to the control leader.
struct PromotionMember
{
    std::string database;
    std::string address;
    std::string failureDomain;
    bool leaving = false; ///< it has announced that it will stop
};

/// @brief Response of an endpoint to a status query.
struct MemberStatus
{
    std::uint64_t term = 0;
    std::uint64_t termStart = 0;
    std::uint64_t position = 0;
    bool primary = false;
};

/// @brief Current state of the group, passed to each call of Promotion::advance().
struct PromotionInput
{
    const wire::GroupRecord *record = nullptr; ///< replicated record of the group
    std::vector<PromotionMember> members; ///< endpoints whose announcements have not expired
    std::size_t groupSize = 0; ///< configured databases, reachable or not; a majority is more than half of them
    std::function<bool(const wire::Holder &holder)> mayHold; ///< returns whether the lease of a holder may still be valid
};

/// @brief Actions that the caller of Promotion::advance() carries out; it reports the results through functions of Promotion.
namespace promotion_action
{

/// Propose the term; termCommitted() reports the result.
struct CommitTerm
{
    std::uint64_t expectedTerm = 0;
    std::uint64_t term = 0;
    std::string target;
};

/// Ask a proxy to stop acknowledging statements of this and all lower terms; withdrawn() reports the confirmation.
struct Withdraw
{
    std::string proxy;
    std::uint64_t term = 0;
};

/// Query the status of an endpoint; status() reports the response.
struct QueryStatus
{
    PromotionMember member;
    std::uint64_t round = 0;
};

/// Make an endpoint the primary; promoted() reports the response.
struct CallPromote
{
    PromotionMember member;
    std::uint64_t term = 0;
};

/// Make an endpoint follow the primary; the response is not reported.
struct CallFollow
{
    PromotionMember member;
    std::uint64_t term = 0;
    std::string primaryAddress;
};

/// Propose the primary; primaryCommitted() reports the result.
struct CommitPrimary
{
    std::uint64_t term = 0;
    std::string primary;
    std::uint64_t termStart = 0;
};

/// Ask the owner to hold writes for a duration, or to resume them if it is zero; writesHeld() reports the response.
struct HoldWrites
{
    std::string proxy;
    std::uint64_t term = 0;
    Duration hold {};
};

} // namespace promotion_action

using PromotionAction = std::variant<promotion_action::CommitTerm, promotion_action::Withdraw, promotion_action::QueryStatus, promotion_action::CallPromote,
                                     promotion_action::CallFollow, promotion_action::CommitPrimary, promotion_action::HoldWrites>;

/// @brief State machine that changes the primary of one group. It does no I/O and is not thread-safe.
///
/// No acknowledged write is lost, because of the order of the steps: a new term is committed before the previous one is
/// withdrawn; positions are compared only after every proxy that could acknowledge writes of an earlier term has
/// confirmed the withdrawal or lost its lease; the primary is published last. A new control leader resumes with a
/// higher term, because the previous leader may already have promoted a member with the current one.
class Promotion
{
public:
    /// @brief Timeouts and intervals of a promotion.
    struct Options
    {
        Duration withdrawInterval = 100ms; ///< interval at which the request to withdraw is repeated until it is confirmed
        Duration queryGracePeriod = 150ms; ///< how long to wait for the other members once a majority has responded
        Duration queryTimeout = 500ms; ///< time after which a round of queries without a majority is repeated
        Duration promoteTimeout = 700ms; ///< longer than the timeout of the call to the endpoint
        Duration minBackOff = 100ms; ///< delay before the first restart, doubled for each further one
        Duration maxBackOff = 2s; ///< upper limit of the delay
        Duration holdTimeout = 2s; ///< maximum time for which a switchover holds writes
        Duration targetPollInterval = 10ms; ///< interval at which a switchover queries the position of its target
        unsigned driftPercent = 5; ///< largest difference between the rates of two clocks
    };

    enum class Step {
        Hold, ///< switchover: wait until the owner holds new writes and has drained those in progress
        AwaitTarget, ///< switchover: wait until the target has applied the last write
        CommitTerm,
        Withdraw,
        Query,
        Promote,
        CommitPrimary,
        BackOff,
        Done,
        Aborted, ///< switchover that ended without a change
    };

    /// @brief Creates a promotion after the failure of a primary, or resumes one that another control leader began.
    /// @param failedDomain failure domain of the failed primary; members in other domains are preferred
    static Promotion afterFailure(const Options &options, const wire::GroupRecord &record, std::string failedDomain, TimePoint now);

    /// @brief Creates a planned switchover.
    /// @param target database to become the primary
    static Promotion switchover(const Options &options, std::string target, TimePoint now);

    /// @brief Advances through the steps as far as the current state allows.
    /// @return actions to carry out now
    std::vector<PromotionAction> advance(const PromotionInput &input, TimePoint now);

    /// @brief Result of CommitTerm.
    /// @param accepted false if another term has been committed meanwhile or the log refused the entry; the promotion then retries
    void termCommitted(bool accepted, TimePoint now);

    /// @brief Records that a proxy confirmed a withdrawal.
    void withdrawn(const std::string &proxy, std::uint64_t incarnation, std::uint64_t term);

    /// @brief Response to QueryStatus.
    /// @param answer status, or nothing if the member did not respond
    void status(const std::string &database, std::uint64_t round, const std::optional<MemberStatus> &answer);

    /// @brief Response to CallPromote.
    /// @param start position at which the term starts; nothing if the member refused or did not respond
    /// @param highestTerm highest term that the member reported; 0 without a response
    void promoted(const std::string &database, std::uint64_t term, const std::optional<std::uint64_t> &start, std::uint64_t highestTerm, TimePoint now);

    /// @brief Result of CommitPrimary.
    void primaryCommitted(bool accepted, TimePoint now);

    /// @brief Response to HoldWrites.
    /// @param position position that the target must reach before it can take over
    /// @param drained whether no write is in progress any more
    void writesHeld(const std::string &proxy, std::uint64_t term, std::uint64_t position, bool drained);

    /// @brief Current step.
    Step step() const
    {
        return m_step;
    }

    /// @brief Returns whether the last round of queries ended without a majority.
    bool lacksMajority() const
    {
        return m_lacksMajority;
    }

    /// @brief Returns whether this is a planned switchover.
    bool isPlanned() const
    {
        return m_planned;
    }

    /// @brief Returns whether the withdrawal has been in progress for at least @p duration.
    bool isWithdrawing(Duration duration, TimePoint now) const
    {
        return m_step == Step::Withdraw && now - m_stepStart >= duration;
    }

    /// @brief Returns whether a proxy has confirmed the current withdrawal.
    bool hasConfirmed(const std::string &proxy, std::uint64_t incarnation) const
    {
        return m_confirmedWithdrawals.contains({proxy, incarnation});
    }

    /// @brief Database that became the primary; valid in the step Done.
    const std::string &primary() const
    {
        return m_candidate;
    }

    /// @brief Reason why a switchover was aborted; valid in the step Aborted.
    const std::string &abortReason() const
    {
        return m_abortReason;
    }

private:
    explicit Promotion(const Options &options);

    void enter(Step step, TimePoint now);
    void backOff(TimePoint now);
    void abort(std::string reason, const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions);
    bool advanceOnce(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions);
    bool advanceHold(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions);
    bool advanceAwaitTarget(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions);
    bool advanceCommitTerm(const PromotionInput &input, std::vector<PromotionAction> &actions);
    bool advanceWithdraw(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions);
    bool advanceQuery(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions);
    bool advancePromote(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions);
    bool chooseCandidate(const PromotionInput &input, TimePoint now);
    void startRound(const PromotionInput &input, TimePoint now, std::vector<PromotionAction> &actions);

    Options m_options;
    Step m_step = Step::CommitTerm;
    TimePoint m_stepStart;
    TimePoint m_lastSent;
    bool m_requestSent = false; ///< the request of the current step has been sent
    bool m_planned = false;
    bool m_lacksMajority = false;
    unsigned m_restarts = 0;
    std::string m_failedDomain;
    std::string m_failedPrimary;
    std::string m_target;
    std::string m_abortReason;
    std::string m_holdingProxy;
    TimePoint m_holdStart;
    std::optional<std::uint64_t> m_heldPosition;
    bool m_targetCaughtUp = false; ///< the target has every write that can be acknowledged while writes are held
    std::uint64_t m_highestTerm = 0; ///< highest term reported by any member
    std::uint64_t m_round = 0;
    std::map<std::string, std::optional<MemberStatus>> m_answers; ///< responses in the current round, by database
    std::set<std::string> m_queried; ///< databases queried in the current round
    std::set<std::string> m_failedCandidates; ///< candidates that could not be promoted; preferred least among equals
    std::set<std::pair<std::string, std::uint64_t>> m_confirmedWithdrawals; ///< proxy and incarnation
    std::string m_candidate;
    std::uint64_t m_termStart = 0;
    std::uint64_t m_withdrawTerm = 0;
    std::uint64_t m_promoteTerm = 0;
};

/// @brief Term of the data of a member: the latest term whose start position it has reached.
///
/// A member that follows a term but has not received the writes up to the start of that term holds data of an earlier
/// term.
/// @return the term; 0 if it has reached the start of no known term, or the reported term if the record has no history
std::uint64_t dataTerm(const wire::GroupRecord &record, const MemberStatus &status);

} // namespace waxwing
