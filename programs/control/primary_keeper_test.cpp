#include "testing/session_control_bed.h"

#include <waxwing/platform/database_wire.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace waxwing;
using namespace waxwing::control;
using waxwing::control::testing::SessionControlBed;
using waxwing::testing::FakeDatabase;

namespace
{

bool has(const std::vector<std::string> &commands, const std::string &prefix)
{
    return std::any_of(commands.begin(), commands.end(), [&](const std::string &command) { return command.starts_with(prefix); });
}

} // namespace

class PrimaryKeeperTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrimaryKeeperTest);
    CPPUNIT_TEST(firstPrimaryIsTakenOver);
    CPPUNIT_TEST(lostPrimaryIsReplacedByTheLongestLog);
    CPPUNIT_TEST(missingReplicaStopsThePromotion);
    CPPUNIT_TEST(acknowledgedPositionsStandInForAMissingReplica);
    CPPUNIT_TEST(unknownAcknowledgementsStopThePromotion);
    CPPUNIT_TEST(silentReplicaStopsThePromotion);
    CPPUNIT_TEST(pauseDoesNotOutrunThePromotion);
    CPPUNIT_TEST(pauseIsAboveTheTermOfThePublishedPrimary);
    CPPUNIT_TEST(leaseThatWasNotGivenUpDelaysTheOrder);
    CPPUNIT_TEST(orderWithoutAnswerIsFollowedByAHigherToken);
    CPPUNIT_TEST(promotionOfALostAnswerIsConfirmed);
    CPPUNIT_TEST(drainingPrimaryStepsDownFirst);
    CPPUNIT_TEST(reachablePrimaryIsKept);
    CPPUNIT_TEST(leavingReplicaLeadsForItsLogOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a service that stays without a primary at the first start.
    void firstPrimaryIsTakenOver()
    {
        SessionControlBed bed;
        start(bed);
        CPPUNIT_ASSERT(bed.orders.empty());
    }

    // Guards against lost commits: the promoted database must have what the others have, and nothing may arrive meanwhile.
    void lostPrimaryIsReplacedByTheLongestLog()
    {
        SessionControlBed bed;
        start(bed);
        database(bed, "b").setPosition(3, 120);
        database(bed, "c").setPosition(3, 119);
        lose(bed, "a");
        CPPUNIT_ASSERT(bed.runUntil([&] { return bed.primary() == "b"; }));
        CPPUNIT_ASSERT(has(database(bed, "b").commands(), platform::pauseText(4)));
        CPPUNIT_ASSERT(has(database(bed, "c").commands(), platform::pauseText(4)));
        CPPUNIT_ASSERT_EQUAL(bed.machine.service("s")->epoch(), bed.orders.back().token);
    }

    // Guards against lost commits: a replica that does not answer may hold commits that the other one lacks.
    void missingReplicaStopsThePromotion()
    {
        SessionControlBed bed;
        start(bed);
        bed.renew("p1", false);
        const auto epoch = bed.machine.service("s")->epoch();
        lose(bed, "c");
        lose(bed, "a");
        // A third proxy holds a lease and never says what it acknowledged.
        bed.onProxyMessage = [](const std::string &, const wire::PoolEnvelope &) {
        };
        CPPUNIT_ASSERT(bed.runUntil([&] {
            report(bed);
            return database(bed, "b").commands().size() > 6;
        }));
        CPPUNIT_ASSERT(bed.orders.empty());
        CPPUNIT_ASSERT(bed.machine.service("s")->epoch() > epoch);
    }

    // Guards against a service that stays without a primary although no acknowledged commit can be missing.
    void acknowledgedPositionsStandInForAMissingReplica()
    {
        SessionControlBed bed(shortLeases());
        start(bed);
        database(bed, "b").setPosition(3, 120);
        // What proxies without a lease acknowledged is known once their time is over.
        const auto known = Clock::now() + shortLeases().lease * 2;
        CPPUNIT_ASSERT(bed.runUntil([&] { return Clock::now() >= known; }));
        bed.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_withdraw()) {
                bed.confirm(proxy, message.withdraw(), 3, 120);
            }
        };
        lose(bed, "c");
        lose(bed, "a");
        CPPUNIT_ASSERT(bed.runUntil([&] {
            report(bed);
            return bed.primary() == "b";
        }));
    }

    // Guards against lost commits: control has led for too short to know what proxies acknowledged under an earlier leader.
    void unknownAcknowledgementsStopThePromotion()
    {
        SessionControlBed bed;
        start(bed);
        database(bed, "b").setPosition(3, 120);
        bed.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_withdraw()) {
                bed.confirm(proxy, message.withdraw(), 3, 100);
            }
        };
        lose(bed, "c");
        lose(bed, "a");
        CPPUNIT_ASSERT(bed.runUntil([&] {
            report(bed);
            return database(bed, "b").commands().size() > 6;
        }));
        CPPUNIT_ASSERT(bed.orders.empty());
    }

    // Guards against lost commits: a replica whose heartbeats were lost is forgotten although it still confirms commits.
    void silentReplicaStopsThePromotion()
    {
        SessionControlBed bed;
        start(bed);
        const auto expired = Clock::now() + PoolDirectory::Options().expiry;
        CPPUNIT_ASSERT(bed.runUntil([&] {
            bed.beat(database(bed, "a"), true, false);
            bed.beat(database(bed, "b"), false, false);
            return Clock::now() >= expired;
        }));
        lose(bed, "a");
        CPPUNIT_ASSERT(bed.runUntil([&] {
            report(bed);
            return has(database(bed, "b").commands(), platform::pauseText(4));
        }));
        CPPUNIT_ASSERT(bed.orders.empty());
    }

    // Guards against a replica that receives nothing for ever: each promotion leads to the next term only, and a pause of a
    // term beyond it does not end (day hunt-afd8-27 of ppdc-trestle).
    void pauseDoesNotOutrunThePromotion()
    {
        SessionControlBed bed;
        start(bed);
        database(bed, "c").setPaused(9);
        lose(bed, "a");
        CPPUNIT_ASSERT(bed.runUntil([&] { return !bed.orders.empty(); }));
        CPPUNIT_ASSERT(has(database(bed, "c").commands(), platform::pauseText(4)));
        CPPUNIT_ASSERT(!has(database(bed, "c").commands(), platform::pauseText(10)));
    }

    // Guards against lost commits: replicas that lag know an earlier term than the primary that they can still hear, and a new
    // leader knows none (seeds 9649, 45056 and 84275 of the promotion model).
    void pauseIsAboveTheTermOfThePublishedPrimary()
    {
        SessionControlBed bed;
        CPPUNIT_ASSERT(bed.runUntil([&] { return bed.control.isActive(); }));
        bed.add("a", true).setPosition(7, 100);
        bed.add("b", false);
        bed.add("c", false);
        CPPUNIT_ASSERT(bed.runUntil([&] { return bed.primary() == "a"; }));
        bed.leads = false;
        CPPUNIT_ASSERT(bed.runUntil([&] { return !bed.control.isActive(); }));
        bed.leads = true;
        CPPUNIT_ASSERT(bed.runUntil([&] { return bed.control.isActive(); }));
        lose(bed, "a");
        CPPUNIT_ASSERT(bed.runUntil([&] {
            report(bed);
            return !bed.orders.empty();
        }));
        CPPUNIT_ASSERT(has(database(bed, "b").commands(), platform::pauseText(8)));
        CPPUNIT_ASSERT(!has(database(bed, "b").commands(), platform::pauseText(4)));
    }

    // Guards against a stale read: a proxy that can't be told may read from the former primary until its lease ends.
    void leaseThatWasNotGivenUpDelaysTheOrder()
    {
        SessionControlBed bed;
        start(bed);
        bed.renew("cut-off", false);
        const auto granted = Clock::now();
        lose(bed, "a");
        CPPUNIT_ASSERT(bed.runUntil([&] { return !bed.orders.empty(); }));
        CPPUNIT_ASSERT(Clock::now() - granted >= SessionLeases::Options().lease);
    }

    // Guards against an order that is carried out late and takes the lead from the database that was published.
    void orderWithoutAnswerIsFollowedByAHigherToken()
    {
        SessionControlBed bed;
        start(bed);
        bed.answerOrder = [&](const SessionControlBed::Order &order) {
            bed.promote(order.database);
            return bed.orders.size() < 2 ? OrderAnswer::None : OrderAnswer::Accepted;
        };
        lose(bed, "a");
        CPPUNIT_ASSERT(bed.runUntil([&] { return !bed.primary().empty() && bed.primary() != "a"; }));
        CPPUNIT_ASSERT(bed.orders.size() >= 2);
        CPPUNIT_ASSERT(bed.orders[1].token > bed.orders[0].token);
        CPPUNIT_ASSERT_EQUAL(bed.orders.back().token, bed.machine.service("s")->epoch());
    }

    // Guards against a second promotion, and the seconds without a primary that it costs, after an order was carried out but
    // its answer was lost (13.4 s without a primary on day giver-dies-in-promotion).
    void promotionOfALostAnswerIsConfirmed()
    {
        SessionControlBed bed;
        start(bed);
        bed.answerOrder = [&](const SessionControlBed::Order &order) {
            bed.promote(order.database);
            return bed.orders.size() < 2 ? OrderAnswer::None : OrderAnswer::Accepted;
        };
        lose(bed, "a");
        CPPUNIT_ASSERT(bed.runUntil([&] { return !bed.primary().empty() && bed.primary() != "a"; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), bed.orders.size());
        CPPUNIT_ASSERT_EQUAL(bed.orders[0].database, bed.orders[1].database);
        CPPUNIT_ASSERT(bed.orders[1].token > bed.orders[0].token);
        const auto stepDown = platform::stepDownText(0);
        CPPUNIT_ASSERT(!has(database(bed, bed.primary()).commands(), stepDown.substr(0, stepDown.find(' '))));
    }

    // Guards against commits that a leaving primary acknowledges after positions were compared.
    void drainingPrimaryStepsDownFirst()
    {
        SessionControlBed bed;
        start(bed);
        bed.beat(database(bed, "a"), true, true);
        CPPUNIT_ASSERT(bed.runUntil([&] { return !bed.primary().empty() && bed.primary() != "a"; }));
        CPPUNIT_ASSERT(has(database(bed, "a").commands(), platform::stepDownText(4)));
    }

    // Guards against a promotion because a single proxy can't reach a primary that works.
    void reachablePrimaryIsKept()
    {
        SessionControlBed bed;
        start(bed);
        bed.renew("p1", false);
        bed.renew("p2", false);
        bed.renew("p3", true);
        CPPUNIT_ASSERT(bed.runUntil([&] { return database(bed, "a").commands().size() >= 3; }));
        CPPUNIT_ASSERT(bed.orders.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), bed.primary());
    }

    // Guards against statements on a database that leaves, which had the longest log when the primary was lost (DRAIN on day
    // proxies-cut-off).
    void leavingReplicaLeadsForItsLogOnly()
    {
        SessionControlBed bed;
        start(bed);
        database(bed, "b").setPosition(3, 120);
        bed.beat(database(bed, "b"), false, true);
        bed.answerOrder = [&](const SessionControlBed::Order &order) {
            bed.promote(order.database);
            if (bed.orders.size() == 1) {
                database(bed, "c").setPosition(4, 120); // it receives what the new primary has
            }
            return OrderAnswer::Accepted;
        };
        lose(bed, "a");
        std::set<std::string> published;
        CPPUNIT_ASSERT(bed.runUntil([&] {
            published.insert(bed.primary());
            return bed.primary() == "c";
        }));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), bed.orders.front().database);
        CPPUNIT_ASSERT(!published.contains("b"));
    }

private:
    static SessionLeases::Options shortLeases()
    {
        SessionLeases::Options options;
        options.lease = 500ms;
        options.acknowledgementGrace = 100ms;
        return options;
    }

    /// A service of three databases with the primary a, past the time in which leases of an earlier leader may be valid.
    static void start(SessionControlBed &bed)
    {
        CPPUNIT_ASSERT(bed.runUntil([&] { return bed.control.isActive(); }));
        bed.add("a", true);
        bed.add("b", false);
        bed.add("c", false);
        CPPUNIT_ASSERT(bed.runUntil([&] { return bed.primary() == "a"; }));
    }

    static FakeDatabase &database(SessionControlBed &bed, const std::string &id)
    {
        return *std::find_if(bed.databases.begin(), bed.databases.end(), [&](const auto &one) { return one.id() == id; });
    }

    /// Ends a database; two proxies without a lease keep reporting the primary.
    static void lose(SessionControlBed &bed, const std::string &id)
    {
        database(bed, id).refuseConnections();
        report(bed);
    }

    static void report(SessionControlBed &bed)
    {
        bed.renew("p1", true);
        bed.renew("p2", true);
        if (!bed.onProxyMessage) {
            bed.onProxyMessage = [&bed](const std::string &proxy, const wire::PoolEnvelope &message) {
                if (message.has_withdraw() && proxy != "cut-off") {
                    bed.confirm(proxy, message.withdraw(), 3, 100);
                }
            };
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryKeeperTest);
