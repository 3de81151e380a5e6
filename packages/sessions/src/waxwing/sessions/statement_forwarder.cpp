#include <waxwing/protocol/session_error.h>
#include <waxwing/sessions/statement_forwarder.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

// A holder that did not answer is avoided for as long as its link needs to detect a dead connection.
constexpr Duration noAnswerAvoidanceTime = 800ms;
// A holder whose link is not connected is avoided for about one attempt to connect.
constexpr Duration notConnectedAvoidanceTime = 100ms;
// A holder without a lease is asked again after this pause. Leases are renewed every 400 to 800 ms, so a holder that reaches control again
// has one after about half of that on average.
constexpr Duration leaseCheckInterval = 200ms;
// Without an answer for longer than this, the holder may have had a lease in between, and its next answer without one begins a new loss.
constexpr Duration leaseLossMemory = 2s;
// Round trips assumed before the first measurement, within a region and between two.
constexpr Duration nearTransferTime = 5ms;
constexpr Duration farTransferTime = 45ms;
// A holder always gets the larger part of the time, also while its link is congested.
constexpr int maxTransferPart = 4;
// Time for which a statement occupies a connection of its holder.
constexpr Duration usualStatementTime = 5ms;

void countExchange(std::string_view outcome)
{
    Metrics::instance().counter("waxwing_session_forwards_total", "outcome", outcome).add();
}

/// Time that the holder worked on a statement, as far as its answer tells.
std::optional<Duration> workTime(const wire::PoolForwardAnswer &answer)
{
    const auto error = static_cast<SessionError>(answer.error());
    if (answer.result() == wire::PoolForwardAnswer::ANSWERED && error != SessionError::None && error != SessionError::Busy) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::uint64_t(answer.queued_ms()) + answer.ran_ms());
}

void logForwarded(const wire::PoolForward &message, const StatementHolder &holder)
{
    if (!log::isEnabled(log::Level::Debug)) { // as many lines as forwarded statements
        return;
    }
    log::write(log::Level::Debug, "statement forwarded",
               {{"request", message.request()},
                {"service", message.service()},
                {"holder", holder.proxy},
                {"transaction", message.transaction()},
                {"writes", message.writes()},
                {"shape", message.prepared_shape()}});
}

} // namespace

StatementForwarder::StatementForwarder(asio::any_io_executor executor, std::uint64_t incarnation, Send send)
    : m_executor(std::move(executor))
    , m_incarnation(incarnation)
    , m_send(std::move(send))
    , m_balancing(incarnation)
{
}

asio::awaitable<StatementForwarder::Answer> StatementForwarder::exchange(StatementHolder holder, wire::PoolForward message, TimePoint limit, unsigned distance)
{
    const auto correlation = ++m_correlations;
    const auto now = Clock::now();
    message.set_correlation(correlation);
    message.set_incarnation(m_incarnation);
    auto &peer = findPeer(holder.proxy, distance);
    const auto remaining = limit - now - std::min(peer.transfer.upperBound(), (limit - now) / maxTransferPart);
    message.set_remaining_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMilliseconds(remaining).count())));
    logForwarded(message, holder);
    Waiter waiter(m_executor);
    waiter.signal.expires_after(limit - now);
    m_waiting[correlation] = &waiter;
    ++peer.pendingStatements;
    ++peer.sentSinceStated;
    if (peer.withoutLeaseSince && now >= peer.leaseCheckAt) {
        peer.leaseCheckAt = now + leaseCheckInterval; // only this statement finds out whether the holder has a lease again
    }
    if (m_send(holder.link, message)) {
        co_await waiter.signal.async_wait(asio::as_tuple(asio::use_awaitable));
    } else {
        waiter.ended = true;
    }
    m_waiting.erase(correlation);
    --peer.pendingStatements;
    if (!waiter.ended) {
        waiter.answer.status = Status::Silent;
        peer.avoidUntil = Clock::now() + noAnswerAvoidanceTime;
        countExchange("silent");
        log::write(log::Level::Info, "holder silent",
                   {{"request", message.request()},
                    {"service", message.service()},
                    {"holder", holder.proxy},
                    {"waited_ms", toMilliseconds(Clock::now() - now).count()}});
    } else if (waiter.answer.status == Status::NotSent) {
        peer.avoidUntil = Clock::now() + notConnectedAvoidanceTime;
        countExchange("not-sent");
    } else {
        if (const auto work = workTime(waiter.answer.content)) {
            peer.transfer.add(Clock::now() - now - *work);
        }
        recordLoad(peer, waiter.answer.content);
        recordLease(peer, waiter.answer.content, Clock::now());
        countExchange(waiter.answer.content.result() == wire::PoolForwardAnswer::ANSWERED ? "answered" : "declined");
    }
    co_return std::move(waiter.answer);
}

void StatementForwarder::recordLoad(Peer &peer, const wire::PoolForwardAnswer &answer)
{
    if (answer.states_load()) {
        peer.statedLoad = std::size_t(answer.waiting()) + answer.running();
        peer.statedAt = Clock::now();
        peer.sentSinceStated = 0;
    }
}

StatementForwarder::Peer &StatementForwarder::findPeer(const std::string &proxy, unsigned distance)
{
    return m_peers.try_emplace(proxy, distance > 1 ? farTransferTime : nearTransferTime).first->second;
}

void StatementForwarder::recordLease(Peer &peer, const wire::PoolForwardAnswer &answer, TimePoint now)
{
    if (!answer.states_load()) {
        return; // the holder runs an earlier release
    }
    if (answer.lease_left_ms() != 0) {
        peer.withoutLeaseSince.reset();
        return;
    }
    if (!peer.withoutLeaseSince || now >= peer.leaseCheckAt + leaseLossMemory) {
        peer.withoutLeaseSince = now;
    }
    peer.leaseCheckAt = now + leaseCheckInterval;
}

bool StatementForwarder::isWithoutLease(const std::string &proxy, TimePoint now) const
{
    const auto peer = m_peers.find(proxy);
    return peer != m_peers.end() && peer->second.withoutLeaseSince && now < peer->second.leaseCheckAt;
}

std::optional<TimePoint> StatementForwarder::lastLeaseLoss(std::span<const StatementHolder> holders) const
{
    std::optional<TimePoint> last;
    for (const auto &holder : holders) {
        const auto peer = m_peers.find(holder.proxy);
        if (peer != m_peers.end() && peer->second.withoutLeaseSince) {
            last = std::max(last, peer->second.withoutLeaseSince);
        }
    }
    return last;
}

void StatementForwarder::rollBack(const StatementHolder &holder, std::uint64_t transaction)
{
    wire::PoolForward message;
    message.set_kind(wire::PoolForward::DROP);
    message.set_incarnation(m_incarnation);
    message.set_transaction(transaction);
    m_send(holder.link, message);
}

void StatementForwarder::receive(const wire::PoolForwardAnswer &answer)
{
    // Holders send answers to the name of a proxy, and correlations begin anew with each process.
    if (answer.incarnation() != m_incarnation) {
        Metrics::instance().counter("waxwing_session_forward_answers_ignored_total", "reason", "other-incarnation").add();
        return;
    }
    const auto found = m_waiting.find(answer.correlation());
    if (found == m_waiting.end() || found->second->ended) {
        Metrics::instance().counter("waxwing_session_forward_answers_ignored_total", "reason", "late").add();
        return;
    }
    found->second->ended = true;
    found->second->answer.status = Status::Answered;
    found->second->answer.content = answer;
    found->second->signal.cancel();
}

void StatementForwarder::interrupt()
{
    for (const auto &[correlation, waiter] : m_waiting) {
        waiter->signal.cancel();
    }
}

void StatementForwarder::recordNotSent(const wire::PoolForward &message)
{
    const auto found = m_waiting.find(message.correlation());
    if (found != m_waiting.end() && !found->second->ended) {
        found->second->ended = true;
        found->second->signal.cancel();
    }
}

const StatementHolder *StatementForwarder::choose(std::span<const StatementHolder> holders, const std::function<unsigned(std::string_view domain)> &distance,
                                                  const std::set<std::string> &tried, TimePoint now, bool needsLease)
{
    std::vector<const StatementHolder *> best; // all have the same cost
    std::tuple<bool, bool, unsigned> bestCost;
    for (const auto &holder : holders) {
        if (tried.contains(holder.proxy)) {
            continue;
        }
        const auto peer = m_peers.find(holder.proxy);
        const bool avoided = peer != m_peers.end() && now < peer->second.avoidUntil;
        const bool withoutLease = needsLease && isWithoutLease(holder.proxy, now);
        const std::tuple cost(withoutLease, avoided, distance(holder.failureDomain));
        if (best.empty() || cost < bestCost) {
            best.clear();
            bestCost = cost;
        }
        if (cost == bestCost) {
            best.push_back(&holder);
        }
    }
    return chooseByLoad(best, now);
}

const StatementHolder *StatementForwarder::chooseByLoad(std::span<const StatementHolder *const> holders, TimePoint now)
{
    std::vector<LoadCandidate> candidates;
    candidates.reserve(holders.size());
    for (const auto *holder : holders) {
        auto &candidate = candidates.emplace_back();
        candidate.timePerSent = usualStatementTime / static_cast<Duration::rep>(std::max<std::size_t>(1, holder->connections));
        const auto found = m_peers.find(holder->proxy);
        if (found == m_peers.end()) {
            continue;
        }
        const auto &peer = found->second;
        if (peer.statedLoad) {
            candidate.measured = candidate.timePerSent * static_cast<Duration::rep>(*peer.statedLoad);
            candidate.age = now - peer.statedAt;
        }
        // Holders of earlier releases state no load; of theirs only what this process has sent is known.
        candidate.sentSince = std::min(peer.pendingStatements, peer.sentSinceStated);
    }
    const auto chosen = m_balancing.choose(candidates);
    if (!chosen) {
        return nullptr;
    }
    if (chosen->balanced) {
        static auto &balanced = Metrics::instance().counter("waxwing_session_balanced_choices_total", "of", "holder");
        balanced.add();
    }
    return holders[chosen->index];
}

} // namespace waxwing
