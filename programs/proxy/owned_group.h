#pragma once

#include "group_context.h"
#include "group_members.h"
#include "group_queue.h"
#include "service_view.h"
#include "statement_attempt.h"
#include "statement_job.h"
#include "statement_run.h"
#include "transaction_table.h"

#include <waxwing/coordination/confirmation_time.h>
#include <waxwing/coordination/majority_wait.h>
#include <waxwing/coordination/retry_policy.h>
#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing
{

struct HttpExchange;

/// @brief A database group that this proxy owns: queues, admits, routes and executes its statements and decides their outcomes.
class OwnedGroup
{
public:
    OwnedGroup(GroupContext &context, std::string name);
    ~OwnedGroup();
    OwnedGroup(const OwnedGroup &) = delete;
    OwnedGroup &operator=(const OwnedGroup &) = delete;

    /// @brief Takes over the directory and configuration of the group.
    void configure(const wire::GroupDirectory &directory, const ServiceView &service, TimePoint now);

    /// @brief Takes a request; its responder is called exactly once.
    void submit(StatementJob &&job);

    /// @brief Refuses a request with `cancelled`, if it has not been sent to an endpoint.
    /// @return false if it is not here or is running
    bool cancel(const std::string &requestId);

    /// @brief Checks deadlines, retries and probes; call every 5 ms.
    void tick(TimePoint now);

    /// @brief Takes over whether this proxy owns the group under a valid lease.
    void setOwning(bool isOwning, TimePoint now);

    /// @brief Gives the group to another owner: refuses what has not started, with `draining`, and finishes the rest.
    void handOver();

    /// @brief Ends a term: no write of it is acknowledged any more, its transactions are lost.
    void endTerm(std::uint64_t term);

    /// @brief Holds new writes of a term for a planned switchover.
    /// @param onDrained called with the position of the last write once no write runs
    void holdWrites(std::uint64_t term, Duration limit, std::function<void(std::uint64_t position)> onDrained);

    /// @brief Excludes a database at once that announced that it is leaving.
    void setLeaving(std::string_view database, bool isLeaving, TimePoint now);

    /// @brief Tells whether nothing is queued, running or in a transaction.
    bool isIdle() const
    {
        return m_runs.empty() && m_attempts.empty() && m_transactions.size() == 0;
    }

    /// @brief Tells whether a transaction is open here.
    bool hasTransaction(const std::string &id)
    {
        return m_transactions.find(id) != nullptr;
    }

    /// @brief Number of requests not answered yet.
    std::size_t openRequests() const
    {
        return m_openRequests;
    }

    /// @brief Number of statements that wait for a slot.
    std::size_t queueLength() const
    {
        return m_queue.size();
    }

    GroupMembers &members()
    {
        return m_members;
    }

    /// @brief Whether this proxy owns the group under a valid lease.
    bool isOwning() const
    {
        return m_isOwning;
    }

private:
    struct Hold
    {
        std::uint64_t term = 0;
        TimePoint until;
        std::function<void(std::uint64_t position)> onDrained;
    };
    struct PendingWrites
    {
        std::size_t count = 0;
        std::vector<std::uint64_t> waiting; // reads of the same session
    };

    // Intake (owned_group.cpp)
    std::optional<RefusalReason> prepare(StatementRun &run, TimePoint now);
    std::optional<RefusalReason> prepareStep(StatementRun &run);
    void classify(StatementRun &run);
    void beginIntent(StatementRun &run, TimePoint now);
    void onIntent(std::uint64_t id, wire::IntentState state, const wire::StatementAnswer &answer);
    void admit(StatementRun &run, TimePoint now);
    bool joinSession(StatementRun &run);
    void leaveSession(const StatementRun &run);
    RefusalReason waitReason(const StatementRun &run, TimePoint now);
    void checkDeadlines(TimePoint now);

    // Scheduling and attempts (owned_group_schedule.cpp)
    bool isWritable(TimePoint now) const;
    bool isHeld(TimePoint now) const;
    void schedule(TimePoint now);
    EligibleEndpoints placesOf(StatementRun &run, TimePoint now);
    void start(StatementRun &run, std::size_t member, TimePoint now);
    void startStep(StatementRun &run, Transaction &transaction, TimePoint now);
    void send(StatementRun &run, StatementAttempt &&attempt, TimePoint now);
    void onExchange(std::uint64_t attempt, HttpExchange &&exchange);
    void endAttempt(StatementAttempt &attempt, bool isReusable, TimePoint now);
    void retryDue(TimePoint now);
    void hedgeDue(TimePoint now);
    void reclassifyDue(TimePoint now);
    std::optional<std::size_t> freePlace(StatementRun &run, TimePoint now);

    // Outcomes (owned_group_outcome.cpp)
    void onRan(StatementRun &run, const StatementAttempt &attempt, EndpointAnswer &&answer, TimePoint now);
    void onRanRead(StatementRun &run, const StatementAttempt &attempt, EndpointAnswer &&answer, TimePoint now);
    bool onRanStep(StatementRun &run, const StatementAttempt &attempt, const EndpointAnswer &answer, TimePoint now);
    void onRejected(StatementRun &run, const StatementAttempt &attempt, const EndpointAnswer &answer, TimePoint now);
    void onFailed(StatementRun &run, const StatementAttempt &attempt, AttemptFailure failure, TimePoint now);
    void onLate(StatementRun &run, const StatementAttempt &attempt, const EndpointAnswer &answer, TimePoint now);
    void confirmMajority(TimePoint now);
    void finish(StatementRun &run, const EndpointAnswer &answer, const std::string &servedBy);
    void refuse(StatementRun &run, RefusalReason reason, std::string_view detail = {});
    void leaveUnknown(StatementRun &run, UnknownReason reason);
    void answer(StatementRun &run, wire::StatementAnswer &&answer);
    void recordAnswer(StatementRun &run, const wire::StatementAnswer &answer);
    void releaseIntent(StatementRun &run);
    wire::StatementAnswer makeDone(StatementRun &run, const EndpointAnswer &answer, const std::string &servedBy);
    void eraseIfSettled(std::uint64_t id);

    // Transactions (owned_group_transactions.cpp)
    void openTransaction(StatementRun &run, StatementAttempt &attempt, TimePoint now);
    bool mayBegin();
    void breakTransaction(const std::string &id, RefusalReason reason);
    void endTransactions(std::uint64_t term);
    void expireTransactions(TimePoint now);

    void checkHold(TimePoint now);
    WorkClassifier &classifier(const std::string &service);
    bool takeBudget(const StatementRun &run, GroupMember *member);
    StatementRun *find(std::uint64_t id);
    void explain(const StatementRun &run, const char *step, std::string_view detail = {});
    std::string subject() const;

    GroupContext &m_context;
    std::string m_name;
    ServiceView m_service;
    bool m_isOwning = false;
    bool m_isHandingOver = false;
    bool m_isScheduling = false;
    GroupMembers m_members;
    GroupQueue m_queue;
    MajorityWait m_majority;
    ConfirmationTime m_confirmations;
    RetryPolicy m_retries;
    TransactionTable m_transactions;
    std::optional<Hold> m_hold;
    std::map<std::string, WorkClassifier, std::less<>> m_classifiers; // by service
    std::map<std::string, TokenBudget, std::less<>> m_budgets; // by service
    std::unordered_map<std::string, PendingWrites> m_pendingWrites; // by session token
    std::uint64_t m_nextId = 0;
    std::size_t m_openRequests = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<StatementRun>> m_runs;
    std::unordered_map<std::uint64_t, StatementAttempt> m_attempts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // Shared with the handlers of intents, which may outlive the group.
};

} // namespace waxwing
