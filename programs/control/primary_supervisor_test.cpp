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
    CPPUNIT_TEST(replacedPrimaryThatGoesOnIsStopped);
    CPPUNIT_TEST(replacedPrimaryThatGoesOnIsNotPromoted);
    CPPUNIT_TEST(databaseThatLeadsInALaterTermReplacesThePrimary);
    CPPUNIT_TEST(lateOrderDelaysAnotherCandidate);
    CPPUNIT_TEST(newLeaderWaitsForLateOrders);
    CPPUNIT_TEST(orderThatWasNotTakenDelaysNothing);
    CPPUNIT_TEST(fencedOrderDelaysNothing);
    CPPUNIT_TEST(orderFollowsTheLastAcknowledgement);
    CPPUNIT_TEST(logsAreComparedAfterTheLastAcknowledgement);
    CPPUNIT_TEST(primaryStepsDownAfterTheWithdrawal);
    CPPUNIT_TEST(silentReplicaIsMissedByTheNextLeader);
    CPPUNIT_TEST(deregisteredReplicaIsMissed);
    CPPUNIT_TEST(deregisteredReplicaThatGoesOnIsMissed);
    CPPUNIT_TEST(deregisteredReplicaThatHasExitedIsForgotten);
    CPPUNIT_TEST(replicaThatLeftWithoutFurtherCommitsIsNotMissed);
    CPPUNIT_TEST(replicaThatLeftWithFurtherCommitsIsMissed);
    CPPUNIT_TEST(pauseOfAReplicaThatLeftEndsWithAPromotion);
    CPPUNIT_TEST(laterRunIsNotStoppedByADeregistration);
    CPPUNIT_TEST(replicaThatWasStartedAgainIsMissed);
    CPPUNIT_TEST(replicaThatAnswersBeforeItsHeartbeatIsMissed);
    CPPUNIT_TEST(formerPrimaryThatWasStartedAgainIsNotTrusted);
    CPPUNIT_TEST(commitsOnADatabaseThatControlDoesNotKnowAreAwaited);
    CPPUNIT_TEST(commitsThatMayBeAcknowledgedAreAwaitedForALimitedTime);
    CPPUNIT_TEST(nextLeaderAwaitsTheSameCommits);
    CPPUNIT_TEST(absentReplicaIsForgottenOnceAnotherHasItsCommits);
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
        // The primary was lost before the leases of the earlier leader ended, so that no proxy has a position that it reported later.
        fixture.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_withdraw()) {
                auto request = message.withdraw();
                request.clear_evidence_ms();
                fixture.confirmWithdrawal(proxy, request, 3, 100);
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
        // The last commit that was acknowledged had reached c only.
        fixture.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_withdraw()) {
                fixture.confirmWithdrawal(proxy, message.withdraw(), 3, 101);
            }
        };
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

    // Guards against a replaced primary that goes on until it reaches the new one, although control reaches it before.
    void replacedPrimaryThatGoesOnIsStopped()
    {
        SessionControlFixture fixture;
        startService(fixture);
        replaceSilentPrimary(fixture);
        fixture.sendHeartbeat(database(fixture, "a"), true, false);
        database(fixture, "a").holdAnswers(false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return containsPrefix(database(fixture, "a").commands(), platform::stepDownText(4)); }));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), fixture.primary());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.orders.size());
    }

    // Guards against lost commits: the published primary is lost too, and the one before it, which goes on and claims to lead, is
    // taken for the primary of the latest term.
    void replacedPrimaryThatGoesOnIsNotPromoted()
    {
        SessionControlFixture fixture;
        startService(fixture);
        replaceSilentPrimary(fixture);
        database(fixture, "a").holdAnswers(false);
        disconnectDatabase(fixture, "b");
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            reportUnreachable(fixture);
            return fixture.primary() == "c";
        }));
        CPPUNIT_ASSERT(containsPrefix(database(fixture, "a").commands(), platform::stepDownText(4)));
        CPPUNIT_ASSERT(std::none_of(fixture.orders.begin(), fixture.orders.end(), [](const auto &order) { return order.database == "a"; }));
    }

    // Guards against proxies that go on with a primary that a late order has replaced.
    void databaseThatLeadsInALaterTermReplacesThePrimary()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.goingOn = {"a"};
        fixture.promote("b");
        fixture.sendHeartbeat(database(fixture, "b"), true, false);
        reportUnreachable(fixture);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "b"; }));
        CPPUNIT_ASSERT(containsPrefix(database(fixture, "a").commands(), platform::stepDownText(4)));
    }

    // Guards against lost commits: an order without an answer is carried out after another database was promoted.
    void lateOrderDelaysAnotherCandidate()
    {
        SessionControlFixture fixture(SessionLeases::Options(), {.name = "core-1", .ordersAreFenced = false, .lateOrderLimit = 1s});
        startService(fixture);
        const auto first = loseFirstOrder(fixture);
        const auto lostAt = Clock::now();
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.primary().empty(); }));
        CPPUNIT_ASSERT(Clock::now() - lostAt >= 900ms);
        CPPUNIT_ASSERT(fixture.primary() != first);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.machine.service("s")->orders().empty(); }));
    }

    // Guards against the same by a new leader of control, which has not sent the order itself.
    void newLeaderWaitsForLateOrders()
    {
        SessionControlFixture fixture(SessionLeases::Options(), {.name = "core-1", .ordersAreFenced = false, .lateOrderLimit = 1s});
        startService(fixture);
        const auto first = loseFirstOrder(fixture);
        fixture.leads = false;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.control.isActive(); }));
        fixture.leads = true;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        const auto leadsSince = Clock::now();
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            reportUnreachable(fixture);
            return !fixture.primary().empty();
        }));
        CPPUNIT_ASSERT(Clock::now() - leadsSince >= 1s);
        CPPUNIT_ASSERT(fixture.primary() != first);
    }

    // Guards against a wait for an order that can't be carried out.
    void orderThatWasNotTakenDelaysNothing()
    {
        for (const auto answer : {OrderAnswer::NotTaken, OrderAnswer::Conflict}) {
            SessionControlFixture fixture;
            startService(fixture);
            const auto first = loseFirstOrder(fixture, answer);
            CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.primary().empty(); }));
            CPPUNIT_ASSERT(fixture.primary() != first);
        }
    }

    // Guards against a wait where the platform refuses late orders by their token.
    void fencedOrderDelaysNothing()
    {
        SessionControlFixture fixture(SessionLeases::Options(), {.name = "core-1", .ordersAreFenced = true, .lateOrderLimit = 15s});
        startService(fixture);
        const auto first = loseFirstOrder(fixture);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.primary().empty(); }));
        CPPUNIT_ASSERT(fixture.primary() != first);
        CPPUNIT_ASSERT(fixture.machine.service("s")->orders().empty());
    }

    // Guards against lost commits: a paused replica restarts while the promotion of the other one is carried out, receives from the
    // former primary again, and proxies acknowledge commits that the next primary lacks.
    void orderFollowsTheLastAcknowledgement()
    {
        SessionControlFixture fixture;
        startService(fixture);
        std::set<std::string> closed;
        fixture.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_withdraw()) {
                if (message.withdraw().closes()) {
                    closed.insert(proxy);
                }
                fixture.confirmWithdrawal(proxy, message.withdraw(), 3, 100);
            }
        };
        std::set<std::string> closedBeforeOrder;
        fixture.answerOrder = [&](const SessionControlFixture::Order &order) {
            closedBeforeOrder = closed;
            fixture.promote(order.database);
            return OrderAnswer::Accepted;
        };
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.primary().empty() && fixture.primary() != "a"; }));
        CPPUNIT_ASSERT((closedBeforeOrder == std::set<std::string> {"p1", "p2"}));
    }

    // Guards against lost commits: a paused replica restarts and receives a commit, which a proxy acknowledges after the logs were
    // compared and before it closes the epoch.
    void logsAreComparedAfterTheLastAcknowledgement()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "b").setPosition(3, 110);
        unsigned closeRequests = 0; // to the second proxy
        fixture.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (!message.has_withdraw()) {
                return;
            }
            // The second proxy takes longer; until then, c has received a commit that it acknowledges.
            const bool late = proxy == "p2" && message.withdraw().closes();
            if (!late || containsPrefix(database(fixture, "c").commands(), platform::pauseText(4)) || ++closeRequests > 3) {
                if (late) {
                    database(fixture, "c").setPosition(3, 120);
                }
                fixture.confirmWithdrawal(proxy, message.withdraw(), 3, late ? 120 : 100);
            }
        };
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.primary().empty() && fixture.primary() != "a"; }));
        CPPUNIT_ASSERT_EQUAL(std::string("c"), fixture.primary());
    }

    // Guards against lost commits: a primary that has stepped down restarts, leads again, and gets a write of a proxy that has not
    // withdrawn its epoch yet.
    void primaryStepsDownAfterTheWithdrawal()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.renewLease("p1", false);
        bool withdrawnFirst = true;
        unsigned requests = 0;
        fixture.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_withdraw() && ++requests > 1) { // the first request is lost
                withdrawnFirst = withdrawnFirst && !containsPrefix(database(fixture, "a").commands(), platform::stepDownText(4));
                fixture.confirmWithdrawal(proxy, message.withdraw(), 3, 100);
            }
        };
        fixture.sendHeartbeat(database(fixture, "a"), true, true);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.primary().empty() && fixture.primary() != "a"; }));
        CPPUNIT_ASSERT(containsPrefix(database(fixture, "a").commands(), platform::stepDownText(4)));
        CPPUNIT_ASSERT(withdrawnFirst && requests > 1);
    }

    // Guards against lost commits: the leader of control that saw a replica fall silent is lost, and the next one promotes another
    // database without the commits that had reached this replica only.
    void silentReplicaIsMissedByTheNextLeader()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "c").refuseConnections();
        const auto expiryTime = Clock::now() + PoolDirectory::Options().expiry;
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            fixture.sendHeartbeat(database(fixture, "a"), true, false);
            fixture.sendHeartbeat(database(fixture, "b"), false, false);
            return Clock::now() >= expiryTime && fixture.machine.members().size() == 2;
        }));
        CPPUNIT_ASSERT(fixture.changeLeader());
        database(fixture, "a").refuseConnections();
        CPPUNIT_ASSERT(waitsWithoutPromotion(fixture));
    }

    // Guards against lost commits: a replica that ends as planned takes its log along, and another database is promoted without the
    // commits that had reached this replica only.
    void deregisteredReplicaIsMissed()
    {
        for (const bool leaderChanges : {false, true}) {
            SessionControlFixture fixture;
            startService(fixture);
            database(fixture, "c").setPosition(3, 120);
            fixture.deregister("c");
            database(fixture, "c").refuseConnections();
            CPPUNIT_ASSERT(!leaderChanges || fixture.changeLeader());
            database(fixture, "a").refuseConnections();
            CPPUNIT_ASSERT(waitsWithoutPromotion(fixture));
        }
    }

    // Guards against lost commits: a replica gets no answer to its deregistration and goes on without being reached by control.
    // Commits are acknowledged for its sake, and another database is promoted without them although the primary returns.
    void deregisteredReplicaThatGoesOnIsMissed()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "c").holdAnswers(true);
        fixture.deregister("c");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.deregistrations.empty(); }));
        const auto calls = database(fixture, "c").openedFor().size();
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.machine.absent("s").empty() || database(fixture, "c").openedFor().size() >= calls + 6; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.machine.absent("s").size());
        database(fixture, "a").holdAnswers(true);
        CPPUNIT_ASSERT(waitsWithoutPromotion(fixture));
        database(fixture, "a").setPosition(3, 120);
        database(fixture, "a").holdAnswers(false);
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            database(fixture, "b").setPosition(3, 120);
            return fixture.primary() == "b";
        }));
    }

    // Guards against a service that waits for a replica which has exited as planned, although another one has its commits.
    void deregisteredReplicaThatHasExitedIsForgotten()
    {
        SessionControlFixture fixture(SessionLeases::Options(), {.name = "core-1", .absence = {.refusalsUntilEnded = 2}});
        startService(fixture);
        database(fixture, "c").setPosition(3, 120);
        CPPUNIT_ASSERT(leave(fixture, "c"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.machine.absent("s").size());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.machine.absent("s").empty(); }));
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            confirmWithoutEvidence(fixture);
            return fixture.primary() == "b";
        }));
    }

    // Guards against a service that stays without a primary after all processes were killed: a replica that left is missed, although
    // the others have received all that it had. No proxy knows what was acknowledged.
    void replicaThatLeftWithoutFurtherCommitsIsNotMissed()
    {
        SessionControlFixture fixture;
        startService(fixture);
        CPPUNIT_ASSERT(leave(fixture, "c"));
        CPPUNIT_ASSERT(containsPrefix(database(fixture, "c").commands(), platform::pauseText(4)));
        database(fixture, "a").refuseConnections();
        CPPUNIT_ASSERT(fixture.changeLeader());
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            confirmWithoutEvidence(fixture);
            return fixture.primary() == "b";
        }));
    }

    // Guards against lost commits: a replica that left had received more than the others.
    void replicaThatLeftWithFurtherCommitsIsMissed()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "c").setPosition(3, 101);
        CPPUNIT_ASSERT(leave(fixture, "c"));
        database(fixture, "a").refuseConnections();
        CPPUNIT_ASSERT(waitsWithoutPromotion(fixture));
    }

    // Guards against lost commits: a replica that left goes on, and receives again after a promotion has ended its pause.
    void pauseOfAReplicaThatLeftEndsWithAPromotion()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.addDatabase("d", false);
        CPPUNIT_ASSERT(leave(fixture, "c"));
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "b" || fixture.primary() == "d"; }));
        const auto first = fixture.primary();
        const auto other = first == "b" ? "d" : "b";
        database(fixture, first).holdAnswers(true);
        const auto orders = fixture.orders.size();
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            confirmWithoutEvidence(fixture);
            const auto commands = database(fixture, other).commands();
            return std::count(commands.begin(), commands.end(), platform::pauseText(5)) >= 2;
        }));
        CPPUNIT_ASSERT_EQUAL(orders, fixture.orders.size());
    }

    // Guards against a database that is stopped because a late deregistration of its earlier run arrives.
    void laterRunIsNotStoppedByADeregistration()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.sendHeartbeat(database(fixture, "c"), false, false, 2);
        fixture.deregister("c");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.deregistrations.empty(); }));
        CPPUNIT_ASSERT(!containsPrefix(database(fixture, "c").commands(), platform::pauseText(4)));
        CPPUNIT_ASSERT(fixture.machine.members().contains("c"));
    }

    // Guards against lost commits: a replica is started again under its id without its log, and counts as present.
    void replicaThatWasStartedAgainIsMissed()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "a").setPosition(3, 120);
        database(fixture, "c").setPosition(3, 2);
        fixture.sendHeartbeat(database(fixture, "c"), false, false, 2);
        database(fixture, "a").refuseConnections();
        CPPUNIT_ASSERT(waitsWithoutPromotion(fixture));
    }

    // Guards against lost commits: a replica is started again under its id without its log, and answers control before its first heartbeat
    // arrives, so that it counts as the run which acknowledged the commits. The primary returns with them.
    void replicaThatAnswersBeforeItsHeartbeatIsMissed()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "c").setPosition(3, 2);
        fixture.certainPosition = TermPosition {3, 101};
        database(fixture, "a").holdAnswers(true);
        CPPUNIT_ASSERT(waitsWithoutPromotion(fixture));
        database(fixture, "a").setPosition(3, 101);
        database(fixture, "a").holdAnswers(false);
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            database(fixture, "b").setPosition(3, 101);
            return fixture.primary() == "b";
        }));
    }

    // Guards against lost commits: the former primary is started again under its id without its log, whose end is taken for that of
    // the log that it led.
    void formerPrimaryThatWasStartedAgainIsNotTrusted()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "c").refuseConnections();
        database(fixture, "a").setPosition(3, 2);
        database(fixture, "a").setPrimary(false);
        fixture.sendHeartbeat(database(fixture, "a"), false, false, 2);
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            confirmWithoutEvidence(fixture);
            return containsPrefix(database(fixture, "b").commands(), platform::pauseText(4));
        }));
        CPPUNIT_ASSERT(fixture.orders.empty());
    }

    // Guards against lost commits: they were acknowledged for the sake of a new database whose heartbeats have not reached control, so
    // that nobody counts as missing.
    void commitsOnADatabaseThatControlDoesNotKnowAreAwaited()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.certainPosition = TermPosition {3, 1};
        fixture.replicatedPosition = TermPosition {3, 102};
        database(fixture, "a").holdAnswers(true);
        CPPUNIT_ASSERT(waitsWithoutPromotion(fixture));
        fixture.addDatabase("d", false).setPosition(3, 102);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "d"; }));
    }

    // Guards against lost commits: the leader of control changes while it waits for them, and the next one does not know of them.
    void nextLeaderAwaitsTheSameCommits()
    {
        SessionControlFixture fixture;
        startService(fixture);
        fixture.certainPosition = TermPosition {3, 102};
        database(fixture, "a").holdAnswers(true);
        CPPUNIT_ASSERT(waitsWithoutPromotion(fixture));
        CPPUNIT_ASSERT(fixture.changeLeader());
        for (const auto *id : {"b", "c"}) {
            fixture.sendHeartbeat(database(fixture, id), false, false);
        }
        const auto commands = database(fixture, "b").commands().size();
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            confirmWithoutEvidence(fixture);
            return database(fixture, "b").commands().size() > commands + 4;
        }));
        CPPUNIT_ASSERT(fixture.orders.empty());
        database(fixture, "c").setPosition(3, 102);
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            confirmWithoutEvidence(fixture);
            return fixture.primary() == "c";
        }));
    }

    // Guards against a service that waits without an end for a commit that perhaps nobody acknowledged, while the primary is lost for good.
    void commitsThatMayBeAcknowledgedAreAwaitedForALimitedTime()
    {
        SessionControlFixture fixture(SessionLeases::Options(), {.name = "core-1", .possibleCommitsTimeout = 500ms});
        startService(fixture);
        fixture.certainPosition = TermPosition {3, 100};
        fixture.replicatedPosition = TermPosition {3, 102};
        database(fixture, "a").holdAnswers(true);
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            confirmWithoutEvidence(fixture);
            return fixture.primary() == "b" || fixture.primary() == "c";
        }));
    }

    // Guards against a service that waits for a replica which is gone for good, although another one has received its commits since.
    void absentReplicaIsForgottenOnceAnotherHasItsCommits()
    {
        SessionControlFixture fixture;
        startService(fixture);
        database(fixture, "a").setPosition(3, 120);
        fixture.sendHeartbeat(database(fixture, "c"), false, false, 2);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return database(fixture, "b").commands().size() > 6; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.machine.absent("s").size());
        database(fixture, "b").setPosition(3, 120);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.machine.absent("s").empty(); }));
        disconnectDatabase(fixture, "a");
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            confirmWithoutEvidence(fixture);
            return fixture.primary() == "b";
        }));
    }

private:
    /// Ends a database as planned.
    /// @return whether the deregistration was recorded
    static bool leave(SessionControlFixture &fixture, const std::string &id)
    {
        fixture.deregister(id);
        const bool answered = fixture.runUntil([&] { return !fixture.deregistrations.empty(); });
        database(fixture, id).refuseConnections();
        return answered && fixture.deregistrations.back();
    }

    /// Reports the primary as unreachable, and runs until the logs have been compared twice.
    /// @return whether no promotion was ordered
    static bool waitsWithoutPromotion(SessionControlFixture &fixture)
    {
        const auto comparedTwice = [&] {
            confirmWithoutEvidence(fixture);
            const auto commands = database(fixture, "b").commands();
            return std::count(commands.begin(), commands.end(), platform::pauseText(4)) >= 2;
        };
        return fixture.runUntil(comparedTwice) && fixture.orders.empty();
    }

    /// Two proxies report the primary as unreachable. They confirm withdrawals, but have no position that the primary reported lately.
    static void confirmWithoutEvidence(SessionControlFixture &fixture)
    {
        fixture.onProxyMessage = [&fixture](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_withdraw()) {
                auto request = message.withdraw();
                request.clear_evidence_ms();
                fixture.confirmWithdrawal(proxy, request, 3, 100);
            }
        };
        reportUnreachable(fixture);
    }

    /// Replaces a by b while a answers nothing and does not learn of the promotion.
    static void replaceSilentPrimary(SessionControlFixture &fixture)
    {
        database(fixture, "b").setPosition(3, 120);
        fixture.goingOn = {"a"};
        database(fixture, "a").holdAnswers(true);
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            reportUnreachable(fixture);
            return fixture.primary() == "b";
        }));
    }

    /// Loses the primary, and the database of the first order as soon as the platform gets the order.
    /// @param answer to the first order, which is not carried out
    /// @return database of the first order
    static std::string loseFirstOrder(SessionControlFixture &fixture, OrderAnswer answer = OrderAnswer::None)
    {
        fixture.answerOrder = [&fixture, answer](const SessionControlFixture::Order &order) {
            if (fixture.orders.size() == 1) {
                database(fixture, order.database).refuseConnections();
                return answer;
            }
            if (order.database == fixture.orders.front().database) {
                return OrderAnswer::Conflict;
            }
            fixture.promote(order.database);
            return OrderAnswer::Accepted;
        };
        database(fixture, "a").setPrimary(false); // it has stepped down, so that its log tells what the others need
        reportUnreachable(fixture);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.orders.empty(); }));
        return fixture.orders.front().database;
    }

    static SessionLeases::Options shortLeases()
    {
        SessionLeases::Options options;
        options.lease = 500ms;
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
