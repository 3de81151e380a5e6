#include "connection_pool.h"

#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_request.h>

#include <boost/asio/io_context.hpp>

namespace waxwing::load
{

namespace
{

constexpr auto connectTimeout = 2s;
constexpr auto healthInterval = 100ms;
constexpr auto healthTimeout = 500ms;
constexpr unsigned openAtATime = 16; // Per target, so that the accept queue does not overflow.

} // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context &context, std::vector<std::string> targets, unsigned connections, bool checksHealth)
    : m_context(context)
    , m_perTarget(std::max(1U, connections / static_cast<unsigned>(targets.size())))
    , m_checksHealth(checksHealth)
    , m_timer(context)
{
    for (auto &address : targets) {
        m_targets.push_back({.address = std::move(address), .idle = {}, .isHealthy = true, .probe = HttpConnection(context)});
    }
}

void ConnectionPool::open()
{
    for (std::size_t target = 0; target < m_targets.size(); ++target) {
        for (unsigned chain = 0; chain < openAtATime; ++chain) {
            openMore(target, m_perTarget / openAtATime + (chain < m_perTarget % openAtATime ? 1 : 0));
        }
    }
    if (m_checksHealth) {
        checkHealth();
    }
}

void ConnectionPool::stop()
{
    m_timer.cancel();
    m_checksHealth = false;
}

std::size_t ConnectionPool::idle() const
{
    std::size_t sum = 0;
    for (const auto &target : m_targets) {
        sum += target.idle.size();
    }
    return sum;
}

std::size_t ConnectionPool::healthyTarget(std::size_t preferred) const
{
    for (std::size_t offset = 0; offset < m_targets.size(); ++offset) {
        const auto index = (preferred + offset) % m_targets.size();
        if (m_targets[index].isHealthy) {
            return index;
        }
    }
    return preferred % m_targets.size();
}

void ConnectionPool::acquire(std::size_t preferred, Handler handler)
{
    tryTarget(healthyTarget(preferred), m_targets.size(), std::move(handler));
}

void ConnectionPool::release(Connection connection, std::size_t target)
{
    auto &idle = m_targets[target].idle;
    if (connection->isOpen() && idle.size() < m_perTarget && m_targets[target].isHealthy) {
        idle.push_back(std::move(connection));
    }
}

void ConnectionPool::openMore(std::size_t target, unsigned remaining)
{
    if (remaining == 0) {
        return;
    }
    // Shared with the handler below, which keeps the connection until it is open.
    auto connection = std::make_shared<Connection>(std::make_unique<HttpConnection>(m_context));
    (*connection)->connect(m_targets[target].address, connectTimeout, [this, connection, target, remaining](std::error_code error) {
        if (!error) {
            m_targets[target].idle.push_back(std::move(*connection));
        }
        openMore(target, remaining - 1);
    });
}

void ConnectionPool::tryTarget(std::size_t target, std::size_t remaining, Handler handler)
{
    auto &idle = m_targets[target].idle;
    while (!idle.empty()) {
        auto connection = std::move(idle.front());
        idle.pop_front();
        if (connection->isOpen()) {
            handler(std::move(connection), target);
            return;
        }
    }
    auto connection = std::make_shared<Connection>(std::make_unique<HttpConnection>(m_context)); // Shared as in openMore().
    (*connection)
        ->connect(m_targets[target].address, connectTimeout, [this, connection, target, remaining, handler = std::move(handler)](std::error_code error) {
            if (!error) {
                handler(std::move(*connection), target);
            } else if (remaining > 1) {
                tryTarget(healthyTarget(target + 1), remaining - 1, handler);
            } else {
                handler(nullptr, target);
            }
        });
}

void ConnectionPool::checkHealth()
{
    for (auto &target : m_targets) {
        probe(target);
    }
    m_timer.expires_after(healthInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && m_checksHealth) {
            checkHealth();
        }
    });
}

void ConnectionPool::probe(Target &target)
{
    if (target.probe.isBusy()) {
        return;
    }
    const auto ask = [this, &target] {
        target.probe.exchange({.target = "/healthz"}, healthTimeout,
                              [this, &target](HttpExchange &&exchange) { mark(target, !exchange.error && exchange.response.status == 200); });
    };
    if (target.probe.isOpen()) {
        ask();
        return;
    }
    target.probe.connect(target.address, healthTimeout, [this, &target, ask](std::error_code error) {
        if (error) {
            mark(target, false);
        } else {
            ask();
        }
    });
}

void ConnectionPool::mark(Target &target, bool isHealthy)
{
    target.isHealthy = isHealthy;
    if (!isHealthy) {
        target.idle.clear();
    }
}

} // namespace waxwing::load
