#include <waxwing/sessions/operation_admission.h>
#include <waxwing/sessions/retry_advice.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace waxwing
{

namespace
{

// An early renewal and its answer take two round trips between regions and one of control's majority.
constexpr Duration longestWait = 400ms;
constexpr Duration logInterval = 1s; // a workspace beyond its limit is refused hundreds of times a second
constexpr double millis = 1000; // rates are sent in thousandths
constexpr std::string_view rateLimitedReason = "rate-limited";
constexpr std::string_view noShareReason = "no-rate-share";

std::uint64_t toMillis(double rate)
{
    return static_cast<std::uint64_t>(std::llround(std::max(0.0, rate) * millis));
}

} // namespace

OperationAdmission::OperationAdmission(const boost::asio::any_io_executor &executor, const EpochLease &lease)
    : m_lease(lease)
    , m_change(executor)
{
}

void OperationAdmission::apply(const wire::PoolGrant &grant, TimePoint now)
{
    if (!grant.has_rates()) {
        return;
    }
    std::vector<RateShare> shares;
    for (const auto &rate : grant.rates()) {
        shares.push_back({rate.workspace(), static_cast<double>(rate.rate_millis()) / millis, rate.burst(), rate.credit(), rate.limited()});
    }
    m_limiter.apply(shares, grant.control_term(), grant.number(), now);
    m_change.notify();
}

void OperationAdmission::state(wire::PoolRenewal &renewal, TimePoint now)
{
    for (const auto &demand : m_limiter.demands(now)) {
        auto &entry = *renewal.add_rates();
        entry.set_workspace(demand.workspace);
        entry.set_demand_millis(toMillis(demand.demand));
        entry.set_held_millis(toMillis(demand.held));
    }
    renewal.set_rates_number(m_limiter.number());
    renewal.set_rates_term(m_limiter.term());
}

boost::asio::awaitable<std::optional<OperationAdmission::Refusal>> OperationAdmission::admit(std::string workspace, TimePoint deadline)
{
    auto now = Clock::now();
    const auto limit = std::min(deadline, now + longestWait);
    m_limiter.recordArrival(workspace, now);
    while (true) {
        const bool leased = m_lease.isValid(now);
        const auto decision = m_limiter.admit(workspace, leased, now);
        if (decision.verdict == OperationLimiter::Verdict::Admitted) {
            co_return std::nullopt;
        }
        const bool waits = decision.verdict == OperationLimiter::Verdict::Wait && now < limit;
        if (!waits) {
            const bool hasShare = leased && decision.retryAfter != Duration::zero();
            co_return refuse(workspace, hasShare ? rateLimitedReason : noShareReason, hasShare ? decision.retryAfter : RetryAdvice::otherProxy);
        }
        m_needsRenewal = true;
        const auto nextToken = decision.retryAfter == Duration::zero() ? limit : now + decision.retryAfter;
        co_await m_change.wait(std::min(limit, nextToken));
        now = Clock::now();
    }
}

bool OperationAdmission::takeRenewalRequest()
{
    return std::exchange(m_needsRenewal, false);
}

OperationAdmission::Refusal OperationAdmission::refuse(std::string_view workspace, std::string_view reason, Duration retryAfter)
{
    Metrics::instance().counter("waxwing_session_refusals_total", "reason", reason).add();
    ++m_refused;
    if (const auto now = Clock::now(); now >= m_nextLogAt) {
        m_nextLogAt = now + logInterval;
        log::write(log::Level::Info, "operations refused by rate limits",
                   {{"workspace", workspace},
                    {"reason", reason},
                    {"retry_after_ms", toMilliseconds(retryAfter).count()},
                    {"refused", std::exchange(m_refused, 0)},
                    {"lease_left_ms", toMilliseconds(m_lease.expiresAt() - now).count()}});
    }
    return {reason, retryAfter};
}

} // namespace waxwing
