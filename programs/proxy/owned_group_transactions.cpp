#include "owned_group.h"
#include "statement_answer.h"

#include <waxwing/coordination/term_lease.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>

#include <algorithm>

namespace waxwing
{

void OwnedGroup::openTransaction(StatementRun &run, StatementAttempt &attempt, TimePoint now)
{
    Transaction transaction {.id = makeTransactionId(m_context.proxy, m_name),
                             .service = run.service,
                             .caller = run.request().caller(),
                             .member = attempt.member,
                             .connection = attempt.connection,
                             .term = attempt.term,
                             .lastUsed = now,
                             .token = run.token};
    attempt.isPinned = true;
    attempt.transaction = transaction.id;
    run.openedTransaction = transaction.id;
    ++attempt.member->pinned;
    m_transactions.add(std::move(transaction));
}

bool OwnedGroup::mayBegin()
{
    auto *primary = m_members.primary();
    if (primary == nullptr) {
        return false;
    }
    // Transactions leave as many connections as there are slots, so that statements of their own can still run.
    const auto limit = ownerConnections(primary->pool.counts().limit);
    const auto slots = static_cast<std::size_t>(primary->announcement.slots());
    return primary->pinned < (limit > slots ? limit - slots : 1);
}

bool OwnedGroup::onRanStep(StatementRun &run, const StatementAttempt &attempt, const EndpointAnswer &response, TimePoint now)
{
    const auto action = run.request().action();
    const bool isAllowed = m_context.lease.acknowledgement(m_name, response.term, now) == Acknowledgement::Allowed;
    if (action == wire::BEGIN) {
        if (isAllowed) {
            finish(run, response, attempt.member->name());
        } else {
            breakTransaction(run.openedTransaction, RefusalReason::TransactionLost);
            refuse(run, RefusalReason::LeaseLost);
        }
        return true;
    }
    const auto &id = run.request().transaction();
    if (action == wire::RUN) {
        auto *transaction = m_transactions.find(id);
        if (!isAllowed || transaction == nullptr) {
            leaveUnknown(run, UnknownReason::LeaseLostRunning);
            return true;
        }
        transaction->lastUsed = now;
        run.token.confirm(run.service, {.term = response.term, .position = response.position});
        transaction->token = run.token;
        finish(run, response, attempt.member->name());
        return true;
    }
    if (auto ended = m_transactions.end(id, RefusalReason::BadTransaction)) {
        --ended->member->pinned;
        ended->member->pool.release(ended->connection, response.outcome == EndpointAnswer::Outcome::Done);
    }
    if (action == wire::ROLLBACK) {
        finish(run, response, attempt.member->name());
        return true;
    }
    return false;
}

void OwnedGroup::breakTransaction(const std::string &id, RefusalReason reason)
{
    const auto ended = m_transactions.end(id, reason);
    if (!ended) {
        return;
    }
    Metrics::instance().counter("waxwing_transactions_broken_total", "reason", code(reason)).add();
    // A step that runs gives the connection back when it ends, which closing brings about.
    const bool isRunning = ended->connection->isBusy();
    ended->connection->close();
    if (!isRunning) {
        --ended->member->pinned;
        ended->member->pool.release(ended->connection, false);
    }
    std::vector<std::uint64_t> waiting;
    for (const auto &[runId, run] : m_runs) {
        if (run->phase == StatementRun::Phase::Queued && run->request().transaction() == id) {
            waiting.push_back(runId);
        }
    }
    for (const auto runId : waiting) {
        if (auto *run = find(runId)) {
            refuse(*run, reason);
        }
    }
}

void OwnedGroup::endTransactions(std::uint64_t term)
{
    for (const auto &id : m_transactions.select([term](const Transaction &transaction) { return transaction.term <= term; })) {
        breakTransaction(id, RefusalReason::TransactionLost);
    }
}

void OwnedGroup::expireTransactions(TimePoint now)
{
    if (m_transactions.size() == 0) {
        return;
    }
    const auto idle = m_service.limits.transactionIdle;
    for (const auto &id : m_transactions.select([&](const Transaction &transaction) { return !transaction.isBusy && now - transaction.lastUsed > idle; })) {
        breakTransaction(id, RefusalReason::TransactionExpired);
    }
}

} // namespace waxwing
