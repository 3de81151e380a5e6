#include "testing/session_control_bed.h"

#include <waxwing/sessions/session_directory.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace waxwing;
using namespace waxwing::control;
using waxwing::control::testing::SessionControlBed;

class ManyProxiesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ManyProxiesTest);
    CPPUNIT_TEST(controlConfirmsAPrimaryBesideManyProxies);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t connectionLimit = 12;
    static constexpr int proxyCount = 20;

    SessionControlBed m_bed;
    std::map<std::string, std::unique_ptr<SessionDirectory>> m_proxies;

    void addProxies()
    {
        for (int i = 0; i < proxyCount; ++i) {
            SessionDirectory::Options options;
            options.proxy = "p" + std::to_string(i);
            options.failureDomain = "d" + std::to_string(i % 3);
            m_proxies[options.proxy] = std::make_unique<SessionDirectory>(m_bed.context.get_executor(), options);
        }
        m_bed.onProxyMessage = [this](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_grant()) {
                m_proxies.at(proxy)->apply(message.grant(), Clock::now());
            }
        };
    }

    void renewAll()
    {
        for (const auto &[name, directory] : m_proxies) {
            wire::PoolEnvelope message;
            auto &renewal = *message.mutable_renewal();
            renewal.set_sequence(++m_bed.sequence);
            renewal.set_proxy(name);
            renewal.set_incarnation(1);
            renewal.set_link(name + ":1");
            renewal.set_failure_domain(directory->options().failureDomain);
            renewal.set_config_version(directory->configVersion());
            renewal.set_directory_version(directory->directoryVersion());
            m_bed.control.handleMessage(name, message);
        }
    }

    bool everyProxyKnows(const std::string &database)
    {
        return std::all_of(m_proxies.begin(), m_proxies.end(), [&](const auto &item) {
            const auto *service = item.second->service("s");
            return item.second->config() && service != nullptr && service->pools().contains(database);
        });
    }

public:
    // Guards against proxies that take every connection of a database between them, the ones set aside for control included:
    // control then confirms no primary, and every statement is refused (issue 16, 0 of 41,552 requests served on quiet-1).
    void controlConfirmsAPrimaryBesideManyProxies()
    {
        CPPUNIT_ASSERT(m_bed.runUntil([&] { return m_bed.control.isActive(); }));
        bool stored = false;
        m_bed.control.put(
            R"({"version":7,"routes":[{"name":"r1","host":"orders","path_prefix":"/","kind":"primary","timeout_ms":2000,"service":"s"}],)"
            R"("services":[{"name":"s","max_conns":12,"sync_replicas":1}],"limits":{}})",
            [&](SessionControl::PutOutcome outcome, const std::vector<std::string> &) { stored = outcome == SessionControl::PutOutcome::Accepted; });
        CPPUNIT_ASSERT(stored);
        auto &database = m_bed.add("a", false);
        database.setConnectionLimit(connectionLimit);
        database.setPrimary(true);
        addProxies();
        CPPUNIT_ASSERT(m_bed.runUntil([&] {
            renewAll();
            return everyProxyKnows("a");
        }));
        // Each proxy has a statement to run, and keeps its connection while its transaction is open.
        std::vector<std::pair<std::shared_ptr<DatabasePool>, DatabasePool::ConnectionPointer>> held;
        int answered = 0;
        const SessionState session;
        const auto acquire = [&](std::shared_ptr<DatabasePool> pool) -> boost::asio::awaitable<void> {
            auto connection = co_await pool->acquire(session, 0, Clock::now() + 1s);
            if (connection) {
                held.emplace_back(pool, std::move(connection));
            }
            ++answered;
        };
        for (const auto &[name, directory] : m_proxies) {
            boost::asio::co_spawn(m_bed.context, acquire(directory->service("s")->pools().at("a")), boost::asio::detached);
        }
        CPPUNIT_ASSERT(m_bed.runUntil([&] { return answered == proxyCount; }));
        m_bed.beat(database, true, false);
        const bool confirmed = m_bed.runUntil([&] {
            renewAll();
            return m_bed.primary() == "a";
        });
        CPPUNIT_ASSERT_MESSAGE("control can't ask the database for its role", confirmed);
        for (auto &[pool, connection] : held) {
            pool->release(std::move(connection));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManyProxiesTest);
