#include <waxwing/coordination/directory_publisher.h>
#include <waxwing/coordination/endpoint_directory.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class EndpointDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointDirectoryTest);
    CPPUNIT_TEST(delayedAnnouncementDoesNotRevertNewerState);
    CPPUNIT_TEST(silentEndpointExpires);
    CPPUNIT_TEST(publisherSendsChangesOrWholeDirectoryAfterChangeOfLeader);
    CPPUNIT_TEST_SUITE_END();

    EndpointDirectory m_directory;
    TimePoint m_now = TimePoint(100s);

    bool announce(std::uint64_t term, bool leaving, std::uint64_t position = 1)
    {
        wire::Announcement announcement;
        announcement.set_database("a");
        announcement.set_group("g");
        announcement.set_term(term);
        announcement.set_leaving(leaving);
        announcement.set_position(position);
        return m_directory.announce(announcement, m_now);
    }

public:
    // Guards against an outdated state of an endpoint, such as not leaving: a slow proxy delivers an older announcement last.
    void delayedAnnouncementDoesNotRevertNewerState()
    {
        CPPUNIT_ASSERT(announce(1, false));
        CPPUNIT_ASSERT(!announce(1, false, 2));
        CPPUNIT_ASSERT(announce(1, true));
        CPPUNIT_ASSERT(!announce(1, false));
        CPPUNIT_ASSERT(announce(2, false));
        CPPUNIT_ASSERT(!announce(1, false));
        m_now += 1'500ms; // an endpoint that has lost its data returns with a lower term
        CPPUNIT_ASSERT(announce(1, false));
    }

    // Guards against endpoints that receive statements although their announcements have stopped.
    void silentEndpointExpires()
    {
        announce(1, false);
        m_now += 5s - 1ns;
        CPPUNIT_ASSERT(m_directory.expire(m_now).empty());
        m_now += 1ns;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_directory.expire(m_now).size());
        CPPUNIT_ASSERT(m_directory.member("g", "a") == nullptr);
    }

    // Guards against proxies that miss a change because their version, from an earlier leader, is compared to the current one.
    void publisherSendsChangesOrWholeDirectoryAfterChangeOfLeader()
    {
        DirectoryPublisher publisher;
        publisher.reset(3);
        wire::GroupDirectory group;
        group.set_group("g");
        CPPUNIT_ASSERT(publisher.update(group) && !publisher.update(group));
        const auto seen = publisher.version();
        group.set_group("h");
        publisher.update(group);
        wire::Grant delta;
        publisher.fill(seen, delta);
        CPPUNIT_ASSERT(!delta.directory_full() && delta.groups_size() == 1 && delta.groups(0).group() == "h");
        wire::Grant full;
        publisher.fill((std::uint64_t(2) << 32) + 100, full);
        CPPUNIT_ASSERT(full.directory_full() && full.groups_size() == 2);
        publisher.remove("g");
        wire::Grant removal;
        publisher.fill(delta.directory_version(), removal);
        CPPUNIT_ASSERT(removal.groups_size() == 1 && removal.groups(0).deleted());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointDirectoryTest);
