#include "caller_history.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace waxwing::load
{

namespace
{

std::int64_t microseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

} // namespace

CallerHistory::CallerHistory(const std::string &path, std::string run)
    : m_run(std::move(run))
    , m_file(path.empty() ? nullptr : std::fopen(path.c_str(), "a"))
{
}

void CallerHistory::record(const Operation &operation, const Answer &answer, TimePoint sent)
{
    if (!m_file) {
        return;
    }
    const auto &step = operation.steps[operation.step];
    const auto &operationClass = *operation.operationClass;
    const boost::json::object line {{"operation", m_run + "-" + std::to_string(operation.identifier)},
                                    {"class", operationClass.name},
                                    {"service", operation.service},
                                    {"step", stepName(step.kind)},
                                    {"write", operationClass.isWrite},
                                    {"statement", step.statement},
                                    {"key", step.key},
                                    {"value", step.value},
                                    {"session", m_run + "-" + std::to_string(operation.session)},
                                    {"freshness", operationClass.freshness},
                                    {"max_age_ms", operationClass.maxAgeMilliseconds},
                                    {"must_not_repeat", operationClass.mustNotRepeat},
                                    {"scan", operationClass.isLong},
                                    {"attempt", operation.attempt},
                                    {"proxy", operation.proxy},
                                    {"sent", microseconds(sent)},
                                    {"received", microseconds(Clock::now())},
                                    {"outcome", answer.outcome},
                                    {"reason", answer.reason},
                                    {"result", answer.value},
                                    {"served_by", answer.servedBy},
                                    {"role", answer.role},
                                    {"term", answer.term},
                                    {"position", answer.position},
                                    {"status", answer.status}};
    const auto text = boost::json::serialize(line) + "\n";
    std::fwrite(text.data(), 1, text.size(), m_file.get());
}

std::string_view stepName(Step::Kind kind)
{
    switch (kind) {
    case Step::Kind::Statement:
        return "statement";
    case Step::Kind::Begin:
        return "begin";
    case Step::Kind::TransactionStatement:
        return "transaction-statement";
    case Step::Kind::Commit:
        return "commit";
    case Step::Kind::Rollback:
        return "rollback";
    }
    return {};
}

} // namespace waxwing::load
