#include <waxwing/coordination/pool_directory.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

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
    CPPUNIT_TEST(reorderedHeartbeatIsIgnored);
    CPPUNIT_TEST(lateHeartbeatDoesNotReplaceSuccessor);
    CPPUNIT_TEST(lateHeartbeatDoesNotAddDeregisteredDatabase);
    CPPUNIT_TEST(silentDatabaseIsRemoved);
    CPPUNIT_TEST(everNewIdsAreLimited);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a late heartbeat that resets `draining`, and against ignoring the first heartbeat after a restart.
    void reorderedHeartbeatIsIgnored()
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

    // Guards against a crashed database that replaces its successor: its last heartbeat arrives after the successor's first.
    void lateHeartbeatDoesNotReplaceSuccessor()
    {
        PoolDirectory directory;
        directory.applyHeartbeat(member("old", "x", 10, 5), TimePoint(1s));
        CPPUNIT_ASSERT(directory.applyHeartbeat(member("new", "x", 20, 1), TimePoint(1s)));
        CPPUNIT_ASSERT(directory.find("old") == nullptr);
        CPPUNIT_ASSERT(!directory.applyHeartbeat(member("old", "x", 10, 6), TimePoint(1s)));
        CPPUNIT_ASSERT(directory.find("old") == nullptr);
    }

    // Guards against new statements for a deregistered database: its last heartbeat arrives after it has deregistered.
    void lateHeartbeatDoesNotAddDeregisteredDatabase()
    {
        PoolDirectory directory;
        directory.applyHeartbeat(member("a", "x", 10, 5), TimePoint(1s));
        CPPUNIT_ASSERT(directory.deregister("a"));
        CPPUNIT_ASSERT(!directory.applyHeartbeat(member("a", "x", 10, 6), TimePoint(1s)));
        CPPUNIT_ASSERT(directory.applyHeartbeat(member("a", "x", 11, 1), TimePoint(1s)));
    }

    // Guards against crashed databases that stay in the directory without a time limit.
    void silentDatabaseIsRemoved()
    {
        PoolDirectory directory({.expiry = 3s});
        directory.applyHeartbeat(member("a", "x", 10, 5), TimePoint(1s));
        CPPUNIT_ASSERT(directory.expire(TimePoint(3s)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.expire(TimePoint(4s)).size());
        CPPUNIT_ASSERT(directory.members("s").empty());
    }

    // Guards against a directory that exhausts the memory of control because another writer sends heartbeats of ever new ids, and
    // against shutting out the known databases or those of other services then.
    void everNewIdsAreLimited()
    {
        constexpr std::size_t limit = 8;
        PoolDirectory directory({.expiry = 3s, .maxPerService = limit, .maxDatabases = limit + 1});
        CPPUNIT_ASSERT(directory.applyHeartbeat(member("a", "x", 10, 1), TimePoint(1s)));
        for (std::size_t i = 0; i < 1'000; ++i) {
            directory.applyHeartbeat(member("odd-" + std::to_string(i), "y" + std::to_string(i), 10, 1), TimePoint(1s));
        }
        CPPUNIT_ASSERT_EQUAL(limit, directory.entries().size());
        CPPUNIT_ASSERT(directory.applyHeartbeat(member("a", "x", 11, 1), TimePoint(2s)));
        CPPUNIT_ASSERT(directory.applyHeartbeat(member("successor", "y0", 11, 1), TimePoint(2s)));
        CPPUNIT_ASSERT_EQUAL(limit, directory.entries().size());
        auto other = member("b", "z", 10, 1);
        other.set_service("t");
        CPPUNIT_ASSERT(directory.applyHeartbeat(other, TimePoint(2s)));
        other.set_id("c");
        other.set_address("zz");
        CPPUNIT_ASSERT(!directory.hasRoomFor(other));
        CPPUNIT_ASSERT(!directory.applyHeartbeat(other, TimePoint(2s)));
        directory.expire(TimePoint(4s));
        CPPUNIT_ASSERT(directory.applyHeartbeat(other, TimePoint(4s)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolDirectoryTest);
