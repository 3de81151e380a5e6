#include <waxwing/coordination/operation_limiter.h>

#include <algorithm>
#include <cmath>

namespace waxwing
{

namespace
{

// Time constant of the moving average of arrivals: demand that moves between proxies is followed within two seconds.
constexpr double demandSeconds = 1.5;
// A workspace without sessions is forgotten below this demand.
constexpr double negligibleDemand = 0.01;
// Callers are not told to return later than this, since shares change sooner.
constexpr Duration maxPromise = 3s;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Time after which a token is there; limited, since a rate may be so small that it has no representation.
Duration timeFor(double tokens, double rate)
{
    const std::chrono::duration<double> time(tokens / rate);
    return time < maxPromise ? std::chrono::duration_cast<Duration>(time) : maxPromise;
}

} // namespace

OperationLimiter::Bucket &OperationLimiter::bucket(std::string_view workspace, TimePoint now)
{
    const auto found = m_buckets.find(workspace);
    if (found != m_buckets.end()) {
        return found->second;
    }
    auto &created = m_buckets.emplace(workspace, Bucket()).first->second;
    created.filledAt = now;
    created.demandAt = now;
    return created;
}

void OperationLimiter::fill(Bucket &bucket, TimePoint now)
{
    if (now > bucket.filledAt) {
        bucket.tokens = std::min(std::max(bucket.burst, bucket.tokens), bucket.tokens + bucket.rate * seconds(now - bucket.filledAt));
        bucket.filledAt = now;
    }
}

void OperationLimiter::decay(Bucket &bucket, TimePoint now)
{
    if (now > bucket.demandAt) {
        bucket.demand *= std::exp(-seconds(now - bucket.demandAt) / demandSeconds);
        bucket.demandAt = now;
    }
}

void OperationLimiter::recordArrival(std::string_view workspace, TimePoint now)
{
    auto &arrivals = bucket(workspace, now);
    decay(arrivals, now);
    arrivals.demand += 1 / demandSeconds;
}

void OperationLimiter::recordSession(std::string_view workspace, bool opened)
{
    auto &sessions = bucket(workspace, Clock::now()).sessions;
    if (opened) {
        ++sessions;
    } else if (sessions > 0) {
        --sessions;
    }
}

OperationLimiter::Decision OperationLimiter::admit(std::string_view workspace, bool leased, TimePoint now)
{
    auto &available = bucket(workspace, now);
    fill(available, now);
    if (!leased) {
        available.tokens = 0; // tokens end with the lease; another proxy may use the share from then on
        return {Verdict::Wait, {}};
    }
    if (available.tokens >= 1) {
        available.tokens -= 1;
        return {Verdict::Admitted, {}};
    }
    if (!available.isLimited || available.rate <= 0) {
        return {Verdict::Wait, available.rate > 0 ? timeFor(1 - available.tokens, available.rate) : Duration::zero()};
    }
    const auto first = now + timeFor(1 - available.tokens, available.rate);
    const auto next = std::max(first, available.promisedUntil + timeFor(1, available.rate));
    available.promisedUntil = std::min(next, now + maxPromise);
    return {Verdict::Refused, available.promisedUntil - now};
}

void OperationLimiter::apply(std::span<const RateShare> shares, std::uint64_t term, std::uint64_t number, TimePoint now)
{
    if (term < m_term || (term == m_term && number <= m_number)) {
        return;
    }
    m_term = term;
    m_number = number;
    for (auto &[workspace, bucket] : m_buckets) {
        fill(bucket, now);
        bucket.rate = 0;
        bucket.burst = 0;
        bucket.isLimited = false;
    }
    for (const auto &share : shares) {
        auto &changed = bucket(share.workspace, now);
        changed.rate = share.rate;
        changed.burst = share.burst;
        changed.isLimited = share.isLimited;
        changed.tokens += share.credit;
    }
    for (auto &[workspace, bucket] : m_buckets) {
        bucket.tokens = std::min(bucket.tokens, std::max(1.0, bucket.burst));
        if (bucket.rate <= 0) {
            bucket.tokens = 0;
        }
    }
}

std::vector<RateDemand> OperationLimiter::demands(TimePoint now)
{
    std::vector<RateDemand> demands;
    for (auto item = m_buckets.begin(); item != m_buckets.end();) {
        auto &[workspace, bucket] = *item;
        decay(bucket, now);
        if (bucket.demand < negligibleDemand && bucket.sessions == 0) {
            item = m_buckets.erase(item); // its rate is given back
            continue;
        }
        demands.push_back({workspace, bucket.demand, bucket.rate});
        ++item;
    }
    return demands;
}

} // namespace waxwing
