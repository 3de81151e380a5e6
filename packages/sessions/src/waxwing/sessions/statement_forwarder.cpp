#include <waxwing/sessions/statement_forwarder.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

// A holder that did not answer is passed over for as long as its link takes to find out that the connection is dead.
constexpr Duration silentAvoidance = 800ms;
// A holder whose link is not connected is tried again after one attempt to connect.
constexpr Duration unconnectedAvoidance = 100ms;

void countExchange(std::string_view outcome)
{
    Metrics::instance().counter("waxwing_session_forwards_total", "outcome", outcome).add();
}

} // namespace

StatementForwarder::StatementForwarder(asio::any_io_executor executor, std::uint64_t incarnation, Send send)
    : m_executor(std::move(executor))
    , m_incarnation(incarnation)
    , m_send(std::move(send))
{
}

asio::awaitable<StatementForwarder::Answer> StatementForwarder::exchange(StatementHolder holder, wire::PoolForward message, TimePoint limit, TimePoint deadline)
{
    const auto correlation = ++m_correlations;
    const auto now = Clock::now();
    message.set_correlation(correlation);
    message.set_incarnation(m_incarnation);
    message.set_remaining_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMilliseconds(deadline - now).count())));
    Waiter waiter(m_executor);
    waiter.signal.expires_after(limit - now);
    m_waiting[correlation] = &waiter;
    ++m_peers[holder.proxy].waiting;
    if (m_send(holder.link, message)) {
        co_await waiter.signal.async_wait(asio::as_tuple(asio::use_awaitable));
    } else {
        waiter.ended = true;
    }
    m_waiting.erase(correlation);
    auto &peer = m_peers[holder.proxy];
    --peer.waiting;
    if (!waiter.ended) {
        waiter.answer.status = Status::Silent;
        peer.avoidUntil = Clock::now() + silentAvoidance;
        countExchange("silent");
        log::write(log::Level::Info, "holder silent",
                   {{"request", message.request()},
                    {"service", message.service()},
                    {"holder", holder.proxy},
                    {"waited_ms", toMilliseconds(Clock::now() - now).count()}});
    } else if (waiter.answer.status == Status::NotSent) {
        peer.avoidUntil = Clock::now() + unconnectedAvoidance;
        countExchange("not-sent");
    } else {
        countExchange(waiter.answer.content.result() == wire::PoolForwardAnswer::ANSWERED ? "answered" : "declined");
    }
    co_return std::move(waiter.answer);
}

void StatementForwarder::drop(const StatementHolder &holder, std::uint64_t transaction)
{
    wire::PoolForward message;
    message.set_kind(wire::PoolForward::DROP);
    message.set_incarnation(m_incarnation);
    message.set_transaction(transaction);
    m_send(holder.link, message);
}

void StatementForwarder::receive(const wire::PoolForwardAnswer &answer)
{
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
                                                  const std::set<std::string> &tried, TimePoint now) const
{
    const StatementHolder *best = nullptr;
    std::tuple<bool, unsigned, std::size_t> bestCost;
    for (const auto &holder : holders) {
        if (tried.contains(holder.proxy)) {
            continue;
        }
        const auto peer = m_peers.find(holder.proxy);
        const bool avoided = peer != m_peers.end() && now < peer->second.avoidUntil;
        const std::tuple cost(avoided, distance(holder.failureDomain), peer == m_peers.end() ? 0 : peer->second.waiting);
        if (best == nullptr || cost < bestCost) {
            best = &holder;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace waxwing
