#include "statement_answer.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>
#include <waxwing/wire/waxwing.pb.h>

#include <algorithm>

namespace waxwing
{

wire::StatementAnswer makeAnswer(const wire::StatementRequest &request, const Outcome &outcome, std::string_view subject)
{
    wire::StatementAnswer answer;
    answer.set_request_id(request.request_id());
    answer.set_outcome(std::string(outcome.outcomeCode()));
    if (outcome.kind() == Outcome::Kind::Done || outcome.kind() == Outcome::Kind::Failed) {
        return answer;
    }
    answer.set_reason(std::string(outcome.reasonCode()));
    answer.set_message(outcome.message(subject));
    if (const auto reason = outcome.refusal()) {
        answer.set_retry_after_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, toMilliseconds(retryAfter(*reason)).count())));
    }
    return answer;
}

void countOutcome(const wire::StatementAnswer &answer)
{
    auto &metrics = Metrics::instance();
    static auto &done = metrics.counter("waxwing_statements_total", "outcome", "done");
    if (answer.outcome() == "done") {
        done.add();
        return;
    }
    metrics.counter("waxwing_statements_total", "outcome", answer.outcome()).add();
    if (!answer.reason().empty()) {
        metrics.counter(answer.outcome() == "not-run" ? "waxwing_refusals_total" : "waxwing_unknown_total", "reason", answer.reason()).add();
    }
}

void countRetry(std::string_view reason)
{
    Metrics::instance().counter("waxwing_retries_total", "reason", reason).add();
}

} // namespace waxwing
