#include <waxwing/sessions/session_directory.h>
#include <waxwing/state/compression.h>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace waxwing;

class SessionDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionDirectoryTest);
    CPPUNIT_TEST(serviceWithoutPrimaryGetsItsFirstEpoch);
    CPPUNIT_TEST(changesOfAnotherDirectoryExtendNoLease);
    CPPUNIT_TEST(directoryThatIsOnlyNamedExtendsNoLease);
    CPPUNIT_TEST(proxyKnowsThatItIsBehind);
    CPPUNIT_TEST(sameDirectoryOfANewLeaderNeedsNoCopy);
    CPPUNIT_TEST(membersOfControlAreTakenFromEachForm);
    CPPUNIT_TEST_SUITE_END();

    static wire::PoolGrant grantOf(std::uint64_t version, std::uint64_t epoch, const std::string &primary)
    {
        wire::PoolGrant grant;
        grant.set_sequence(version);
        grant.set_lease_ms(60'000);
        grant.set_control_term(1);
        grant.set_directory_version(version);
        grant.set_has_directory(true);
        auto &view = *grant.add_services();
        view.set_service("s");
        view.set_epoch(epoch);
        view.set_primary(primary);
        return grant;
    }

public:
    // Guards against a proxy that never reads under its lease again: the directory named a service before its first primary was
    // recorded, so that its epoch was still 0.
    void serviceWithoutPrimaryGetsItsFirstEpoch()
    {
        boost::asio::io_context context;
        SessionDirectory directory(context.get_executor(), {});
        directory.apply(grantOf(1, 0, ""), Clock::now());
        directory.apply(grantOf(2, 5, "i-1"), Clock::now());
        CPPUNIT_ASSERT(directory.lease().covers("s", 5, Clock::now()));
    }

    // Guards against a lease on a directory that lacks a change of primary: the push with the change was lost.
    void changesOfAnotherDirectoryExtendNoLease()
    {
        boost::asio::io_context context;
        SessionDirectory directory(context.get_executor(), {});
        directory.apply(grantOf(1, 5, "i-1"), Clock::now() - 59s);
        auto changes = grantOf(3, 9, "i-2");
        wire::PoolGrant grant;
        grant.set_sequence(3);
        grant.set_lease_ms(60'000);
        grant.set_control_term(1);
        grant.set_directory_version(3);
        grant.set_base_version(2);
        grant.set_content_hash(33);
        grant.set_compressed_directory(compress(changes.SerializeAsString()));
        const auto before = directory.lease().expiresAt();
        directory.apply(grant, Clock::now());
        CPPUNIT_ASSERT(before == directory.lease().expiresAt());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), directory.directoryVersion());
        grant.set_compressed_directory("damaged");
        grant.set_base_version(1);
        directory.apply(grant, Clock::now());
        CPPUNIT_ASSERT(before == directory.lease().expiresAt());
        grant.set_compressed_directory(compress(changes.SerializeAsString()));
        directory.apply(grant, Clock::now());
        CPPUNIT_ASSERT(directory.lease().covers("s", 9, Clock::now()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), directory.directoryVersion());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(33), directory.contentHash());
    }

    // Guards against reads at a replaced primary: the push with the change of primary was lost after control had counted it as sent, so
    // that the grant which arrives has a lease and the number of the directory only.
    void directoryThatIsOnlyNamedExtendsNoLease()
    {
        boost::asio::io_context context;
        SessionDirectory directory(context.get_executor(), {});
        directory.apply(grantOf(1, 5, "i-1"), Clock::now() - 59s);
        const auto before = directory.lease().expiresAt();
        wire::PoolGrant grant;
        grant.set_sequence(2);
        grant.set_lease_ms(60'000);
        grant.set_control_term(1);
        grant.set_directory_version(2);
        directory.apply(grant, Clock::now());
        CPPUNIT_ASSERT(before == directory.lease().expiresAt());
        directory.apply(grantOf(2, 9, "i-2"), TimePoint());
        directory.apply(grant, Clock::now());
        CPPUNIT_ASSERT(before < directory.lease().expiresAt());
        CPPUNIT_ASSERT(directory.lease().covers("s", 9, Clock::now()));
    }

    // Guards against a proxy that waits a whole renewal interval before control learns that a configuration or directory was lost, and
    // against one that renews ahead of time without need.
    void proxyKnowsThatItIsBehind()
    {
        boost::asio::io_context context;
        SessionDirectory directory(context.get_executor(), {});
        directory.apply(grantOf(1, 5, "i-1"), TimePoint());
        CPPUNIT_ASSERT(!directory.isBehind());
        wire::PoolGrant grant;
        grant.set_control_term(1);
        grant.set_directory_version(2);
        directory.apply(grant, TimePoint());
        CPPUNIT_ASSERT(directory.isBehind());
        directory.apply(grantOf(2, 5, "i-1"), TimePoint());
        CPPUNIT_ASSERT(!directory.isBehind());
        grant.set_config_version(7);
        directory.apply(grant, TimePoint());
        CPPUNIT_ASSERT(directory.isBehind());
        grant.set_document(R"({"version":7,"routes":[],"services":[],"limits":{}})");
        directory.apply(grant, TimePoint());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), directory.configVersion());
        CPPUNIT_ASSERT(!directory.isBehind());
    }

    // Guards against a copy of the directory for each proxy after each election, and against a lease on a directory that is another one.
    void sameDirectoryOfANewLeaderNeedsNoCopy()
    {
        boost::asio::io_context context;
        SessionDirectory directory(context.get_executor(), {});
        auto first = grantOf(1, 5, "i-1");
        first.set_content_hash(11);
        directory.apply(first, Clock::now() - 59s);
        const auto before = directory.lease().expiresAt();
        wire::PoolGrant grant;
        grant.set_sequence(2);
        grant.set_lease_ms(60'000);
        grant.set_control_term(2);
        grant.set_directory_version(std::uint64_t(2) << 32 | 1);
        grant.set_same_directory(true);
        grant.set_content_hash(12);
        directory.apply(grant, Clock::now());
        CPPUNIT_ASSERT(before == directory.lease().expiresAt());
        grant.set_content_hash(11);
        directory.apply(grant, Clock::now());
        CPPUNIT_ASSERT(before < directory.lease().expiresAt());
        CPPUNIT_ASSERT_EQUAL(grant.directory_version(), directory.directoryVersion());
    }

    // Guards against a proxy that loses control when the members named in its settings have been replaced: it takes the members from
    // a plain directory only, and not from compressed ones.
    void membersOfControlAreTakenFromEachForm()
    {
        boost::asio::io_context context;
        SessionDirectory directory(context.get_executor(), {});
        auto plain = grantOf(1, 5, "i-1");
        plain.add_control("c1:7000");
        directory.apply(plain, Clock::now());
        CPPUNIT_ASSERT(directory.controlMembers() == std::vector<std::string> {"c1:7000"});
        wire::PoolGrant changes;
        changes.add_control("c2:7000");
        changes.add_control("c3:7000");
        wire::PoolGrant grant;
        grant.set_control_term(1);
        grant.set_directory_version(2);
        grant.set_base_version(1);
        grant.set_compressed_directory(compress(changes.SerializeAsString()));
        directory.apply(grant, Clock::now());
        CPPUNIT_ASSERT(directory.controlMembers() == (std::vector<std::string> {"c2:7000", "c3:7000"}));
        plain.set_control_term(0);
        plain.set_directory_version(3);
        directory.apply(plain, Clock::now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), directory.controlMembers().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionDirectoryTest);
