#include "testing/session_control_fixture.h"

#include <waxwing/platform/database_wire.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace waxwing;
using namespace waxwing::control;
using waxwing::control::testing::SessionControlFixture;
using waxwing::testing::FakeDatabase;

namespace
{

bool containsPrefix(const std::vector<std::string> &commands, const std::string &prefix)
{
    return std::any_of(commands.begin(), commands.end(), [&](const std::string &command) { return command.starts_with(prefix); });
}

} // namespace

class PrimarySupervisorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrimarySupervisorTest);
    CPPUNIT_TEST(firstPrimaryIsAdopted);
    CPPUNIT_TEST(lostPrimaryIsReplacedByTheLongestLog);
    CPPUNIT_TEST(missingReplicaPreventsThePromotion);
    CPPUNIT_TEST(acknowledgedPositionsAllowPromotionWithoutAReplica);
    CPPUNIT_TEST(unknownAcknowledgementsPreventThePromotion);
    CPPUNIT_TEST(silentReplicaPreventsThePromotion);
    CPPUNIT_TEST(pauseEndsWithTheNextTerm);
    CPPUNIT_TEST(pauseIsAboveTheTermOfThePublishedPrimary);
    CPPUNIT_TEST(leaseThatWasNotGivenUpDelaysTheOrder);
    CPPUNIT_TEST(orderWithoutAnswerIsFollowedByAHigherToken);
    CPPUNIT_TEST(promotionWithALostAnswerIsConfirmed);
    CPPUNIT_TEST(drainingPrimaryStepsDownFirst);
    CPPUNIT_TEST(primaryReachableByMostProxiesIsKept);
    CPPUNIT_TEST(drainingReplicaIsPromotedButNotPublished);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a service that stays without a primary at the first start, or against an order for a database that
    // already is the primary.
    void firstPrimaryIsAdopted()
    {
        SessionControlFixture fixture;
        startService(fixture);
        CPPUNIT_ASSERT(fixture.orders.empty());
    }

    // Guards against lost commits: a replica with a shorter log is promoted, or one receives commits while logs are compared.
    void lostPrimaryIsReplacedByTheLongestLog()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "b").setPosition(3, 120);
        database(fixture, "c").setPosition(3, 119);
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "b"; }));
        CPPUNIT_ASSERT(containsPrefix(database(fixture, "b").commands(), platform::pauseText(4)));
        CPPUNIT_ASSERT(containsPrefix(database(fixture, "c").commands(), platform::pauseText(4)));
        CPPUNIT_ASSERT_EQUAL(fixture.machine.service("s")->epoch(), fixture.orders.back().token);
    }

    // Guards against lost commits: a replica that does not answer may hold commits that the other one lacks.
    void missingReplicaPreventsThePromotion()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.renewLease("p1", false);
        const auto epoch = fixture.machine.service("s")->epoch();
        disconnectDatabase(fixture, "c");
        disconnectDatabase(fixture, "a");
        // The proxies never confirm the withdrawal, so what they acknowledged stays unknown.
        fixture.onProxyMessage = [](const std::string &, const wire::PoolEnvelope &) {
        };
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            reportUnreachable(fixture);
            return database(fixture, "b").commands().size() > 6;
        }));
        CPPUNIT_ASSERT(fixture.orders.empty());
        CPPUNIT_ASSERT(fixture.machine.service("s")->epoch() > epoch);
    }

    // Guards against a service that stays without a primary because a replica is missing, although the other replica has
    // every acknowledged commit.
    void acknowledgedPositionsAllowPromotionWithoutAReplica()
    {
        SessionControlFixture fixture(shortLeases());
        startService(fixture);
        database(fixture, "b").setPosition(3, 120);
        // Proxies without a lease of this leader may acknowledge commits until this time.
        const auto acknowledgementsKnownAt = Clock::now() + shortLeases().lease * 2;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return Clock::now() >= acknowledgementsKnownAt; }));
        fixture.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_withdraw()) {
                fixture.confirmWithdrawal(proxy, message.withdraw(), 3, 120);
            }
        };
        disconnectDatabase(fixture, "c");
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            reportUnreachable(fixture);
            return fixture.primary() == "b";
        }));
    }

    // Guards against lost commits: a new leader of control promotes a replica before it can know what proxies acknowledged
    // under an earlier leader.
    void unknownAcknowledgementsPreventThePromotion()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "b").setPosition(3, 120);
        fixture.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_withdraw()) {
                fixture.confirmWithdrawal(proxy, message.withdraw(), 3, 100);
            }
        };
        disconnectDatabase(fixture, "c");
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            reportUnreachable(fixture);
            return database(fixture, "b").commands().size() > 6;
        }));
        CPPUNIT_ASSERT(fixture.orders.empty());
    }

    // Guards against lost commits: a replica whose heartbeats were lost is left out of the comparison, although it still
    // confirms commits.
    void silentReplicaPreventsThePromotion()
    {
        SessionControlFixture fixture;
        startService(fixture);
        const auto expiryTime = Clock::now() + PoolDirectory::Options().expiry;
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            fixture.sendHeartbeat(database(fixture, "a"), true, false);
            fixture.sendHeartbeat(database(fixture, "b"), false, false);
            return Clock::now() >= expiryTime;
        }));
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            reportUnreachable(fixture);
            return containsPrefix(database(fixture, "b").commands(), platform::pauseText(4));
        }));
        CPPUNIT_ASSERT(fixture.orders.empty());
    }

    // Guards against a replica that stays paused for ever: a promotion advances the term by one, so a pause until a later
    // term never ends.
    void pauseEndsWithTheNextTerm()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "c").setPaused(9);
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.orders.empty(); }));
        CPPUNIT_ASSERT(containsPrefix(database(fixture, "c").commands(), platform::pauseText(4)));
        CPPUNIT_ASSERT(!containsPrefix(database(fixture, "c").commands(), platform::pauseText(10)));
    }

    // Guards against lost commits: replicas that lag report an earlier term than the primary that they still receive from, a
    // new leader of control knows no other term, and its pause is too low to stop them from receiving.
    void pauseIsAboveTheTermOfThePublishedPrimary()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        fixture.addDatabase("a", true).setPosition(7, 100);
        fixture.addDatabase("b", false);
        fixture.addDatabase("c", false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "a"; }));
        fixture.leads = false;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.control.isActive(); }));
        fixture.leads = true;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            reportUnreachable(fixture);
            return !fixture.orders.empty();
        }));
        CPPUNIT_ASSERT(containsPrefix(database(fixture, "b").commands(), platform::pauseText(8)));
        CPPUNIT_ASSERT(!containsPrefix(database(fixture, "b").commands(), platform::pauseText(4)));
    }

    // Guards against a stale read: a proxy that control can't reach may read from the former primary until its lease ends.
    void leaseThatWasNotGivenUpDelaysTheOrder()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.renewLease("cut-off", false);
        const auto grantedAt = Clock::now();
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.orders.empty(); }));
        CPPUNIT_ASSERT(Clock::now() - grantedAt >= SessionLeases::Options().lease);
    }

    // Guards against an unanswered order that is carried out late and replaces the published primary.
    void orderWithoutAnswerIsFollowedByAHigherToken()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.answerOrder = [&](const SessionControlFixture::Order &order) {
            fixture.promote(order.database);
            return fixture.orders.size() < 2 ? OrderAnswer::None : OrderAnswer::Accepted;
        };
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.primary().empty() && fixture.primary() != "a"; }));
        CPPUNIT_ASSERT(fixture.orders.size() >= 2);
        CPPUNIT_ASSERT(fixture.orders[1].token > fixture.orders[0].token);
        CPPUNIT_ASSERT_EQUAL(fixture.orders.back().token, fixture.machine.service("s")->epoch());
    }

    // Guards against a second promotion, which leaves the service without a primary for longer, after an order was carried
    // out but its answer was lost.
    void promotionWithALostAnswerIsConfirmed()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.answerOrder = [&](const SessionControlFixture::Order &order) {
            fixture.promote(order.database);
            return fixture.orders.size() < 2 ? OrderAnswer::None : OrderAnswer::Accepted;
        };
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.primary().empty() && fixture.primary() != "a"; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.orders.size());
        CPPUNIT_ASSERT_EQUAL(fixture.orders[0].database, fixture.orders[1].database);
        CPPUNIT_ASSERT(fixture.orders[1].token > fixture.orders[0].token);
        const auto stepDown = platform::stepDownText(0);
        CPPUNIT_ASSERT(!containsPrefix(database(fixture, fixture.primary()).commands(), stepDown.substr(0, stepDown.find(' '))));
    }

    // Guards against commits that a draining primary acknowledges after positions were compared.
    void drainingPrimaryStepsDownFirst()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.sendHeartbeat(database(fixture, "a"), true, true);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.primary().empty() && fixture.primary() != "a"; }));
        CPPUNIT_ASSERT(containsPrefix(database(fixture, "a").commands(), platform::stepDownText(4)));
    }

    // Guards against a primary change because a single proxy can't reach a working primary.
    void primaryReachableByMostProxiesIsKept()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.renewLease("p1", false);
        fixture.renewLease("p2", false);
        fixture.renewLease("p3", true);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return database(fixture, "a").commands().size() >= 3; }));
        CPPUNIT_ASSERT(fixture.orders.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), fixture.primary());
    }

    // Guards against statements that are routed to a draining database: it has the longest log when the primary is lost, and
    // is promoted only to pass its log on.
    void drainingReplicaIsPromotedButNotPublished()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "b").setPosition(3, 120);
        fixture.sendHeartbeat(database(fixture, "b"), false, true);
        fixture.answerOrder = [&](const SessionControlFixture::Order &order) {
            fixture.promote(order.database);
            if (fixture.orders.size() == 1) {
                database(fixture, "c").setPosition(4, 120); // it receives the log of the new primary
            }
            return OrderAnswer::Accepted;
        };
        disconnectDatabase(fixture, "a");
        std::set<std::string> publishedPrimaries;
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            publishedPrimaries.insert(fixture.primary());
            return fixture.primary() == "c";
        }));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), fixture.orders.front().database);
        CPPUNIT_ASSERT(!publishedPrimaries.contains("b"));
    }

private:
    static SessionLeases::Options shortLeases()
    {
        SessionLeases::Options options;
        options.lease = 500ms;
        options.acknowledgementGrace = 100ms;
        return options;
    }

    /// Starts a service of three databases, of which a is the primary, and waits until a is published.
    static void startService(SessionControlFixture &fixture)
    {
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        fixture.addDatabase("a", true);
        fixture.addDatabase("b", false);
        fixture.addDatabase("c", false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "a"; }));
    }

    static FakeDatabase &database(SessionControlFixture &fixture, const std::string &id)
    {
        return *std::find_if(fixture.databases.begin(), fixture.databases.end(), [&](const auto &candidate) { return candidate.id() == id; });
    }

    /// Makes a database refuse connections; two proxies report the primary as unreachable.
    static void disconnectDatabase(SessionControlFixture &fixture, const std::string &id)
    {
        database(fixture, id).refuseConnections();
        reportUnreachable(fixture);
    }

    static void reportUnreachable(SessionControlFixture &fixture)
    {
        fixture.renewLease("p1", true);
        fixture.renewLease("p2", true);
        if (!fixture.onProxyMessage) {
            fixture.onProxyMessage = [&fixture](const std::string &proxy, const wire::PoolEnvelope &message) {
                if (message.has_withdraw() && proxy != "cut-off") {
                    fixture.confirmWithdrawal(proxy, message.withdraw(), 3, 100);
                }
            };
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimarySupervisorTest);
