#include <waxwing/sessions/forward_codec.h>
#include <waxwing/sessions/interruption.h>
#include <waxwing/sessions/statement_backend.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

// A read that is unanswered after this share of its time is forwarded to another holder. The share is large because long
// statements are common and unresponsive holders are rare.
constexpr double readAttemptShare = 0.6;
// Links to newly assigned holders are connected within a round trip between regions.
constexpr Duration linkConnectTimeout = 250ms;
constexpr Duration holderPollInterval = 25ms;
// Leases that holders lose with a change of control's leader; as assumed for this proxy's own lease.
constexpr Duration usualLeaseLoss = 500ms;
constexpr std::string_view withoutLeaseReason = "holder-without-lease";

} // namespace

StatementBackend::StatementBackend(SessionDirectory &directory, StatementPath &path, StatementForwarder &forwarder)
    : m_directory(directory)
    , m_path(path)
    , m_forwarder(forwarder)
{
}

asio::awaitable<StatementResult> StatementBackend::run(const SessionJob &job, SessionTransaction &transaction)
{
    if (!m_path.hasTimeFor(job)) {
        co_return refuse(job, "stopping", 0, RetryAdvice::otherProxy, false);
    }
    StatementResult result;
    bool again = true;
    bool triedHolders = false;
    // Control may name or replace holders, this proxy among them, while the statement waits.
    while (again) {
        auto *service = m_directory.service(job.route.service);
        if (service != nullptr && !(runsHere(job, *service) || (triedHolders && service->holdsConnections()))) {
            result = co_await forward(job, *service, transaction);
            again = result.declined && service->holdsConnections();
            triedHolders = true; // without another holder that can run it, it waits here or is refused
            continue;
        }
        result = co_await m_path.run(job);
        service = m_directory.service(job.route.service);
        again = result.declined && service != nullptr && !service->holdsConnections();
    }
    if (result.transaction) {
        transaction.open = std::move(result.transaction);
        transaction.database = result.database;
    }
    co_return result;
}

bool StatementBackend::runsHere(const SessionJob &job, const ServiceState &service) const
{
    if (!service.holdsConnections()) {
        return false;
    }
    // Where every proxy holds its share there is no other holder.
    return service.holders().size() < 2 || !m_path.requiresLease(job) || m_directory.lease().isValid(Clock::now());
}

asio::awaitable<StatementResult> StatementBackend::forward(const SessionJob &job, ServiceState &service, SessionTransaction &transaction)
{
    const auto distance = [this](std::string_view domain) {
        return m_directory.distance(domain);
    };
    bool requiresLease = m_path.requiresLease(job);
    const auto declineHere = [] {
        StatementResult result;
        result.error = SessionError::Busy;
        result.declined = true;
        return result;
    };
    // This proxy may be a holder without a lease.
    const std::set<std::string> own {m_directory.options().proxy};
    auto tried = own;
    auto declined = own;
    auto declinedUnder = m_directory.directoryVersion();
    std::optional<TimePoint> withoutHolderSince;
    std::string_view reason = "no-holder";
    auto expected = RetryAdvice::otherProxy;
    bool mayHaveRun = false;
    auto message = encodeForward(job, job.begins ? wire::PoolForward::BEGIN : wire::PoolForward::SINGLE);
    message.set_idle_ms(idleMilliseconds());
    asio::steady_timer pause(co_await asio::this_coro::executor);
    while (!m_path.isInterrupted() && Clock::now() < job.deadline) {
        const auto now = Clock::now();
        if (job.needsPrimary() && !service.hasPrimary() && service.primaryChange().expectedRest(now) > job.deadline - now) {
            expected = service.primaryChange().expectedRest(now);
            reason = "no-primary"; // the holders learn of the next primary at the same time as this proxy
            break;
        }
        // A refusal of this proxy would promise that a statement did not run which a silent holder may have run.
        if (runsHere(job, service) && !mayHaveRun) {
            co_return declineHere();
        }
        const auto *nearest = m_forwarder.choose(service.holders(), distance, tried, now, job.needsPrimary() || requiresLease);
        if (nearest != nullptr && requiresLease && m_forwarder.isWithoutLease(nearest->proxy, now)) {
            nearest = nullptr; // nor has any other one a lease, because these come last
            reason = withoutLeaseReason;
        }
        if (nearest == nullptr) {
            // A holder that declines may have learned of the next one a little earlier than this proxy.
            withoutHolderSince = withoutHolderSince.value_or(now);
            const bool mayConnect = now - *withoutHolderSince < linkConnectTimeout;
            if (m_path.isStopping() || (!mayConnect && !(requiresLease && mayWaitForLease(service, job, now)))) {
                break;
            }
            // Holders decline again until the directory changes.
            if (std::exchange(declinedUnder, m_directory.directoryVersion()) != m_directory.directoryVersion()) {
                declined = own;
            }
            tried = declined;
            pause.expires_after(holderPollInterval);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        const StatementHolder holder = *nearest;
        const bool passesOver = std::any_of(service.holders().begin(), service.holders().end(), [&](const StatementHolder &other) {
            return !tried.contains(other.proxy) && distance(other.failureDomain) < distance(holder.failureDomain)
                && m_forwarder.isWithoutLease(other.proxy, now);
        });
        if ((job.needsPrimary() || requiresLease) && passesOver) {
            static auto &passedOver = Metrics::instance().counter("waxwing_session_holders_passed_over_total", "reason", "no-lease");
            passedOver.add();
        }
        const auto number = job.begins ? m_forwarder.nextTransaction() : 0;
        message.set_transaction(number);
        auto limit = job.deadline;
        if (!job.mayPersist() && !job.begins) {
            limit = std::min(limit, Clock::now() + std::chrono::duration_cast<Duration>((job.deadline - job.receivedAt) * readAttemptShare));
        }
        if (service.holdsConnections()) {
            Metrics::instance().counter("waxwing_session_forwards_without_lease_total").add();
            log::write(log::Level::Info, "statement forwarded without a lease",
                       {{"request", job.id},
                        {"service", job.route.service},
                        {"holder", holder.proxy},
                        {"lease_left_ms", toMilliseconds(m_directory.lease().expiresAt() - now).count()}});
        }
        const auto answer = co_await m_forwarder.exchange(holder, message, limit, distance(holder.failureDomain));
        if (answer.status == StatementForwarder::Status::Silent) {
            if (job.mayPersist() || job.begins) {
                co_return handleNoAnswer(job, holder, number);
            }
            reason = "holder-silent";
            mayHaveRun = true;
        } else if (answer.status == StatementForwarder::Status::Answered && answer.content.result() == wire::PoolForwardAnswer::ANSWERED) {
            bool readable = false;
            auto result = decodeForwardAnswer(answer.content, readable);
            if (!readable) {
                co_return handleNoAnswer(job, holder, number);
            }
            if (answer.content.open()) {
                transaction.open = ForwardedTransaction {holder, number};
                transaction.database = result.database;
            }
            co_return result;
        } else {
            const bool answered = answer.status == StatementForwarder::Status::Answered;
            const bool withoutLease = answered && answer.content.states_load() && answer.content.lease_left_ms() == 0;
            reason = withoutLease ? withoutLeaseReason : answered ? "holder-declined" : "holder-not-connected";
            if (withoutLease) {
                requiresLease = true; // also a read of a replica, if the holder has no recent position of the primary
            } else if (answered) {
                declined.insert(holder.proxy);
            }
            if (answered) {
                expected = std::max<Duration>(RetryAdvice::otherProxy, std::chrono::milliseconds(answer.content.retry_after_ms()));
            }
        }
        tried.insert(holder.proxy);
        Metrics::instance().counter("waxwing_session_retries_total", "reason", reason).add();
    }
    if (service.holdsConnections() && !mayHaveRun && !m_path.isInterrupted() && Clock::now() < job.deadline) {
        co_return declineHere();
    }
    co_return refuse(job, m_path.isInterrupted() ? "stopping" : reason, tried.size() - own.size(), expected, mayHaveRun);
}

bool StatementBackend::mayWaitForLease(const ServiceState &service, const SessionJob &job, TimePoint now) const
{
    const auto since = m_forwarder.lastLeaseLoss(service.holders());
    if (!since) {
        return false;
    }
    Interruption loss(usualLeaseLoss);
    loss.begin(*since);
    return loss.expectedRest(now) <= job.deadline - now;
}

StatementResult StatementBackend::handleNoAnswer(const SessionJob &job, const StatementHolder &holder, std::uint64_t number)
{
    StatementResult result;
    if (job.mayPersist()) {
        result.error = SessionError::Unknown;
        result.text = "no answer in time";
        return result;
    }
    // The first statement may have run in this transaction; it must not run again in a second transaction.
    m_forwarder.rollBack(holder, number);
    result.error = SessionError::Aborted;
    result.text = "no answer in time; nothing is kept";
    return result;
}

StatementResult StatementBackend::refuse(const SessionJob &job, std::string_view reason, std::size_t tried, Duration expected, bool mayHaveRun)
{
    StatementResult result;
    result.error = SessionError::Busy;
    const auto now = Clock::now();
    result.retryAfter = m_path.advice().after(expected, job, now);
    result.text = RetryAdvice::text(result.retryAfter, reason, mayHaveRun);
    Metrics::instance().counter("waxwing_session_refusals_total", "reason", reason).add();
    log::write(log::Level::Info, "statement not passed on",
               {{"request", job.id},
                {"service", job.route.service},
                {"reason", reason},
                {"tried", tried},
                {"lease_left_ms", toMilliseconds(m_directory.lease().expiresAt() - now).count()},
                {"held_ms", toMilliseconds(now - job.receivedAt).count()},
                {"directory_version", m_directory.directoryVersion()}});
    return result;
}

std::uint32_t StatementBackend::idleMilliseconds() const
{
    const auto config = m_directory.config();
    return config ? static_cast<std::uint32_t>(toMilliseconds(config->transactionIdle).count()) : 0;
}

asio::awaitable<StatementResult> StatementBackend::runIn(SessionTransaction &transaction, const SessionJob &job)
{
    StatementResult result;
    if (auto *local = std::get_if<std::unique_ptr<OpenTransaction>>(&transaction.open)) {
        result = co_await (*local)->run(job);
    } else if (const auto *forwarded = std::get_if<ForwardedTransaction>(&transaction.open)) {
        result = co_await continueAtHolder(*forwarded, job, wire::PoolForward::CONTINUE);
    } else {
        result.error = SessionError::Aborted;
        result.text = "no transaction is open";
    }
    if (result.error != SessionError::None) {
        transaction.open = std::monostate();
    }
    co_return result;
}

asio::awaitable<StatementResult> StatementBackend::commit(SessionTransaction &transaction, const SessionJob &job)
{
    StatementResult result;
    if (auto *local = std::get_if<std::unique_ptr<OpenTransaction>>(&transaction.open)) {
        result = co_await (*local)->commit(job, m_directory);
    } else if (const auto *forwarded = std::get_if<ForwardedTransaction>(&transaction.open)) {
        result = co_await continueAtHolder(*forwarded, job, wire::PoolForward::COMMIT);
    } else {
        result.error = SessionError::Aborted;
        result.text = "no transaction is open";
    }
    transaction.open = std::monostate();
    co_return result;
}

asio::awaitable<StatementResult> StatementBackend::continueAtHolder(ForwardedTransaction open, const SessionJob &job, wire::PoolForward::Kind kind)
{
    auto message = encodeForward(job, kind);
    message.set_transaction(open.number);
    const auto answer = co_await m_forwarder.exchange(open.holder, std::move(message), job.deadline, m_directory.distance(open.holder.failureDomain));
    const bool answered = answer.status == StatementForwarder::Status::Answered;
    if (answered && answer.content.result() == wire::PoolForwardAnswer::ANSWERED) {
        bool readable = false;
        auto result = decodeForwardAnswer(answer.content, readable);
        if (readable) {
            co_return result;
        }
    }
    StatementResult result;
    const bool mayHavePersisted = kind == wire::PoolForward::COMMIT && job.writes && !(answered && answer.content.result() != wire::PoolForwardAnswer::ANSWERED)
        && answer.status != StatementForwarder::Status::NotSent;
    result.error = mayHavePersisted ? SessionError::Unknown : SessionError::Aborted;
    result.text = mayHavePersisted ? "commit without an answer" : "the transaction was lost; nothing is kept";
    if (!mayHavePersisted) {
        m_forwarder.rollBack(open.holder, open.number);
    }
    co_return result;
}

void StatementBackend::rollBack(SessionTransaction &transaction)
{
    if (const auto *forwarded = std::get_if<ForwardedTransaction>(&transaction.open)) {
        m_forwarder.rollBack(forwarded->holder, forwarded->number);
    }
    transaction.open = std::monostate();
}

} // namespace waxwing
