#include <waxwing/sessions/statement_log.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/quantiles.h>

#include <chrono>

namespace waxwing
{

namespace
{

// One of this many statements that meet their latency target is logged: about one line a second at 400 statements a second.
constexpr std::uint64_t samplePeriod = 512;

/// Latencies of one kind of statement: in the queue and in the database.
struct Stages
{
    explicit Stages(std::string_view kind)
        : queued(Metrics::instance().summary("waxwing_session_queue_seconds", "kind", kind))
        , ran(Metrics::instance().summary("waxwing_session_database_seconds", "kind", kind))
    {
    }

    Quantiles &queued;
    Quantiles &ran;
};

Stages &stagesFor(const SessionJob &job)
{
    static Stages writes("write");
    static Stages primary("primary-read");
    static Stages bounded("bounded-read");
    static Stages own("own-read");
    if (job.writes) {
        return writes;
    }
    switch (job.route.freshness) {
    case Freshness::Primary:
        return primary;
    case Freshness::OwnWrites:
        return own;
    default:
        return bounded;
    }
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void countOutcome(SessionError error)
{
    static auto &done = Metrics::instance().counter("waxwing_session_statements_total", "outcome", "done");
    static auto &refused = Metrics::instance().counter("waxwing_session_statements_total", "outcome", "not-run");
    static auto &failed = Metrics::instance().counter("waxwing_session_statements_total", "outcome", "failed");
    static auto &unknown = Metrics::instance().counter("waxwing_session_statements_total", "outcome", "unknown");
    switch (error) {
    case SessionError::None:
        done.add();
        break;
    case SessionError::Failed:
        failed.add();
        break;
    case SessionError::Unknown:
    case SessionError::TimedOut:
        unknown.add();
        break;
    default:
        refused.add();
        break;
    }
}

void recordSuccess(const SessionJob &job, const StatementTiming &timing)
{
    static std::uint64_t count = 0;
    auto &stages = stagesFor(job);
    stages.queued.add(seconds(timing.queued));
    stages.ran.add(seconds(timing.ran));
    const bool late = job.route.latencyTarget != Duration::zero() && timing.queued + timing.ran > job.route.latencyTarget;
    if (!late && ++count % samplePeriod != 0) {
        return;
    }
    log::write(log::Level::Info, late ? "statement late" : "statement done",
               {{"request", job.id},
                {"service", job.route.service},
                {"database", timing.database},
                {"retries", timing.retries},
                {"retry_reason", timing.retryReason},
                {"queued_ms", toMilliseconds(timing.queued).count()},
                {"ran_ms", toMilliseconds(timing.ran).count()},
                {"held_ms", toMilliseconds(timing.queued + timing.ran).count()},
                {"target_ms", toMilliseconds(job.route.latencyTarget).count()}});
}

} // namespace waxwing
