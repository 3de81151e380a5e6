#include "explain_ring.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace waxwing
{

namespace
{

// Steps kept per request; a request that is retried until its deadline must not grow without bound.
constexpr std::size_t maxSteps = 64;

} // namespace

ExplainRing::ExplainRing(std::size_t capacity)
    : m_capacity(capacity)
{
}

void ExplainRing::start(const std::string &requestId, TimePoint now)
{
    if (m_capacity == 0) {
        return;
    }
    if (m_records.size() < m_capacity) {
        m_records.emplace_back();
        m_next = m_records.size() - 1;
    } else {
        const auto known = m_index.find(m_records[m_next].requestId);
        if (known != m_index.end() && known->second == m_next) {
            m_index.erase(known);
        }
    }
    auto &record = m_records[m_next];
    record.requestId = requestId;
    record.start = now;
    record.steps.clear();
    m_index[requestId] = m_next;
    m_next = (m_next + 1) % m_capacity;
}

void ExplainRing::add(const std::string &requestId, const char *step, std::string_view detail, TimePoint now)
{
    const auto known = m_index.find(requestId);
    if (known != m_index.end() && m_records[known->second].steps.size() < maxSteps) {
        m_records[known->second].steps.push_back({now, step, std::string(detail)});
    }
}

std::optional<std::string> ExplainRing::explain(const std::string &requestId) const
{
    const auto known = m_index.find(requestId);
    if (known == m_index.end()) {
        return std::nullopt;
    }
    const auto &record = m_records[known->second];
    boost::json::array steps;
    for (const auto &step : record.steps) {
        steps.push_back(boost::json::object {
            {"after_us", std::chrono::duration_cast<std::chrono::microseconds>(step.at - record.start).count()}, {"step", step.step}, {"detail", step.detail}});
    }
    return boost::json::serialize(boost::json::object {{"request_id", requestId}, {"steps", std::move(steps)}});
}

} // namespace waxwing
