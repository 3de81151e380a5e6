#include "session_control_settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

using namespace waxwing::control;

class SessionControlSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionControlSettingsTest);
    CPPUNIT_TEST(lossesToBearAreRead);
    CPPUNIT_TEST(lossesOutOfRangeAreRefusedWithFileAndLine);
    CPPUNIT_TEST(fencingMustBeStated);
    CPPUNIT_TEST(nameThatBreaksALineIsRefused);
    CPPUNIT_TEST(linkAddressReplacesTheListeningAddressForOthers);
    CPPUNIT_TEST(linkAddressOfAnotherHostIsRefused);
    CPPUNIT_TEST(limitsAreRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        std::filesystem::remove(m_path);
    }

    // Guards against a deployment whose number of losses never reaches the replicated log.
    void lossesToBearAreRead()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), load("").lossesToBear);
        const auto settings = load("losses_to_bear = 2\n");
        CPPUNIT_ASSERT(settings.errors.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), settings.lossesToBear);
    }

    // Guards against a number of losses that no deployment can have members for.
    void lossesOutOfRangeAreRefusedWithFileAndLine()
    {
        const auto settings = load("losses_to_bear = 9\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), settings.errors.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(settings.errors.front(), std::size_t(0), settings.errors.front().find(m_path.string() + ":8:"));
        CPPUNIT_ASSERT(settings.errors.front().find("control.losses_to_bear") != std::string::npos);
    }

    // Guards against trust in fencing tokens that the platform does not check.
    void fencingMustBeStated()
    {
        CPPUNIT_ASSERT(!load("").ordersAreFenced);
        CPPUNIT_ASSERT(load("orders_are_fenced = true\n").ordersAreFenced);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), load("orders_are_fenced = \"yes\"\n").errors.size());
        CPPUNIT_ASSERT(load("late_order_limit_s = 20\n").lateOrderLimit == std::chrono::seconds(20));
    }

    // Guards against a name whose blanks or line ends become fields or lines of what control sends to databases, or headers of its
    // orders.
    void nameThatBreaksALineIsRefused()
    {
        CPPUNIT_ASSERT(load("", "control-1").errors.empty());
        for (const std::string name : {"", "control 1", "control\\r\\nFencing-Token: 9", "control\\u0000"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t(1), load("", name).errors.size());
        }
    }

    // Guards against members that tell others the address on which they listen instead of the one under which they are reached.
    void linkAddressReplacesTheListeningAddressForOthers()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.2:2"), load("").linkOf("127.0.0.2:1"));
        const auto settings = load("link_address = \"127.0.0.1:3\"\n");
        CPPUNIT_ASSERT(settings.errors.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:3"), settings.announcedLink);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.2:3"), settings.linkOf("127.0.0.2:1"));
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.2:1"), settings.httpOf("127.0.0.2:3"));
    }

    // Guards against a member whose HTTP address others can't derive from its link address.
    void linkAddressOfAnotherHostIsRefused()
    {
        const auto settings = load("link_address = \"127.0.0.9:3\"\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), settings.errors.size());
        CPPUNIT_ASSERT(settings.errors.front().find("control.link_address") != std::string::npos);
        CPPUNIT_ASSERT(!load("link_address = 3\n").errors.empty());
    }

    // Guards against a memory limit that never reaches the HTTP server, or one in which a configuration of 4 MiB has no room.
    void limitsAreRead()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(256), load("").memoryMb);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1'000), load("").maxHttpConnections);
        const auto settings = load("[limits]\nmemory_mb = 512\nconnections = 16\n");
        CPPUNIT_ASSERT(settings.errors.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(512), settings.memoryMb);
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), settings.maxHttpConnections);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), load("[limits]\nmemory_mb = 63\n").errors.size());
    }

private:
    SessionControlSettings load(const std::string &line, const std::string &name = "a") const
    {
        std::ofstream(m_path) << "[control]\n"
                                 "name = \""
                              << name
                              << "\"\n"
                                 "failure_domain = \"z\"\n"
                                 "http = \"127.0.0.1:1\"\n"
                                 "link = \"127.0.0.1:2\"\n"
                                 "data = \"data\"\n"
                                 "seeds = [\"127.0.0.1:1\"]\n"
                              << line;
        return SessionControlSettings::load(m_path.string());
    }

    std::filesystem::path m_path = std::filesystem::temp_directory_path() / ("waxwing-control-settings-" + std::to_string(getpid()) + ".toml");
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionControlSettingsTest);
