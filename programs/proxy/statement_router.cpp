#include "statement_router.h"

#include "directory.h"
#include "explain_ring.h"
#include "owned_group.h"
#include "statement_answer.h"
#include "transaction_table.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/quantiles.h>
#include <waxwing/support/random.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// Refusals of an owner that say that another proxy is, or soon will be, the owner.
bool isOwnerChange(RefusalReason reason)
{
    return reason == RefusalReason::LeaseLost || reason == RefusalReason::NoOwner || reason == RefusalReason::Draining || reason == RefusalReason::StaleTerm
        || reason == RefusalReason::OwnerUnreachable;
}

} // namespace

StatementRouter::StatementRouter(Options options, const Directory &directory, ExplainRing &explain, Random &random, LinkSender sender, LocalGroup localGroup)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_explain(explain)
    , m_random(random)
    , m_sender(std::move(sender))
    , m_localGroup(std::move(localGroup))
{
}

StatementRouter::Entry *StatementRouter::find(std::uint64_t id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : found->second.get();
}

StatementRouter::Entry *StatementRouter::findForwarded(std::uint64_t correlation)
{
    const auto found = m_forwarded.find(correlation);
    return found == m_forwarded.end() ? nullptr : find(found->second);
}

void StatementRouter::submit(wire::StatementRequest &&request, TimePoint now, StatementJob::Responder respond)
{
    auto created = std::make_unique<Entry>();
    auto &entry = *created;
    entry.id = ++m_nextId;
    entry.arrivedAt = now;
    entry.deadline = now + std::chrono::milliseconds(request.deadline_ms());
    entry.respond = std::move(respond);
    entry.request = std::make_shared<const wire::StatementRequest>(std::move(request));
    m_explain.start(entry.request->request_id(), now);
    m_byRequestId[entry.request->request_id()] = entry.id;
    m_entries.emplace(entry.id, std::move(created));
    ++m_waiting;
    if (const auto reason = locate(entry)) {
        answer(entry, Outcome::notRun(*reason));
        return;
    }
    m_budgets[entry.request->service()].onRequest();
    route(entry, now);
}

std::optional<RefusalReason> StatementRouter::locate(Entry &entry) const
{
    if (!entry.request->transaction().empty()) {
        const auto name = parseTransactionId(entry.request->transaction());
        if (!name) {
            return RefusalReason::BadTransaction;
        }
        entry.group = name->group;
        entry.owner = name->proxy;
        return std::nullopt;
    }
    const auto *service = m_directory.service(entry.request->service());
    if (service == nullptr) {
        return RefusalReason::UnknownService;
    }
    entry.group = service->group;
    return std::nullopt;
}

void StatementRouter::route(Entry &entry, TimePoint now)
{
    const bool isStep = !entry.request->transaction().empty();
    if (auto *group = m_localGroup(entry.group, *entry.request, entry.ownerFailed)) {
        entry.place = Place::Here;
        --m_waiting;
        ++entry.attempts;
        group->submit({entry.request, entry.arrivedAt, entry.deadline, [this, id = entry.id](wire::StatementAnswer &&result) {
                           onAnswer(id, std::move(result));
                       }});
        return;
    }
    if (!isStep) {
        const auto *directory = m_directory.group(entry.group);
        entry.owner = directory == nullptr ? std::string() : directory->owner();
    }
    if (entry.owner == m_options.proxy && isStep) {
        answer(entry, Outcome::notRun(RefusalReason::TransactionLost));
        return;
    }
    if (entry.owner.empty() || entry.owner == m_options.proxy) {
        wait(entry, entry.owner.empty() ? RefusalReason::NoOwner : RefusalReason::LeaseLost, now);
        return;
    }
    entry.ownerAddress = m_directory.peerAddress(entry.owner);
    if (entry.ownerAddress.empty()) {
        wait(entry, RefusalReason::OwnerUnreachable, now);
        return;
    }
    forward(entry, now);
}

void StatementRouter::forward(Entry &entry, TimePoint now)
{
    entry.correlation = ++m_nextCorrelation;
    wire::Envelope message;
    auto &body = *message.mutable_forward();
    body.set_correlation(entry.correlation);
    body.set_incarnation(m_options.incarnation);
    body.set_owner_epoch_group(entry.group);
    if (const auto *directory = m_directory.group(entry.group)) {
        body.set_owner_epoch(directory->owner_epoch());
    }
    *body.mutable_request() = *entry.request;
    const auto remaining = std::max<std::int64_t>(1, toMilliseconds(entry.deadline - now).count());
    body.mutable_request()->set_deadline_ms(static_cast<std::uint64_t>(remaining));
    if (!m_sender({LinkPeer::Kind::Dialed, entry.ownerAddress}, message)) {
        wait(entry, RefusalReason::RingFull, now);
        return;
    }
    m_explain.add(entry.request->request_id(), "forwarded to owner", entry.owner, now);
    entry.place = Place::Forwarded;
    entry.sentAt = now;
    --m_waiting;
    ++entry.attempts;
    m_forwarded[entry.correlation] = entry.id;
}

void StatementRouter::wait(Entry &entry, RefusalReason reason, TimePoint now)
{
    entry.reason = reason;
    entry.ownerFailed = reason == RefusalReason::OwnerUnreachable || reason == RefusalReason::LeaseLost;
    entry.routeAt = now + m_options.routeAgainAfter;
    if (entry.place != Place::Waiting) {
        entry.place = Place::Waiting;
        ++m_waiting;
        countRetry(code(reason));
    }
    if (entry.deadline <= now || m_waiting > m_options.maxWaiting) {
        answer(entry, Outcome::notRun(reason));
        return;
    }
    m_explain.add(entry.request->request_id(), "waits for an owner", code(reason), now);
}

void StatementRouter::onAnswer(std::uint64_t id, wire::StatementAnswer &&result)
{
    auto *entry = find(id);
    if (entry == nullptr) {
        return;
    }
    const auto refusal = result.outcome() == "not-run" ? refusalReasonFromCode(result.reason()) : std::nullopt;
    const auto now = Clock::now();
    if (refusal && isOwnerChange(*refusal) && entry->request->transaction().empty() && entry->deadline > now) {
        wait(*entry, *refusal, now);
        return;
    }
    answer(*entry, std::move(result));
}

void StatementRouter::onReply(wire::ForwardReply &&reply)
{
    // Owners reply to the name of a proxy, and correlations begin anew with each process.
    if (reply.incarnation() != m_options.incarnation) {
        Metrics::instance().counter("waxwing_forward_replies_ignored_total", "reason", "other-incarnation").add();
        return;
    }
    const auto node = m_forwarded.extract(reply.correlation());
    auto *entry = node.empty() ? nullptr : find(node.mapped());
    if (entry == nullptr) {
        return;
    }
    if (reply.accepted()) {
        onAnswer(entry->id, std::move(*reply.mutable_answer()));
    } else if (!entry->request->transaction().empty()) {
        answer(*entry, Outcome::notRun(RefusalReason::TransactionLost));
    } else {
        wait(*entry, RefusalReason::NoOwner, Clock::now());
    }
}

void StatementRouter::onNotSent(std::uint64_t correlation)
{
    const auto node = m_forwarded.extract(correlation);
    if (auto *entry = node.empty() ? nullptr : find(node.mapped())) {
        wait(*entry, RefusalReason::OwnerUnreachable, Clock::now());
    }
}

void StatementRouter::onPeerLost(const std::string &address)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[correlation, id] : m_forwarded) {
        if (const auto *entry = find(id); entry != nullptr && entry->ownerAddress == address) {
            lost.push_back(correlation);
        }
    }
    const auto now = Clock::now();
    for (const auto correlation : lost) {
        const auto node = m_forwarded.extract(correlation);
        if (auto *entry = node.empty() ? nullptr : find(node.mapped())) {
            onOwnerLost(*entry, now);
        }
    }
}

void StatementRouter::onOwnerLost(Entry &entry, TimePoint now)
{
    const auto &request = *entry.request;
    const FailedAttempt failed {.failure = AttemptFailure::OwnerLost,
                                .isWrite = request.kind() != wire::READ || request.action() != wire::RUN,
                                .inTransaction = !request.transaction().empty(),
                                .attempts = entry.attempts,
                                .deadline = entry.deadline};
    auto &budget = m_budgets[request.service()];
    const auto takeBudget = [&budget] {
        const bool isAllowed = budget.canTake();
        if (isAllowed) {
            budget.take();
        }
        return isAllowed;
    };
    const auto decision = m_retries.decide(failed, takeBudget, m_random, now);
    if (!decision.delay) {
        answer(entry, decision.outcome);
        return;
    }
    countRetry(code(AttemptFailure::OwnerLost));
    wait(entry, RefusalReason::OwnerUnreachable, now);
}

void StatementRouter::onDirectoryChanged(TimePoint now)
{
    if (m_waiting == 0) {
        return;
    }
    for (auto &[id, entry] : m_entries) {
        if (entry->place == Place::Waiting) {
            entry->routeAt = now;
        }
    }
    tick(now);
}

void StatementRouter::tick(TimePoint now)
{
    std::vector<std::uint64_t> due;
    for (const auto &[id, entry] : m_entries) {
        const bool isRoutable = entry->place == Place::Waiting && entry->routeAt <= now;
        const bool isOverdue
            = (entry->place == Place::Waiting && entry->deadline <= now) || (entry->place == Place::Forwarded && entry->deadline + m_options.replyGrace <= now);
        if (isRoutable || isOverdue) {
            due.push_back(id);
        } else if (entry->place == Place::Forwarded && now - entry->sentAt >= m_options.peerCheckAfter) {
            auto &checked = m_checked[entry->ownerAddress];
            if (now - checked >= m_options.peerCheckAfter) {
                checked = now;
                // Without a link to the owner the message comes back as not sent, see onPeerLost().
                wire::Envelope message;
                message.mutable_forward_cancel()->set_correlation(0);
                m_sender({LinkPeer::Kind::Dialed, entry->ownerAddress}, message);
            }
        }
    }
    for (const auto id : due) {
        auto *entry = find(id);
        if (entry == nullptr) {
            continue;
        }
        if (entry->place == Place::Forwarded) {
            m_forwarded.erase(entry->correlation);
            answer(*entry, Outcome::unknown(UnknownReason::DeadlinePassedRunning));
        } else if (entry->deadline <= now) {
            answer(*entry, Outcome::notRun(entry->reason));
        } else if (entry->place == Place::Waiting) {
            route(*entry, now);
        }
    }
}

bool StatementRouter::cancel(const std::string &requestId)
{
    const auto known = m_byRequestId.find(requestId);
    auto *entry = known == m_byRequestId.end() ? nullptr : find(known->second);
    if (entry == nullptr) {
        return false;
    }
    switch (entry->place) {
    case Place::Waiting:
        answer(*entry, Outcome::notRun(RefusalReason::Cancelled));
        return true;
    case Place::Here: {
        auto *group = m_localGroup(entry->group, *entry->request, entry->ownerFailed);
        return group != nullptr && group->cancel(requestId);
    }
    case Place::Forwarded:
        wire::Envelope message;
        message.mutable_forward_cancel()->set_correlation(entry->correlation);
        message.mutable_forward_cancel()->set_incarnation(m_options.incarnation);
        return m_sender({LinkPeer::Kind::Dialed, entry->ownerAddress}, message);
    }
    return false;
}

void StatementRouter::answer(Entry &entry, const Outcome &outcome)
{
    answer(entry, makeAnswer(*entry.request, outcome, "group " + entry.group));
}

void StatementRouter::answer(Entry &entry, wire::StatementAnswer &&result)
{
    if (entry.place == Place::Waiting) {
        --m_waiting;
    }
    const auto now = Clock::now();
    static auto &latency = Metrics::instance().summary("waxwing_statement_seconds");
    latency.add(std::chrono::duration<double>(now - entry.arrivedAt).count());
    countOutcome(result);
    m_explain.add(entry.request->request_id(), "answered to caller", result.reason().empty() ? result.outcome() : result.reason(), now);
    if (const auto known = m_byRequestId.find(entry.request->request_id()); known != m_byRequestId.end() && known->second == entry.id) {
        m_byRequestId.erase(known);
    }
    const auto respond = std::move(entry.respond);
    m_entries.erase(entry.id);
    respond(std::move(result));
}

} // namespace waxwing
