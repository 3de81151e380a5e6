#include "session_settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

using namespace waxwing;

class SessionSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionSettingsTest);
    CPPUNIT_TEST(nameThatBreaksALineIsRefused);
    CPPUNIT_TEST(addressLimitLeavesRoomForLoadBalancers);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        std::filesystem::remove(m_path);
    }

    // Guards against a name whose blanks or line ends become fields or lines of what the proxy sends to databases.
    void nameThatBreaksALineIsRefused()
    {
        CPPUNIT_ASSERT(load("proxy-1").errors.empty());
        CPPUNIT_ASSERT(load("S\xc3\xa3o-1").errors.empty());
        for (const std::string name : {"", "proxy 1", "proxy\\r\\nQUERY - DISCARD", "proxy\\t1", "proxy\\u0000", "proxy\\u007f"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t(1), load(name).errors.size());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), load(std::string(257, 'a')).errors.size());
    }

    // Guards against a proxy that refuses ordinary sessions because a load balancer gives them all one address.
    void addressLimitLeavesRoomForLoadBalancers()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1'750), load("proxy-1").limits.sessionsPerAddress);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1'000), load("proxy-1", "files = 1900\n").limits.sessionsPerAddress);
        CPPUNIT_ASSERT_EQUAL(std::size_t(64) << 20, load("proxy-1", "memory_mb = 128\n").limits.memory);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), load("proxy-1", "memory_mb = 8\n").errors.size());
    }

private:
    SessionSettings load(const std::string &name, const std::string &limits = {}) const
    {
        std::ofstream(m_path) << "[sessions]\n"
                                 "name = \""
                              << name
                              << "\"\n"
                                 "failure_domain = \"z\"\n"
                                 "listen = \"127.0.0.1:1\"\n"
                                 "ready = \"127.0.0.1:2\"\n"
                                 "[limits]\n"
                              << limits
                              << "[control]\n"
                                 "seeds = [\"127.0.0.1:3\"]\n";
        return SessionSettings::load(m_path.string());
    }

    std::filesystem::path m_path = std::filesystem::temp_directory_path() / ("waxwing-session-settings-" + std::to_string(::getpid()) + ".toml");
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionSettingsTest);
