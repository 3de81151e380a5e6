#include <waxwing/sessions/session_directory.h>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace waxwing;

class SessionDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionDirectoryTest);
    CPPUNIT_TEST(serviceWithoutPrimaryGetsItsFirstEpoch);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionDirectoryTest);
