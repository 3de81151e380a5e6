#include <waxwing/coordination/majority_wait.h>
#include <waxwing/coordination/term_lease.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>
#include <map>

using namespace waxwing;

namespace
{

const TimePoint start = TimePoint(100s);
using Ids = std::vector<std::uint64_t>;

} // namespace

class TermLeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TermLeaseTest);
    CPPUNIT_TEST(leaseRunsFromSendingLessMargin);
    CPPUNIT_TEST(replacedTermIsNeverAcknowledged);
    CPPUNIT_TEST(leasesOfTwoProxiesNeverOverlap);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two owners at a time: a lease that runs from the arrival of the grant ends after control expects it.
    void leaseRunsFromSendingLessMargin()
    {
        TermLease lease;
        lease.grantTerm("orders", 3);
        CPPUNIT_ASSERT(lease.acknowledgement("orders", 3, start) == Acknowledgement::LeaseExpired);
        lease.renew(start, 1200ms);
        CPPUNIT_ASSERT(lease.isValid(start + 1139ms));
        CPPUNIT_ASSERT(!lease.isValid(start + 1140ms));
        lease.renew(start - 400ms, 1200ms);
        CPPUNIT_ASSERT(lease.expiresAt() == start + 1140ms);
        CPPUNIT_ASSERT(lease.acknowledgement("orders", 3, start + 1140ms) == Acknowledgement::LeaseExpired);
    }

    // Guards against lost writes: a proxy acknowledges a write of a primary that has been replaced.
    void replacedTermIsNeverAcknowledged()
    {
        TermLease lease;
        lease.renew(start, 1200ms);
        lease.grantTerm("orders", 3);
        CPPUNIT_ASSERT(lease.acknowledgement("orders", 3, start) == Acknowledgement::Allowed);
        CPPUNIT_ASSERT(lease.acknowledgement("orders", 4, start) == Acknowledgement::TermUnknown);
        CPPUNIT_ASSERT(lease.acknowledgement("other", 3, start) == Acknowledgement::TermUnknown);
        lease.withdrawTerm("orders", 3);
        CPPUNIT_ASSERT(lease.acknowledgement("orders", 3, start) == Acknowledgement::TermWithdrawn);
        lease.grantTerm("orders", 3);
        CPPUNIT_ASSERT(lease.acknowledgement("orders", 3, start) == Acknowledgement::TermWithdrawn);
        lease.grantTerm("orders", 5);
        CPPUNIT_ASSERT(lease.acknowledgement("orders", 5, start) == Acknowledgement::Allowed);
        CPPUNIT_ASSERT(lease.acknowledgement("orders", 4, start) == Acknowledgement::TermWithdrawn);
    }

    // Guards against two owners at a time: control assigns the next owner 1,260 ms after it sent the grant, by a clock
    // that may run up to 5% faster than that of the proxy.
    void leasesOfTwoProxiesNeverOverlap()
    {
        constexpr std::uint64_t seed = 31;
        std::cerr << " seed " << seed << ' ';
        Random random(seed);
        for (int i = 0; i < 10'000; ++i) {
            const double rate = 1.0 + 0.1 * (random.unit() - 0.5); // rate of the clock of control relative to that of the proxy
            TermLease lease;
            const auto sentAt = start;
            const auto grantSentAt = sentAt + random.upTo(300ms);
            lease.renew(sentAt, 1200ms);
            const auto nextOwnerAt = grantSentAt + std::chrono::duration_cast<Duration>(Duration(1260ms) / rate);
            CPPUNIT_ASSERT(!lease.isValid(nextOwnerAt));
        }
    }
};

class MajorityWaitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MajorityWaitTest);
    CPPUNIT_TEST(majorityOfTheSameTermConfirms);
    CPPUNIT_TEST(endedTermAndPassedDeadlineEndTheWait);
    CPPUNIT_TEST(confirmedWritesAreHeldByAMajority);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost writes: a write is confirmed by a minority, or by a member in another term that may have discarded it.
    void majorityOfTheSameTermConfirms()
    {
        MajorityWait wait(3);
        wait.add(1, "p", {3, 120}, start + 1s);
        wait.add(2, "p", {3, 121}, start + 1s);
        CPPUNIT_ASSERT(wait.takeConfirmed().empty());
        wait.observe("q", {2, 500});
        CPPUNIT_ASSERT(wait.takeConfirmed().empty());
        wait.observe("q", {3, 120});
        wait.observe("q", {3, 90});
        CPPUNIT_ASSERT(wait.takeConfirmed() == Ids {1});
        wait.observe("r", {4, 500});
        CPPUNIT_ASSERT(wait.takeConfirmed().empty());
        MajorityWait single(1);
        single.add(1, "p", {1, 1}, start);
        CPPUNIT_ASSERT(single.takeConfirmed() == Ids {1});
    }

    // Guards against writes that are never answered because their deadline has passed or their term has ended.
    void endedTermAndPassedDeadlineEndTheWait()
    {
        MajorityWait wait(3);
        wait.add(1, "p", {3, 120}, start + 1s);
        wait.add(2, "p", {3, 121}, start + 2s);
        wait.add(3, "p", {4, 122}, start + 3s);
        CPPUNIT_ASSERT(wait.nextDeadline() == start + 1s);
        CPPUNIT_ASSERT(wait.takeExpired(start + 1s) == Ids {1});
        CPPUNIT_ASSERT(wait.takeEnded(3) == Ids {2});
        wait.cancel(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), wait.size());
    }

    // Guards against lost writes: a write is confirmed although fewer than 3 of 5 members have it.
    void confirmedWritesAreHeldByAMajority()
    {
        constexpr std::uint64_t seed = 41;
        std::cerr << " seed " << seed << ' ';
        Random random(seed);
        for (int round = 0; round < 200; ++round) {
            constexpr std::array<const char *, 5> members {"a", "b", "c", "d", "e"};
            std::array<std::uint64_t, 5> applied {};
            MajorityWait wait(members.size());
            for (std::uint64_t id = 1; id <= 50; ++id) {
                applied[0] = id;
                wait.add(id, members[0], {1, id}, start);
                for (std::size_t i = 1; i < members.size(); ++i) {
                    applied[i] = std::max(applied[i], random.between(0, applied[0]));
                    if (random.chance(0.7)) {
                        wait.observe(members[i], {1, random.between(0, applied[i])});
                    }
                }
                for (const auto confirmed : wait.takeConfirmed()) {
                    CPPUNIT_ASSERT(std::count_if(applied.begin(), applied.end(), [confirmed](std::uint64_t position) { return position >= confirmed; }) >= 3);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermLeaseTest);
CPPUNIT_TEST_SUITE_REGISTRATION(MajorityWaitTest);
