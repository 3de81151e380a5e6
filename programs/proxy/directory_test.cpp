#include "directory.h"
#include "directory_file.h"
#include "proxy_settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

using namespace waxwing;

class DirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryTest);
    CPPUNIT_TEST(versionsOnlyRise);
    CPPUNIT_TEST(grantsOfAFormerLeaderAreIgnored);
    CPPUNIT_TEST(restartKeepsTheConfigurationButNoOwnership);
    CPPUNIT_TEST(damagedFileIsNotUsed);
    CPPUNIT_TEST(unknownSettingIsRefused);
    CPPUNIT_TEST_SUITE_END();

    std::string m_folder;

    static wire::Grant grant(std::uint64_t controlTerm, std::uint64_t version, const std::string &group, std::uint64_t term)
    {
        wire::Grant grant;
        grant.set_control_term(controlTerm);
        grant.set_config_version(version);
        grant.set_directory_version(version);
        auto &service = *grant.add_resources();
        service.set_kind("service");
        service.set_name("shop");
        service.set_version(version);
        service.set_spec_json(R"({"group":")" + group + R"("})");
        auto &directory = *grant.add_groups();
        directory.set_group(group);
        directory.set_term(term);
        directory.set_owner("a");
        return grant;
    }

public:
    void setUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "waxwing-directory-XXXXXX").string();
        m_folder = ::mkdtemp(pattern.data());
    }

    void tearDown() override
    {
        std::filesystem::remove_all(m_folder);
    }

    // Guards against a configuration change that is undone by a message that was delayed.
    void versionsOnlyRise()
    {
        Directory directory;
        directory.apply(grant(1, 5, "orders", 2));
        directory.apply(grant(1, 4, "ledger", 9));
        CPPUNIT_ASSERT_EQUAL(std::string("orders"), directory.service("shop")->group);
        CPPUNIT_ASSERT(directory.group("ledger") == nullptr);
        directory.apply(grant(1, 6, "orders", 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), directory.group("orders")->term());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), directory.configVersion());
    }

    // Guards against a control leader that was replaced and still publishes owners.
    void grantsOfAFormerLeaderAreIgnored()
    {
        Directory directory;
        directory.apply(grant(2, 5, "orders", 2));
        CPPUNIT_ASSERT(directory.apply(grant(1, 9, "ledger", 9)).isStale);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), directory.configVersion());
    }

    // Guards against a proxy that acts as owner after a restart although its group went to another.
    void restartKeepsTheConfigurationButNoOwnership()
    {
        Directory directory;
        directory.apply(grant(3, 7, "orders", 4));
        CPPUNIT_ASSERT(storeDirectory(m_folder, directory.full()));
        const auto stored = loadDirectory(m_folder);
        CPPUNIT_ASSERT(stored.has_value());
        Directory restarted;
        restarted.restore(*stored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), restarted.configVersion());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), restarted.directoryVersion());
        CPPUNIT_ASSERT_EQUAL(std::string("orders"), restarted.service("shop")->group);
        CPPUNIT_ASSERT_EQUAL(std::string(), restarted.group("orders")->owner());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), restarted.group("orders")->term());
    }

    // Guards against a configuration that was never received, read from a torn file.
    void damagedFileIsNotUsed()
    {
        Directory directory;
        directory.apply(grant(1, 7, "orders", 4));
        CPPUNIT_ASSERT(storeDirectory(m_folder, directory.full()));
        std::filesystem::resize_file(m_folder + "/directory.bin", std::filesystem::file_size(m_folder + "/directory.bin") - 1);
        CPPUNIT_ASSERT(!loadDirectory(m_folder).has_value());
    }

    // Guards against a misspelt key of the settings file that silently keeps its default.
    void unknownSettingIsRefused()
    {
        std::ofstream(m_folder + "/proxy.toml")
            << "[proxy]\nname = \"a:b\"\nfailure_domain = \"fd1\"\nlisten = \"127.0.0.1\"\nlink_listen = \"127.0.0.1:2\"\n"
               "data_folder = \"/tmp\"\n[control]\naddresses = [\"127.0.0.1:3\"]\n[keys]\nsession = \"k\"\n[drain]\nnotice = 1\n";
        const auto loaded = loadProxySettings(m_folder + "/proxy.toml");
        std::string all;
        for (const auto &error : loaded.errors) {
            all += error + "\n";
        }
        CPPUNIT_ASSERT_MESSAGE(all, all.find("drain.notice: unknown key") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(all, all.find("proxy.name: must be") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(all, all.find("proxy.listen: \"127.0.0.1\" is not of the form IP:port") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);
