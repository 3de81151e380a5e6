#include "open_load.h"

#include <waxwing/transport/http_exchange.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace waxwing
{

namespace
{

constexpr auto requestTimeout = 10s;
// Connections that are opened at a time, so that none waits in the listen queue of the server.
constexpr std::size_t connectBatch = 100;

} // namespace

double OpenLoad::Result::quantile(double probability)
{
    if (milliseconds.empty()) {
        return 0;
    }
    std::sort(milliseconds.begin(), milliseconds.end());
    const auto index = static_cast<std::size_t>(probability * static_cast<double>(milliseconds.size()));
    return milliseconds[std::min(index, milliseconds.size() - 1)];
}

OpenLoad::OpenLoad(boost::asio::io_context &context, Options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_timer(context)
{
}

void OpenLoad::connect()
{
    for (std::size_t i = 0; i < m_options.connections; ++i) {
        m_connections.push_back(std::make_unique<HttpConnection>(m_context));
        m_connections.back()->connect(m_options.address, requestTimeout, [this, i](std::error_code error) {
            if (!error) {
                m_idle.push_back(i);
            }
        });
        while ((i + 1) % connectBatch == 0 && m_idle.size() + connectBatch / 2 < i && m_context.run_one_for(1s) > 0) { }
    }
    const auto giveUp = Clock::now() + requestTimeout;
    while (m_idle.size() < m_options.connections && Clock::now() < giveUp) {
        m_context.run_one_for(10ms);
    }
}

OpenLoad::Result OpenLoad::run()
{
    connect();
    m_start = Clock::now();
    startDue();
    const auto giveUp = m_start + requestTimeout
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(m_options.requests) / m_options.rate));
    while (m_finished < m_options.requests && Clock::now() < giveUp) {
        m_context.run_one_for(10ms);
    }
    m_result.failed += m_options.requests - m_finished;
    return std::move(m_result);
}

void OpenLoad::startDue()
{
    const auto interval = std::chrono::duration<double>(1.0 / m_options.rate);
    const auto now = Clock::now();
    for (; m_started < m_options.requests; ++m_started) {
        const auto at = m_start + std::chrono::duration_cast<Duration>(interval * static_cast<double>(m_started));
        if (at > now) {
            m_timer.expires_after(at - Clock::now());
            m_timer.async_wait([this](const boost::system::error_code &error) {
                if (!error) {
                    startDue();
                }
            });
            return;
        }
        const Waiting waiting {m_started, at};
        if (m_idle.empty()) {
            m_waiting.push_back(waiting);
        } else {
            const auto connection = m_idle.front();
            m_idle.pop_front();
            send(connection, waiting);
        }
    }
}

void OpenLoad::send(std::size_t connection, const Waiting &waiting)
{
    m_connections[connection]->exchange(m_options.request(waiting.number), requestTimeout, [this, connection, at = waiting.at](HttpExchange &&exchange) {
        ++m_finished;
        m_result.milliseconds.push_back(std::chrono::duration<double, std::milli>(Clock::now() - at).count());
        if (exchange.error || !m_options.isGood(exchange.response.body)) {
            ++m_result.failed;
        }
        if (exchange.error) {
            return;
        }
        if (m_waiting.empty()) {
            m_idle.push_back(connection);
        } else {
            const auto next = m_waiting.front();
            m_waiting.pop_front();
            send(connection, next);
        }
    });
}

} // namespace waxwing
