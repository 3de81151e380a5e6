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

/// @brief Endpoint as the control leader knows it.
struct PromotionMember
{
    std::string database;
    std::string address;
    std::string failureDomain;
    bool leaving = false; ///< it announced that it will stop
};

/// @brief Answer of an endpoint to a status query.
struct MemberStatus
{
    std::uint64_t term = 0;
    std::uint64_t termStart = 0;
    std::uint64_t position = 0;
    bool primary = false;
};

/// @brief What a promotion sees each time it advances.
struct PromotionInput
{
    const wire::GroupRecord *record = nullptr; ///< replicated record of the group
    std::vector<PromotionMember> members; ///< endpoints that announced themselves lately
    std::size_t groupSize = 0; ///< databases of the group, present or not; a majority is counted of these
    std::function<bool(const wire::Holder &holder)> mayHold; ///< whether the lease of a holder may still be valid
};

/// @brief Work that a promotion asks for; the results come back through its input functions.
namespace promotion_action
{

/// Propose the term; termCommitted() reports the result.
struct CommitTerm
{
    std::uint64_t expectedTerm = 0;
    std::uint64_t term = 0;
    std::string target;
};

/// Ask a proxy to acknowledge nothing for this or a lower term; withdrawn() reports the confirmation.
struct Withdraw
{
    std::string proxy;
    std::uint64_t term = 0;
};

/// Ask an endpoint for its status; status() reports the answer.
struct QueryStatus
{
    PromotionMember member;
    std::uint64_t round = 0;
};

/// Make an endpoint the primary; promoted() reports the answer.
struct CallPromote
{
    PromotionMember member;
    std::uint64_t term = 0;
};

/// Make an endpoint follow the primary; the answer is not needed.
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

/// Ask the owner to hold writes, or with zero to resume them; writesHeld() reports the answer.
struct HoldWrites
{
    std::string proxy;
    std::uint64_t term = 0;
    Duration hold {};
};

} // namespace promotion_action

using PromotionAction = std::variant<promotion_action::CommitTerm, promotion_action::Withdraw, promotion_action::QueryStatus, promotion_action::CallPromote,
                                     promotion_action::CallFollow, promotion_action::CommitPrimary, promotion_action::HoldWrites>;

/// @brief Change of the primary of one group, step by step; pure, one thread.
///
/// The order of the steps carries the guarantees: a term is committed before its predecessor is withdrawn, every
/// proxy that could acknowledge for an earlier term has confirmed the withdrawal or lost its lease before positions
/// are compared, and the primary is published last. A new leader resumes with a higher term, because the earlier
/// leader may have promoted a member with the present one.
class Promotion
{
public:
    /// @brief Times of a promotion.
    struct Options
    {
        Duration withdrawInterval = 100ms; ///< the request to withdraw is repeated until it is confirmed
        Duration queryPatience = 150ms; ///< wait for further members once a majority has answered
        Duration queryRound = 500ms; ///< a round without a majority is repeated after this time
        Duration promoteTimeout = 700ms; ///< longer than the timeout of the call itself
        Duration backOffLow = 100ms; ///< before the first restart, doubled for each further one
        Duration backOffHigh = 2s;
        Duration hold = 2s; ///< longest time for which a switchover holds writes
        Duration targetPoll = 10ms; ///< interval at which a switchover asks for the position of its target
        unsigned driftPercent = 5;
    };

    enum class Step {
        Hold, ///< switchover: the owner drains its writes
        AwaitTarget, ///< switchover: the target applies the last write
        CommitTerm,
        Withdraw,
        Query,
        Promote,
        CommitPrimary,
        BackOff,
        Done,
        Aborted, ///< a switchover that changed nothing
    };

    /// @brief Starts after a failure, or resumes a promotion that another leader began.
    static Promotion afterFailure(const Options &options, const wire::GroupRecord &record, std::string failedDomain, TimePoint now);

    /// @brief Starts a planned switchover.
    /// @param target database that shall become primary
    static Promotion switchover(const Options &options, std::string target, TimePoint now);

    /// @brief Continues with what is known.
    /// @return work to be done now
    std::vector<PromotionAction> advance(const PromotionInput &facts, TimePoint now);

    /// @brief Result of CommitTerm.
    /// @param accepted false if another term was committed meanwhile or the log refused; the promotion tries again
    void termCommitted(bool accepted, TimePoint now);

    /// @brief A proxy confirmed a withdrawal.
    void withdrawn(const std::string &proxy, std::uint64_t incarnation, std::uint64_t term);

    /// @brief Answer to QueryStatus; nothing if the member did not answer.
    void status(const std::string &database, std::uint64_t round, const std::optional<MemberStatus> &answer);

    /// @brief Answer to CallPromote.
    /// @param start position at which the term starts; nothing if the member refused or did not answer
    /// @param seenTerm highest term that the member reported, 0 without an answer
    void promoted(const std::string &database, std::uint64_t term, const std::optional<std::uint64_t> &start, std::uint64_t seenTerm, TimePoint now);

    /// @brief Result of CommitPrimary.
    void primaryCommitted(bool accepted, TimePoint now);

    /// @brief Answer to HoldWrites.
    void writesHeld(const std::string &proxy, std::uint64_t term, std::uint64_t position, bool drained);

    /// @brief Present step.
    Step step() const
    {
        return m_step;
    }

    /// @brief Tells whether a round of queries ended without a majority.
    bool lacksMajority() const
    {
        return m_lacksMajority;
    }

    /// @brief Tells whether this is a planned switchover.
    bool isPlanned() const
    {
        return m_planned;
    }

    /// @brief Tells whether the withdrawal has been under way for at least this long.
    bool isWithdrawing(Duration since, TimePoint now) const
    {
        return m_step == Step::Withdraw && now - m_entered >= since;
    }

    /// @brief Tells whether a proxy has confirmed the present withdrawal.
    bool hasConfirmed(const std::string &proxy, std::uint64_t incarnation) const
    {
        return m_confirmed.contains({proxy, incarnation});
    }

    /// @brief Database that became primary; valid in the step Done.
    const std::string &primary() const
    {
        return m_candidate;
    }

    /// @brief Why a switchover was aborted; valid in the step Aborted.
    const std::string &abortReason() const
    {
        return m_abortReason;
    }

private:
    explicit Promotion(const Options &options);

    void enter(Step step, TimePoint now);
    void backOff(TimePoint now);
    void abort(std::string reason, const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions);
    bool advanceOnce(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions);
    bool advanceHold(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions);
    bool advanceTarget(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions);
    bool advanceTerm(const PromotionInput &facts, std::vector<PromotionAction> &actions);
    bool advanceWithdraw(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions);
    bool advanceQuery(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions);
    bool advancePromote(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions);
    bool choose(const PromotionInput &facts, TimePoint now);
    void startRound(const PromotionInput &facts, TimePoint now, std::vector<PromotionAction> &actions);

    Options m_options;
    Step m_step = Step::CommitTerm;
    TimePoint m_entered;
    TimePoint m_lastSent;
    bool m_sent = false; ///< the request of this step is under way
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
    bool m_targetCaughtUp = false; ///< the target has every write that could be acknowledged while writes are held
    std::uint64_t m_highestTerm = 0; ///< seen at any member
    std::uint64_t m_round = 0;
    std::map<std::string, std::optional<MemberStatus>> m_answers; ///< of the present round
    std::set<std::string> m_asked;
    std::set<std::string> m_excluded; ///< candidates that failed during this promotion
    std::set<std::pair<std::string, std::uint64_t>> m_confirmed; ///< proxy and incarnation
    std::string m_candidate;
    std::uint64_t m_start = 0;
    std::uint64_t m_withdrawTerm = 0;
    std::uint64_t m_promoteTerm = 0;
};

/// @brief Term of the data of a member: the latest term whose start it has reached. A member that was told to follow a
/// term but has not received the writes up to its start holds data of an earlier term.
std::uint64_t dataTerm(const wire::GroupRecord &record, const MemberStatus &status);

} // namespace waxwing
