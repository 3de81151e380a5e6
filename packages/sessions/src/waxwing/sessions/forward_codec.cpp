#include <waxwing/sessions/forward_codec.h>

#include <algorithm>

namespace waxwing
{

namespace
{

std::uint32_t milliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMilliseconds(duration).count()));
}

} // namespace

wire::PoolForward encodeForward(const SessionJob &job, wire::PoolForward::Kind kind)
{
    wire::PoolForward message;
    message.set_kind(kind);
    message.set_request(job.id);
    message.set_workspace(job.workspace);
    message.set_workspace_priority(job.workspacePriority);
    message.set_service(job.route.service);
    message.set_freshness(static_cast<std::uint32_t>(job.route.freshness));
    message.set_max_age_ms(milliseconds(job.route.maxAge));
    message.set_latency_target_ms(milliseconds(job.route.latencyTarget));
    message.set_statement_timeout_ms(milliseconds(job.route.statementTimeout));
    message.set_priority(job.route.priority);
    message.set_writes(job.writes);
    message.set_read_only(job.readOnly);
    message.set_commits(job.commits);
    if (job.prepared) {
        message.set_executes(true);
        message.set_prepared_writes(job.prepared->writes);
        message.set_prepared_shape(job.prepared->shape);
        message.set_arguments(job.text);
    } else {
        message.set_text(job.text);
    }
    for (const auto &[name, value] : job.session->values) {
        auto &entry = *message.add_values();
        entry.set_name(name);
        entry.set_value(value);
    }
    if (const auto own = job.session->positions.find(job.route.service); own != job.session->positions.end()) {
        message.mutable_own_commit()->set_term(own->second.term);
        message.mutable_own_commit()->set_number(own->second.position);
    }
    return message;
}

SessionState decodeForwardSession(const wire::PoolForward &message)
{
    SessionState session;
    for (const auto &entry : message.values()) {
        session.values[entry.name()] = entry.value();
    }
    if (message.has_own_commit()) {
        session.positions[message.service()] = {message.own_commit().term(), message.own_commit().number()};
    }
    return session;
}

SessionJob decodeForwardJob(const wire::PoolForward &message, const SessionState &session, TimePoint now)
{
    SessionJob job;
    job.route.service = message.service();
    // An unknown freshness, sent by a later version, is treated as the strictest one.
    const bool known = message.freshness() <= static_cast<std::uint32_t>(Freshness::OwnWrites);
    job.route.freshness = known ? static_cast<Freshness>(message.freshness()) : Freshness::Primary;
    job.route.maxAge = std::chrono::milliseconds(message.max_age_ms());
    job.route.latencyTarget = std::chrono::milliseconds(message.latency_target_ms());
    job.route.statementTimeout = std::chrono::milliseconds(message.statement_timeout_ms());
    job.route.priority = message.priority();
    job.session = &session;
    job.id = message.request();
    job.workspace = message.workspace();
    job.workspacePriority = message.workspace_priority();
    job.text = message.executes() ? message.arguments() : message.text();
    if (message.executes()) {
        job.prepared = {message.prepared_writes(), message.prepared_shape()};
    }
    job.writes = message.writes();
    job.begins = message.kind() == wire::PoolForward::BEGIN;
    job.readOnly = message.read_only();
    job.commits = message.commits();
    job.forwarded = true;
    job.receivedAt = now;
    job.deadline = now + std::chrono::milliseconds(message.remaining_ms());
    return job;
}

wire::PoolForwardAnswer encodeForwardAnswer(const StatementResult &result)
{
    wire::PoolForwardAnswer answer;
    answer.set_error(static_cast<std::uint32_t>(result.error));
    answer.set_text(result.text);
    answer.set_retry_after_ms(milliseconds(result.retryAfter));
    answer.set_database(result.database);
    answer.set_retries(result.retries);
    answer.set_queued_ms(milliseconds(result.queued));
    answer.set_ran_ms(milliseconds(result.ran));
    if (result.error == SessionError::None) {
        for (const auto &row : result.reply.rows) {
            answer.add_rows(row);
        }
        answer.set_signature(result.reply.signature);
    }
    if (result.committed) {
        answer.mutable_position()->set_term(result.committed->term);
        answer.mutable_position()->set_number(result.committed->position);
    }
    return answer;
}

StatementResult decodeForwardAnswer(const wire::PoolForwardAnswer &answer, bool &readable)
{
    StatementResult result;
    readable = answer.error() <= static_cast<std::uint32_t>(SessionError::Malformed);
    if (!readable) {
        return result;
    }
    result.error = static_cast<SessionError>(answer.error());
    result.text = answer.text();
    result.retryAfter = std::chrono::milliseconds(answer.retry_after_ms());
    result.database = answer.database();
    result.retries = answer.retries();
    result.queued = std::chrono::milliseconds(answer.queued_ms());
    result.ran = std::chrono::milliseconds(answer.ran_ms());
    result.reply.rows.assign(answer.rows().begin(), answer.rows().end());
    result.reply.signature = answer.signature();
    if (answer.has_position()) {
        result.committed = TermPosition {answer.position().term(), answer.position().number()};
    }
    return result;
}

} // namespace waxwing
