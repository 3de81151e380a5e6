#include <waxwing/coordination/fair_queue_tags.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

using namespace waxwing;

class FairQueueTagsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueTagsTest);
    CPPUNIT_TEST(longQueueOfOneWorkspaceDelaysNoOther);
    CPPUNIT_TEST(idleWorkspaceSavesNothingUp);
    CPPUNIT_TEST(oneWorkspaceIsServedInOrderOfArrival);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a workspace with a hundred queued statements making another one wait for all of them.
    void longQueueOfOneWorkspaceDelaysNoOther()
    {
        FairQueueTags tags;
        std::multimap<std::uint64_t, std::string> queue;
        for (int i = 0; i < 100; ++i) {
            queue.emplace(tags.next("hot"), "hot");
        }
        for (int i = 0; i < 3; ++i) {
            queue.emplace(tags.next("small"), "small");
        }
        std::size_t servedOfSmall = 0;
        for (int i = 0; i < 6; ++i) {
            const auto first = queue.begin();
            tags.serve(first->first);
            servedOfSmall += first->second == "small" ? 1 : 0;
            queue.erase(first);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), servedOfSmall);
    }

    // Guards against a workspace that was idle being served alone for as long as it had been idle.
    void idleWorkspaceSavesNothingUp()
    {
        FairQueueTags tags;
        for (int i = 0; i < 50; ++i) {
            tags.serve(tags.next("busy"));
        }
        const auto busy = tags.next("busy");
        const auto returning = tags.next("idle");
        CPPUNIT_ASSERT(returning + 1 >= busy);
    }

    // Guards against another order of service where a deployment has no workspaces.
    void oneWorkspaceIsServedInOrderOfArrival()
    {
        FairQueueTags tags;
        auto last = tags.next("");
        for (int i = 0; i < 10; ++i) {
            const auto tag = tags.next("");
            CPPUNIT_ASSERT(tag > last);
            last = tag;
        }
        tags.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tags.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTagsTest);
