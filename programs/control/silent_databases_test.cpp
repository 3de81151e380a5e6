#include "silent_databases.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace waxwing;
using namespace waxwing::control;

class SilentDatabasesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentDatabasesTest);
    CPPUNIT_TEST(databasesAreDroppedAfterTheRetention);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against memory that grows with each database that was ever replaced or named by another writer.
    void databasesAreDroppedAfterTheRetention()
    {
        SilentDatabases databases;
        for (int i = 0; i < 1'000; ++i) {
            const TimePoint now = TimePoint(1s) + i * 8s;
            PoolDirectory::Entry entry;
            entry.member.set_id("i-" + std::to_string(i));
            entry.lastHeartbeat = now - 8s;
            databases.add(entry, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), databases.entries().size());
        CPPUNIT_ASSERT(databases.entries().contains("i-993"));
        CPPUNIT_ASSERT(!databases.entries().contains("i-992"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentDatabasesTest);
