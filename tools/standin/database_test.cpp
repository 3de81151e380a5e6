#include "database.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing::standin;

class DatabaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DatabaseTest);
    CPPUNIT_TEST(lowerOrEqualTermIsNotPromoted);
    CPPUNIT_TEST(divergedTailIsFoundAndTruncated);
    CPPUNIT_TEST(lateReplicaKeepsItsOldTerm);
    CPPUNIT_TEST_SUITE_END();

    static void copy(const Database &from, Database &to)
    {
        const auto entries = from.entriesAfter(to.position(), 100);
        for (const auto &entry : std::vector(entries.begin(), entries.end())) {
            to.replicate(entry);
        }
        to.adoptTerms(from.terms());
    }

public:
    // Guards against two primaries of one term.
    void lowerOrEqualTermIsNotPromoted()
    {
        Database database;
        CPPUNIT_ASSERT(database.follow(3));
        CPPUNIT_ASSERT(!database.promote(3));
        CPPUNIT_ASSERT(!database.promote(2));
        CPPUNIT_ASSERT(database.promote(4));
        CPPUNIT_ASSERT(database.promote(4));
        CPPUNIT_ASSERT(!database.follow(4));
    }

    // Guards against a follower that keeps writes which the new primary never had.
    void divergedTailIsFoundAndTruncated()
    {
        Database old;
        Database next;
        old.promote(1);
        next.follow(1);
        old.write({.key = "a", .value = "1"});
        copy(old, next);
        old.write({.key = "a", .value = "lost"});
        next.promote(2);
        next.write({.key = "b", .value = "2"});
        old.follow(2);
        const auto common = next.commonPosition(old.runs(), old.position());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), common);
        old.truncate(common);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), old.value("a"));
        copy(next, old);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), old.value("b"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), old.term());
    }

    // Guards against promoting a short log over a longer one because it already reports the newer term.
    void lateReplicaKeepsItsOldTerm()
    {
        Database primary;
        primary.promote(1);
        primary.write({.key = "a", .value = "1"});
        primary.promote(2);
        Database late;
        late.follow(2);
        late.adoptTerms(primary.terms());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), late.term());
        copy(primary, late);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), late.term());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseTest);
