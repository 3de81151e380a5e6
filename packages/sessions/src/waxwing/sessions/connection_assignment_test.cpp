#include <waxwing/sessions/connection_assignment.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;
using namespace waxwing::connection_assignment;

class ConnectionAssignmentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionAssignmentTest);
    CPPUNIT_TEST(connectionServesItsWorkspaceOnly);
    CPPUNIT_TEST(connectionIsReusedForItsWorkspaceSoonAfterTheFirst);
    CPPUNIT_TEST(busyWorkspaceDoesNotKeepConnectionsFromTheOthers);
    CPPUNIT_TEST(higherPriorityIsNeverPassedOver);
    CPPUNIT_TEST(workspaceWithMostIdleConnectionsGivesOneUp);
    CPPUNIT_TEST(eachWaitingStatementGetsOneOpening);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a statement that a database attributes to another workspace.
    void connectionServesItsWorkspaceOnly()
    {
        const std::vector<Waiting> waiting {{"a", 0, 0}, {"b", 0, 0}};
        CPPUNIT_ASSERT(!chooseWaiting(waiting, "c"));
        CPPUNIT_ASSERT(!chooseWaiting(waiting, ""));
        CPPUNIT_ASSERT(chooseWaiting(std::vector<Waiting> {{std::nullopt, 0, 0}}, "c") == std::size_t(0));
    }

    // Guards against closing and opening a connection for each statement while two workspaces take turns.
    void connectionIsReusedForItsWorkspaceSoonAfterTheFirst()
    {
        const std::vector<Waiting> waiting {{"a", 0, 7}, {"b", 0, 8}};
        CPPUNIT_ASSERT(chooseWaiting(waiting, "b") == std::size_t(1));
        CPPUNIT_ASSERT(chooseWaiting(waiting, "a") == std::size_t(0));
    }

    // Guards against a workspace that keeps its connections for as long as it has statements, while others wait.
    void busyWorkspaceDoesNotKeepConnectionsFromTheOthers()
    {
        const std::vector<Waiting> waiting {{"small", 0, 3}, {"hot", 0, 8}};
        CPPUNIT_ASSERT(!chooseWaiting(waiting, "hot"));
    }

    // Guards against low priorities served first only because their connection is free.
    void higherPriorityIsNeverPassedOver()
    {
        const std::vector<Waiting> waiting {{"a", 0, 3}, {"b", 1, 3}};
        CPPUNIT_ASSERT(!chooseWaiting(waiting, "b"));
    }

    // Guards against small workspaces losing their only connection while a large one has several to spare.
    void workspaceWithMostIdleConnectionsGivesOneUp()
    {
        const std::vector<Idle> idle {{"small", TimePoint(1s)}, {"large", TimePoint(3s)}, {"large", TimePoint(2s)}};
        CPPUNIT_ASSERT(chooseEvicted(idle, "other") == std::size_t(2));
        CPPUNIT_ASSERT(chooseEvicted(idle, "large") == std::size_t(0));
        CPPUNIT_ASSERT(!chooseEvicted(std::vector<Idle> {{"a", TimePoint(1s)}}, "a"));
    }

    // Guards against opening a connection twice for one statement, each of which costs the database a slot.
    void eachWaitingStatementGetsOneOpening()
    {
        const std::vector<Waiting> waiting {{"a", 0, 0}, {"a", 0, 1}, {"b", 0, 0}, {std::nullopt, 0, 0}};
        const std::vector<std::string> opening {"a"};
        CPPUNIT_ASSERT((missingConnections(waiting, opening, "f") == std::vector<std::string> {"a", "b", "f"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionAssignmentTest);
