#include "control_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace waxwing;

namespace
{

const LinkPeer leader {LinkPeer::Kind::Dialed, "leader"};
const LinkPeer other {LinkPeer::Kind::Dialed, "other"};

/// A client of two members, and where its renewals went.
struct Fixture
{
    Fixture()
        : client(
            {.addresses = {"leader", "other"}},
            [this](const LinkPeer &to, const wire::Envelope &) {
                sent.push_back(to.id);
                return true;
            },
            [this](std::uint64_t sequence) {
                last = sequence;
                return wire::Envelope();
            })
    {
    }

    /// The leader is known, and then does not answer any more.
    void loseLeader()
    {
        client.tick(TimePoint(1s));
        client.onGrant(leader, last);
        client.tick(TimePoint(1'400ms));
        client.tick(TimePoint(1'600ms));
    }

    std::vector<std::string> sent;
    std::uint64_t last = 0;
    ControlClient client;
};

} // namespace

class ControlClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlClientTest);
    CPPUNIT_TEST(silentLeaderIsNamed);
    CPPUNIT_TEST(relayIsKeptAndTheLeaderTriedNowAndThen);
    CPPUNIT_TEST(leaderThatNoSeedIsGetsTheRenewals);
    CPPUNIT_TEST(leaderThatIsReachedAgainTakesOver);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against proxies that never get a lease when the leader is a member that their seeds don't list: six members have three
    // seeds.
    void leaderThatNoSeedIsGetsTheRenewals()
    {
        Fixture fixture;
        fixture.client.tick(TimePoint(1s));
        fixture.client.onNotLeader(other, "third");
        fixture.sent.clear();
        fixture.client.tick(TimePoint(1'100ms));
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string> {"third"});
        fixture.client.onGrant({LinkPeer::Kind::Dialed, "third"}, fixture.last);
        fixture.sent.clear();
        fixture.client.tick(TimePoint(1'600ms));
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string> {"third"});
    }

    // Guards against members that refer to a leader which this proxy does not reach.
    void silentLeaderIsNamed()
    {
        Fixture fixture;
        CPPUNIT_ASSERT(fixture.client.unreachableLeader().empty());
        fixture.loseLeader();
        CPPUNIT_ASSERT_EQUAL(std::string("leader"), fixture.client.unreachableLeader());
        fixture.client.onGrant(leader, fixture.last);
        CPPUNIT_ASSERT(fixture.client.unreachableLeader().empty());
    }

    // Guards against a search for each renewal, and against a relay that is used for ever.
    void relayIsKeptAndTheLeaderTriedNowAndThen()
    {
        Fixture fixture;
        fixture.loseLeader();
        fixture.client.onGrant(other, fixture.last, true);
        fixture.sent.clear();
        fixture.client.tick(TimePoint(2s));
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string>({"other", "leader"}));
        fixture.client.onGrant(other, fixture.last, true);
        fixture.sent.clear();
        fixture.client.tick(TimePoint(2'400ms));
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string>({"other"}));
        CPPUNIT_ASSERT_EQUAL(std::string("leader"), fixture.client.unreachableLeader());
    }

    // Guards against a detour after the leader can be reached again, though the relayed answer came first.
    void leaderThatIsReachedAgainTakesOver()
    {
        Fixture fixture;
        fixture.loseLeader();
        fixture.client.onGrant(other, fixture.last, true);
        fixture.client.tick(TimePoint(2s));
        fixture.client.onGrant(other, fixture.last, true);
        CPPUNIT_ASSERT(!fixture.client.onGrant(leader, fixture.last));
        fixture.sent.clear();
        fixture.client.tick(TimePoint(2'400ms));
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string>({"leader"}));
        CPPUNIT_ASSERT(fixture.client.unreachableLeader().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlClientTest);
