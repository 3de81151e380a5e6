#include "testing/session_control_fixture.h"

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
using waxwing::control::testing::SessionControlFixture;

class ManyProxiesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ManyProxiesTest);
    CPPUNIT_TEST(controlConfirmsThePrimaryDespiteManyProxies);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t connectionLimit = 12;
    static constexpr int proxyCount = 20;

    SessionControlFixture m_fixture;
    std::map<std::string, std::unique_ptr<SessionDirectory>> m_proxies;

    void addProxies()
    {
        for (int i = 0; i < proxyCount; ++i) {
            SessionDirectory::Options options;
            options.proxy = "p" + std::to_string(i);
            options.failureDomain = "d" + std::to_string(i % 3);
            m_proxies[options.proxy] = std::make_unique<SessionDirectory>(m_fixture.context.get_executor(), options);
        }
        m_fixture.onProxyMessage = [this](const std::string &proxy, const wire::PoolEnvelope &message) {
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
            renewal.set_sequence(++m_fixture.sequence);
            renewal.set_proxy(name);
            renewal.set_incarnation(1);
            renewal.set_link(name + ":1");
            renewal.set_failure_domain(directory->options().failureDomain);
            renewal.set_config_version(directory->configVersion());
            renewal.set_directory_version(directory->directoryVersion());
            m_fixture.control.handleMessage(name, message);
        }
    }

    bool everyProxyHasAPoolFor(const std::string &database)
    {
        return std::all_of(m_proxies.begin(), m_proxies.end(), [&](const auto &item) {
            const auto *service = item.second->service("s");
            return item.second->config() && service != nullptr && service->pools().contains(database);
        });
    }

public:
    // Guards against many proxies that together open every connection of a database, including those reserved for control:
    // control then can't confirm a primary, and every statement is refused.
    void controlConfirmsThePrimaryDespiteManyProxies()
    {
        CPPUNIT_ASSERT(m_fixture.runUntil([&] { return m_fixture.control.isActive(); }));
        bool stored = false;
        m_fixture.control.storeConfig(
            R"({"version":7,"routes":[{"name":"r1","host":"orders","path_prefix":"/","kind":"primary","timeout_ms":2000,"service":"s"}],)"
            R"("services":[{"name":"s","max_conns":12,"sync_replicas":1}],"limits":{}})",
            [&](SessionControl::StoreOutcome outcome, const std::vector<std::string> &) { stored = outcome == SessionControl::StoreOutcome::Accepted; });
        CPPUNIT_ASSERT(stored);
        auto &database = m_fixture.addDatabase("a", false);
        database.setConnectionLimit(connectionLimit);
        database.setPrimary(true);
        addProxies();
        CPPUNIT_ASSERT(m_fixture.runUntil([&] {
            renewAll();
            return everyProxyHasAPoolFor("a");
        }));
        // Each proxy acquires a connection and keeps it, as it would for an open transaction.
        std::vector<std::pair<std::shared_ptr<DatabasePool>, DatabasePool::ConnectionPointer>> heldConnections;
        int finishedAcquisitions = 0;
        const SessionState session;
        const auto acquire = [&](std::shared_ptr<DatabasePool> pool) -> boost::asio::awaitable<void> {
            auto connection = co_await pool->acquire(session, std::string(), 0, Clock::now() + 1s);
            if (connection) {
                heldConnections.emplace_back(pool, std::move(connection));
            }
            ++finishedAcquisitions;
        };
        for (const auto &[name, directory] : m_proxies) {
            boost::asio::co_spawn(m_fixture.context, acquire(directory->service("s")->pools().at("a")), boost::asio::detached);
        }
        CPPUNIT_ASSERT(m_fixture.runUntil([&] { return finishedAcquisitions == proxyCount; }));
        m_fixture.sendHeartbeat(database, true, false);
        const bool confirmed = m_fixture.runUntil([&] {
            renewAll();
            return m_fixture.primary() == "a";
        });
        CPPUNIT_ASSERT_MESSAGE("control did not confirm the primary a within 10 s while proxies held its connections", confirmed);
        for (auto &[pool, connection] : heldConnections) {
            pool->release(std::move(connection));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManyProxiesTest);
