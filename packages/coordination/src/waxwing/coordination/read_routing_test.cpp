#include <waxwing/coordination/read_routing.h>
#include <waxwing/coordination/replica_view.h>
#include <waxwing/coordination/term_history.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <map>

using namespace waxwing;

static_assert(ReadPolicy<ReplicaReads> && ReadPolicy<PrimaryReads>);

namespace
{

const TimePoint start = TimePoint(100s);
using Kind = ReadDecision::Kind;

/// A group in term 3, which starts at position 96: primary p and replica q at position 120, replica r at 100.
struct Group
{
    ReplicaView view;
    TermHistory history {std::vector<TermStart> {{2, 40}, {3, 96}}};
    std::vector<EndpointState> endpoints;
    bool leaseValid = true;

    Group()
    {
        view.setTerm(3, "p");
        view.observe("p", {3, 100}, start - 200ms);
        view.observe("p", {3, 120}, start - 100ms);
        view.observe("q", {3, 120}, start - 50ms);
        view.observe("r", {3, 100}, start - 50ms);
        for (const auto *name : {"p", "q", "r"}) {
            endpoints.push_back({.name = name, .isUsable = true, .running = 0, .limit = 3});
        }
    }

    template<class Policy = ReplicaReads>
    ReadDecision decide(const ReadRequirement &requirement, Duration after = {}) const
    {
        return Policy().decide(requirement, {view, history, endpoints, leaseValid}, start + after);
    }
};

ReadRequirement session(std::uint64_t term, std::uint64_t position, bool uncertain = false)
{
    return {.mode = FreshnessMode::Session, .session = SessionPosition {{term, position}, uncertain}, .arrivedAt = start};
}

ReadRequirement maxAge(Duration age)
{
    return {.mode = FreshnessMode::MaxAge, .maxAge = age, .arrivedAt = start};
}

} // namespace

class ReadRoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReadRoutingTest);
    CPPUNIT_TEST(sessionReadsNeedTheirPosition);
    CPPUNIT_TEST(sessionReadWaitsThenGoesToThePrimary);
    CPPUNIT_TEST(lostWriteIsReported);
    CPPUNIT_TEST(uncertainAndTokenlessReadsGoToThePrimary);
    CPPUNIT_TEST(replicaOfAnotherTermDoesNotCount);
    CPPUNIT_TEST(maxAgeNeedsProof);
    CPPUNIT_TEST(withoutLeaseOnlyReplicasServe);
    CPPUNIT_TEST(withoutPrimaryReadsWait);
    CPPUNIT_TEST(baselineUsesThePrimary);
    CPPUNIT_TEST(chooseOfTwoPrefersTheLessLoaded);
    CPPUNIT_TEST(provenAgeIsNeverBelowTheTrueAge);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a session read that misses the session's own write because it runs on a lagging replica.
    void sessionReadsNeedTheirPosition()
    {
        const Group group;
        CPPUNIT_ASSERT(group.decide(session(3, 110)).preferred == EndpointSet(0b010));
        CPPUNIT_ASSERT(group.decide(session(3, 100)).preferred == EndpointSet(0b110));
        CPPUNIT_ASSERT(group.decide(session(3, 100)).overflow == EndpointSet(0b001));
        // A position of an earlier term, below the start of the current one, is part of the current term.
        CPPUNIT_ASSERT(group.decide(session(2, 90)).preferred == EndpointSet(0b110));
    }

    // Guards against a session read that waits for a lagging replica without end, or loads the primary without a wait.
    void sessionReadWaitsThenGoesToThePrimary()
    {
        const Group group;
        const auto waiting = group.decide(session(3, 130));
        CPPUNIT_ASSERT(waiting.kind == Kind::Wait && waiting.recheckAt == start + 20ms);
        const auto afterWait = group.decide(session(3, 130), 20ms);
        CPPUNIT_ASSERT(afterWait.kind == Kind::Run && afterWait.preferred == EndpointSet(0b001));
    }

    // Guards against a session that is not informed that a failover has discarded its write.
    void lostWriteIsReported()
    {
        const Group group;
        for (const auto &requirement : {session(2, 97), session(1, 41), session(0, 30)}) {
            const auto decision = group.decide(requirement);
            CPPUNIT_ASSERT(decision.kind == Kind::Refuse && decision.reason == RefusalReason::SessionWriteLost);
            CPPUNIT_ASSERT(group.decide<PrimaryReads>(requirement).reason == RefusalReason::SessionWriteLost);
        }
        const auto futureTerm = group.decide(session(4, 10));
        CPPUNIT_ASSERT(futureTerm.kind == Kind::Wait && futureTerm.reason == RefusalReason::StaleTerm);
    }

    // Guards against a session read that misses a write: a replica serves it although the position of the write is not known.
    void uncertainAndTokenlessReadsGoToThePrimary()
    {
        const Group group;
        CPPUNIT_ASSERT(group.decide(session(3, 90, true)).preferred == EndpointSet(0b001));
        CPPUNIT_ASSERT(group.decide({.mode = FreshnessMode::Session, .arrivedAt = start}).preferred == EndpointSet(0b001));
        CPPUNIT_ASSERT(group.decide({.mode = FreshnessMode::Primary, .arrivedAt = start}).preferred == EndpointSet(0b001));
    }

    // Guards against stale reads: the position of a replica that still follows the old primary is compared to the new term.
    void replicaOfAnotherTermDoesNotCount()
    {
        Group group;
        group.view.setTerm(4, "p");
        group.history.add({.term = 4, .start = 110});
        group.view.observe("r", {4, 112}, start);
        group.view.observe("p", {4, 112}, start);
        CPPUNIT_ASSERT(group.decide(session(3, 105)).preferred == EndpointSet(0b100));
        CPPUNIT_ASSERT(group.decide(maxAge(1h)).preferred == EndpointSet(0b100));
    }

    // Guards against a max-age read on a replica whose data is too old or of unknown age.
    void maxAgeNeedsProof()
    {
        Group group;
        CPPUNIT_ASSERT(group.decide(maxAge(150ms)).preferred == EndpointSet(0b010));
        CPPUNIT_ASSERT(group.decide(maxAge(200ms)).preferred == EndpointSet(0b110));
        CPPUNIT_ASSERT(group.decide(maxAge(50ms)).preferred == EndpointSet(0b001));
        CPPUNIT_ASSERT(group.decide(maxAge(200ms), 1ms).preferred == EndpointSet(0b010));
        group.view.forget("q");
        CPPUNIT_ASSERT(group.decide(maxAge(150ms)).preferred == EndpointSet(0b001));
    }

    // Guards against stale reads: a proxy without a lease, whose group may have a new owner, serves session or primary reads.
    void withoutLeaseOnlyReplicasServe()
    {
        Group group;
        group.leaseValid = false;
        CPPUNIT_ASSERT(group.decide(session(3, 90)).reason == RefusalReason::LeaseLost);
        CPPUNIT_ASSERT(group.decide({.mode = FreshnessMode::Primary, .arrivedAt = start}).reason == RefusalReason::LeaseLost);
        const auto any = group.decide({.mode = FreshnessMode::Any, .arrivedAt = start});
        CPPUNIT_ASSERT(any.preferred == EndpointSet(0b110) && any.overflow.none());
        const auto tooOld = group.decide(maxAge(200ms), 10s);
        CPPUNIT_ASSERT(tooOld.kind == Kind::Wait && tooOld.reason == RefusalReason::FreshnessUnavailable);
    }

    // Guards against reads that are refused at once while a promotion is in progress.
    void withoutPrimaryReadsWait()
    {
        Group group;
        group.view.setTerm(3, "");
        const auto decision = group.decide({.mode = FreshnessMode::Primary, .arrivedAt = start});
        CPPUNIT_ASSERT(decision.kind == Kind::Wait && decision.reason == RefusalReason::NoPrimary);
        CPPUNIT_ASSERT(group.decide(session(3, 100)).kind == Kind::Run);
    }

    // Guards against a baseline policy that also reads from replicas, so that comparisons with it mean nothing.
    void baselineUsesThePrimary()
    {
        const Group group;
        CPPUNIT_ASSERT(group.decide<PrimaryReads>({.mode = FreshnessMode::Any, .arrivedAt = start}).preferred == EndpointSet(0b001));
    }

    // Guards against a choice that ignores load, or always picks the same of several equally loaded endpoints.
    void chooseOfTwoPrefersTheLessLoaded()
    {
        Group group;
        Random random(3);
        group.endpoints[1].running = 3;
        std::map<std::size_t, int> chosen;
        for (int i = 0; i < 3'000; ++i) {
            ++chosen[*chooseOfTwo(EndpointSet(0b111), group.endpoints, random)];
        }
        CPPUNIT_ASSERT_EQUAL(0, chosen[1]);
        CPPUNIT_ASSERT(chosen[0] > 1'300 && chosen[2] > 1'300);
        CPPUNIT_ASSERT(!chooseOfTwo({}, group.endpoints, random));
    }

    // Guards against stale reads: replication lag, reordered or lost responses make data appear newer than it is.
    void provenAgeIsNeverBelowTheTrueAge()
    {
        constexpr std::uint64_t seed = 17;
        std::cerr << " seed " << seed << ' ';
        Random random(seed);
        ReplicaView view({.maxSamples = 32});
        view.setTerm(1, "p");
        std::vector<TimePoint> writtenAt; // time at which position i + 1 was written
        const auto positionAt = [&](TimePoint time) {
            return static_cast<std::uint64_t>(std::upper_bound(writtenAt.begin(), writtenAt.end(), time) - writtenAt.begin());
        };
        auto now = start;
        std::uint64_t applied = 0;
        std::size_t provenCount = 0;
        for (int i = 0; i < 20'000; ++i) {
            now += random.upTo(8ms);
            if (random.chance(0.4)) {
                writtenAt.push_back(now);
            }
            if (random.chance(0.3)) {
                // The primary reads its position between sending and now; responses arrive in any order.
                const auto sentAt = now - random.upTo(60ms);
                const auto evaluatedAt = sentAt + random.upTo(now - sentAt);
                view.observe("p", {1, positionAt(evaluatedAt)}, sentAt);
            }
            if (random.chance(0.2)) {
                applied = std::max(applied, positionAt(now - random.upTo(random.chance(0.1) ? Duration(1s) : Duration(100ms))));
                view.observe("r", {1, applied}, now - random.upTo(20ms));
            }
            if (const auto age = view.provenAge("r", now)) {
                ++provenCount;
                // The replica has applied everything that the primary had at now - age.
                CPPUNIT_ASSERT(positionAt(now - *age - 1ns) <= applied);
            }
        }
        CPPUNIT_ASSERT(provenCount > 10'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadRoutingTest);
