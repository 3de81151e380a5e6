#include <waxwing/coordination/failure_detector.h>
#include <waxwing/wire/waxwing.pb.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class FailureDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FailureDetectorTest);
    CPPUNIT_TEST(oneFailureDomainIsNotEnough);
    CPPUNIT_TEST(allProxiesAreNeededInOneDomain);
    CPPUNIT_TEST(announcedPrimaryNeedsRefusedConnections);
    CPPUNIT_TEST(evidenceOfOtherTermOrOldEvidenceDoesNotCount);
    CPPUNIT_TEST_SUITE_END();

    FailureDetector m_detector;
    TimePoint m_now = TimePoint(100s);
    std::vector<LiveProxy> m_live {{"p1", "fd1"}, {"p2", "fd2"}, {"p3", "fd1"}};

    void report(const std::string &proxy, const std::string &domain, bool refused = false, std::uint64_t term = 1)
    {
        wire::Evidence evidence;
        evidence.set_group("g");
        evidence.set_database("a");
        evidence.set_term(term);
        evidence.set_refused(refused);
        const wire::Evidence *const item = &evidence;
        m_detector.report(proxy, domain, {&item, 1}, m_now);
    }

    bool suspects(std::optional<TimePoint> lastAnnouncement = std::nullopt) const
    {
        return m_detector.suspects({"g", "a", 1, lastAnnouncement}, m_live, m_now);
    }

public:
    // Guards against a needless promotion: one failure domain is cut off from the primary, which still serves the others.
    void oneFailureDomainIsNotEnough()
    {
        report("p1", "fd1", true);
        report("p3", "fd1", true);
        CPPUNIT_ASSERT(!suspects());
        report("p2", "fd2", true);
        CPPUNIT_ASSERT(suspects());
        m_detector.report("p2", "fd2", {}, m_now); // the proxy can reach the primary again
        CPPUNIT_ASSERT(!suspects());
    }

    // Guards against a failed primary that is never replaced because all live proxies are in one failure domain.
    void allProxiesAreNeededInOneDomain()
    {
        m_live = {{"p1", "fd1"}, {"p3", "fd1"}};
        report("p1", "fd1");
        CPPUNIT_ASSERT(!suspects());
        report("p3", "fd1");
        CPPUNIT_ASSERT(suspects());
    }

    // Guards against a needless promotion: connections to a slow primary time out, but its announcements still arrive.
    void announcedPrimaryNeedsRefusedConnections()
    {
        report("p1", "fd1");
        report("p2", "fd2");
        CPPUNIT_ASSERT(!suspects(m_now - 1s));
        CPPUNIT_ASSERT(suspects(m_now - 2s));
        report("p1", "fd1", true);
        CPPUNIT_ASSERT(!suspects(m_now - 1s));
        report("p2", "fd2", true);
        CPPUNIT_ASSERT(suspects(m_now - 1s));
    }

    // Guards against a second promotion because of reports about the former primary, in an earlier term or outdated.
    void evidenceOfOtherTermOrOldEvidenceDoesNotCount()
    {
        report("p1", "fd1", true);
        report("p2", "fd2", true, 2);
        CPPUNIT_ASSERT(!suspects());
        report("p2", "fd2", true);
        m_now += 1s;
        CPPUNIT_ASSERT(!suspects());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureDetectorTest);
