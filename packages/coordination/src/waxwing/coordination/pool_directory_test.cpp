#include <waxwing/coordination/pool_directory.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

namespace
{

wire::PoolMember member(const std::string &id, const std::string &address, std::uint64_t born, std::uint64_t sequence)
{
    wire::PoolMember member;
    member.set_id(id);
    member.set_service("s");
    member.set_address(address);
    member.set_born_ms(born);
    member.set_sequence(sequence);
    return member;
}

} // namespace

class PoolDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PoolDirectoryTest);
    CPPUNIT_TEST(overtakenHeartbeatChangesNothing);
    CPPUNIT_TEST(lateHeartbeatDoesNotTakeTheAddressBack);
    CPPUNIT_TEST(databaseThatLeftDoesNotReturnByALateHeartbeat);
    CPPUNIT_TEST(silentDatabaseIsRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a late heartbeat that undoes `draining`, and takes a restart for a late one.
    void overtakenHeartbeatChangesNothing()
    {
        PoolDirectory directory;
        auto draining = member("a", "x", 10, 5);
        draining.set_draining(true);
        CPPUNIT_ASSERT(directory.applyHeartbeat(draining, TimePoint(1s)));
        CPPUNIT_ASSERT(!directory.applyHeartbeat(member("a", "x", 10, 4), TimePoint(1s)));
        CPPUNIT_ASSERT(directory.find("a")->member.draining());
        CPPUNIT_ASSERT(directory.applyHeartbeat(member("a", "x", 11, 1), TimePoint(1s)));
        CPPUNIT_ASSERT(!directory.find("a")->member.draining());
    }

    // Guards against requests to a database that crashed and whose address another one uses.
    void lateHeartbeatDoesNotTakeTheAddressBack()
    {
        PoolDirectory directory;
        directory.applyHeartbeat(member("old", "x", 10, 5), TimePoint(1s));
        CPPUNIT_ASSERT(directory.applyHeartbeat(member("new", "x", 20, 1), TimePoint(1s)));
        CPPUNIT_ASSERT(directory.find("old") == nullptr);
        CPPUNIT_ASSERT(!directory.applyHeartbeat(member("old", "x", 10, 6), TimePoint(1s)));
        CPPUNIT_ASSERT(directory.find("old") == nullptr);
    }

    // Guards against new work for a database that has deregistered.
    void databaseThatLeftDoesNotReturnByALateHeartbeat()
    {
        PoolDirectory directory;
        directory.applyHeartbeat(member("a", "x", 10, 5), TimePoint(1s));
        CPPUNIT_ASSERT(directory.deregister("a"));
        CPPUNIT_ASSERT(!directory.applyHeartbeat(member("a", "x", 10, 6), TimePoint(1s)));
        CPPUNIT_ASSERT(directory.applyHeartbeat(member("a", "x", 11, 1), TimePoint(1s)));
    }

    // Guards against a directory that keeps databases which crashed for good.
    void silentDatabaseIsRemoved()
    {
        PoolDirectory directory({.expiry = 3s});
        directory.applyHeartbeat(member("a", "x", 10, 5), TimePoint(1s));
        CPPUNIT_ASSERT(directory.expire(TimePoint(3s)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.expire(TimePoint(4s)).size());
        CPPUNIT_ASSERT(directory.members("s").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolDirectoryTest);
