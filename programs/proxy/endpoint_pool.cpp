#include "endpoint_pool.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>

#include <utility>

namespace waxwing
{

namespace
{

// Above the 27 ms that a new connection takes today, below the time in which a silent endpoint counts as failed twice.
constexpr auto connectTimeout = 1s;

} // namespace

EndpointPool::EndpointPool(boost::asio::io_context &context, std::string address, Random &random, std::function<void()> onAvailable)
    : m_context(context)
    , m_address(std::move(address))
    , m_random(random)
    , m_onAvailable(std::move(onAvailable))
{
}

void EndpointPool::setLimit(std::size_t limit)
{
    m_limit = limit;
}

ConnectionCounts EndpointPool::counts(std::size_t waiting) const
{
    return {.idle = m_idle.size(), .busy = m_busy.size(), .opening = m_opening.size(), .limit = m_limit, .waiting = waiting};
}

void EndpointPool::maintain(std::size_t waiting, TimePoint now)
{
    for (auto count = m_plan.toClose(counts(waiting)); count > 0 && !m_idle.empty(); --count) {
        m_idle.erase(m_idle.begin());
    }
    for (auto count = m_plan.toOpen(counts(waiting), now); count > 0; --count) {
        open();
    }
}

void EndpointPool::open()
{
    auto connection = std::make_unique<HttpConnection>(m_context);
    auto *raw = connection.get();
    m_opening.emplace(raw, std::move(connection));
    raw->connect(m_address, connectTimeout, [this, raw](std::error_code error) {
        auto node = m_opening.extract(raw);
        if (error) {
            Metrics::instance().counter("waxwing_connect_failures_total").add();
            m_isFailing = true;
            m_plan.onFailed(m_random, Clock::now());
            return;
        }
        m_isFailing = false;
        m_plan.onOpened();
        m_idle.push_back(std::move(node.mapped()));
        m_onAvailable();
    });
}

HttpConnection *EndpointPool::acquire()
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isOpen()) {
            auto *raw = connection.get();
            m_busy.emplace(raw, std::move(connection));
            return raw;
        }
    }
    return nullptr;
}

void EndpointPool::release(HttpConnection *connection, bool isReusable)
{
    auto node = m_busy.extract(connection);
    if (!node.empty() && isReusable && connection->isOpen()) {
        m_idle.push_back(std::move(node.mapped()));
    }
}

void EndpointPool::closeIdle()
{
    m_idle.clear();
}

} // namespace waxwing
