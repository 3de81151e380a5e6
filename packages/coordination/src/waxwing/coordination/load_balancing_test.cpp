#include <waxwing/coordination/load_balancing.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <iostream>
#include <numeric>
#include <optional>
#include <vector>

using namespace waxwing;

namespace
{

constexpr std::size_t chooserCount = 36;
constexpr std::size_t databaseCount = 8;
constexpr std::size_t slotCount = 5;
constexpr Duration informationAge = 400ms;
constexpr Duration stepTime = 100ms;
constexpr Duration playedTime = 20s;
constexpr Duration resolution = 1ms;
constexpr Duration meanWork = 6ms;
// About half of what the databases can run.
constexpr double statementsPerSecond = 3600;
// Even load, the goal: the busiest database has at most 1.5 times the mean.
constexpr double maxImbalance = 1.5;
// Share of the steps that may exceed it: statements arrive at random, and a step has about 45 of them for each database.
constexpr double maxUnevenShare = 0.05;

/// First in, first out queue in front of slots that work at the same time; the work of a statement is exponentially distributed.
class PlayedDatabase
{
public:
    explicit PlayedDatabase(double slowness)
        : m_slowness(slowness)
    {
    }

    void add(std::size_t chooser, Random &random)
    {
        m_queue.push_back({chooser, std::chrono::duration_cast<Duration>(random.exponential(m_slowness) * std::chrono::duration<double>(meanWork))});
        ++m_unanswered[chooser];
    }

    void pass()
    {
        for (auto &slot : m_slots) {
            if (slot && slot->rest <= resolution) {
                --m_unanswered[slot->chooser];
                slot.reset();
            } else if (slot) {
                slot->rest -= resolution;
            }
            if (!slot && !m_queue.empty()) {
                slot = m_queue.front();
                m_queue.pop_front();
            }
        }
    }

    /// Time until a statement that arrives now is answered, as a caller would measure it.
    Duration answerTime() const
    {
        const auto work = std::chrono::duration_cast<Duration>(meanWork * m_slowness);
        return work + work * static_cast<Duration::rep>(m_queue.size()) / static_cast<Duration::rep>(slotCount);
    }

    std::size_t unanswered(std::size_t chooser) const
    {
        return m_unanswered[chooser];
    }

private:
    struct Work
    {
        std::size_t chooser = 0;
        Duration rest {};
    };

    double m_slowness;
    std::deque<Work> m_queue;
    std::array<std::optional<Work>, slotCount> m_slots;
    std::array<std::size_t, chooserCount> m_unanswered {};
};

struct Outcome
{
    double meanImbalance = 0; ///< busiest divided by mean, averaged over the steps
    double unevenShare = 0; ///< share of the steps in which it exceeds maxImbalance
    std::array<std::size_t, databaseCount> statements {};
};

using Rule = std::function<std::size_t(std::size_t chooser, std::span<const LoadCandidate> candidates)>;

/// Plays choosers that learn of every database's answer time when it is 400 ms old.
/// @param slownessOfFirst how much longer statements take on the first database; the others alone are compared if they are faster
Outcome play(std::uint64_t seed, const Rule &rule, double slownessOfFirst = 1)
{
    std::cout << "seed " << seed << '\n';
    Random random(seed);
    std::vector<PlayedDatabase> databases(databaseCount, PlayedDatabase(1));
    databases.front() = PlayedDatabase(slownessOfFirst);
    std::array<std::deque<Duration>, databaseCount> history; // latest last
    std::array<std::size_t, databaseCount> step {};
    Outcome outcome;
    std::size_t steps = 0;
    double arrivals = 0;
    for (Duration time {}; time < playedTime; time += resolution) {
        for (std::size_t i = 0; i < databaseCount; ++i) {
            history[i].push_back(databases[i].answerTime());
            if (history[i].size() > static_cast<std::size_t>(informationAge / resolution)) {
                history[i].pop_front();
            }
        }
        for (arrivals += statementsPerSecond * std::chrono::duration<double>(resolution).count(); arrivals >= 1; arrivals -= 1) {
            const auto chooser = random.between(0, chooserCount - 1);
            std::vector<LoadCandidate> candidates(databaseCount);
            for (std::size_t i = 0; i < databaseCount; ++i) {
                candidates[i].assumed = 5ms;
                candidates[i].measured = history[i].front();
                candidates[i].age = informationAge;
                candidates[i].sentSince = databases[i].unanswered(chooser);
                candidates[i].timePerSent = meanWork / static_cast<Duration::rep>(slotCount);
            }
            const auto chosen = rule(chooser, candidates);
            databases[chosen].add(chooser, random);
            ++step[chosen];
            ++outcome.statements[chosen];
        }
        std::for_each(databases.begin(), databases.end(), [](PlayedDatabase &database) { database.pass(); });
        if ((time + resolution) % stepTime == Duration::zero()) {
            const auto *first = step.data() + (slownessOfFirst == 1 ? 0 : 1);
            const auto *last = step.data() + step.size();
            const auto imbalance = static_cast<double>(*std::max_element(first, last)) * static_cast<double>(last - first) / std::accumulate(first, last, 0.0);
            outcome.meanImbalance += imbalance;
            outcome.unevenShare += imbalance > maxImbalance ? 1 : 0;
            ++steps;
            step.fill(0);
        }
    }
    outcome.meanImbalance /= static_cast<double>(steps);
    outcome.unevenShare /= static_cast<double>(steps);
    std::cout << "busiest divided by mean " << outcome.meanImbalance << ", steps above " << maxImbalance << ": " << outcome.unevenShare << '\n';
    return outcome;
}

/// The rule that LoadBalancing replaces: the lowest measured time, whatever was sent since.
std::size_t chooseLowest(std::size_t, std::span<const LoadCandidate> candidates)
{
    const auto lowest = std::min_element(candidates.begin(), candidates.end(), [](const LoadCandidate &a, const LoadCandidate &b) {
        return weightedByAge(*a.measured, a.assumed, a.age) < weightedByAge(*b.measured, b.assumed, b.age);
    });
    return static_cast<std::size_t>(lowest - candidates.begin());
}

Rule balancedRule(std::vector<LoadBalancing> &choosers, bool countsSent)
{
    return [&choosers, countsSent](std::size_t chooser, std::span<const LoadCandidate> candidates) {
        std::vector<LoadCandidate> known(candidates.begin(), candidates.end());
        for (auto &candidate : known) {
            candidate.sentSince = countsSent ? candidate.sentSince : 0;
        }
        return choosers[chooser].choose(known)->index;
    };
}

std::vector<LoadBalancing> makeChoosers(std::uint64_t seed)
{
    std::vector<LoadBalancing> choosers;
    for (std::size_t i = 0; i < chooserCount; ++i) {
        choosers.emplace_back(seed * 1000 + i);
    }
    return choosers;
}

LoadCandidate candidate(Duration measured, unsigned distanceClass = 0, Duration distanceCost = {})
{
    LoadCandidate one;
    one.distanceClass = distanceClass;
    one.distanceCost = distanceCost;
    one.assumed = 5ms;
    one.measured = measured;
    return one;
}

} // namespace

class LoadBalancingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadBalancingTest);
    CPPUNIT_TEST(lowestExpectedTimeSwings);
    CPPUNIT_TEST(loadIsEvenOnStaleInformation);
    CPPUNIT_TEST(loadIsEvenWithoutCountingWhatWasSent);
    CPPUNIT_TEST(slowDatabaseGetsLess);
    CPPUNIT_TEST(clearlySlowerCandidateIsNeverChosen);
    CPPUNIT_TEST(avoidedCandidateIsNeverChosen);
    CPPUNIT_TEST(oldMeasurementIsTriedAgain);
    CPPUNIT_TEST(statementsSentSinceCount);
    CPPUNIT_TEST(farCandidateIsChosenOnlyIfItSavesMoreThanTheDistanceCosts);
    CPPUNIT_TEST(burstStaysNear);
    CPPUNIT_TEST(withoutInformationTheNearestIsChosen);
    CPPUNIT_TEST(singleCandidateIsChosen);
    CPPUNIT_TEST(candidatesOfDifferentClassesAreNotDrawn);
    CPPUNIT_TEST(seedDecidesTheDraws);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a played situation in which the present rule is good enough, so that the next test shows nothing.
    void lowestExpectedTimeSwings()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const auto outcome = play(seed, chooseLowest);
            CPPUNIT_ASSERT(outcome.meanImbalance > 2 * maxImbalance);
            CPPUNIT_ASSERT(outcome.unevenShare > 0.9);
        }
    }

    // Guards against choosers that all send to the database that was the fastest 400 ms ago.
    void loadIsEvenOnStaleInformation()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto choosers = makeChoosers(seed);
            const auto outcome = play(seed, balancedRule(choosers, true));
            CPPUNIT_ASSERT(outcome.meanImbalance <= maxImbalance);
            CPPUNIT_ASSERT(outcome.unevenShare <= maxUnevenShare);
        }
    }

    // Guards against a spread that is due to a chooser's own statements only: a chooser that sends one statement now and then has none to
    // count, and has to spread them by the draw.
    void loadIsEvenWithoutCountingWhatWasSent()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto choosers = makeChoosers(seed);
            const auto outcome = play(seed, balancedRule(choosers, false));
            CPPUNIT_ASSERT(outcome.meanImbalance <= maxImbalance);
            CPPUNIT_ASSERT(outcome.unevenShare <= maxUnevenShare);
        }
    }

    // Guards against an even spread that ignores that a database can run only a fifth of the statements. At an even share its queue would
    // grow without bound. Also guards against all choosers returning to it at once.
    void slowDatabaseGetsLess()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto choosers = makeChoosers(seed);
            const auto outcome = play(seed, balancedRule(choosers, true), 5);
            const auto all = std::accumulate(outcome.statements.begin(), outcome.statements.end(), std::size_t(0));
            const auto others = (all - outcome.statements.front()) / (databaseCount - 1);
            CPPUNIT_ASSERT(outcome.statements.front() * 3 < others);
            CPPUNIT_ASSERT(outcome.meanImbalance <= maxImbalance);
        }
    }

    // Guards against statements that are sent to a slow database for the sake of the spread.
    void clearlySlowerCandidateIsNeverChosen()
    {
        LoadBalancing balancing(1);
        for (int i = 0; i < 1000; ++i) {
            CPPUNIT_ASSERT(balancing.choose(std::array {candidate(30ms), candidate(10ms), candidate(11ms)})->index != 0);
        }
    }

    // Guards against draws that choose a database that left statements unanswered.
    void avoidedCandidateIsNeverChosen()
    {
        auto avoided = candidate(10ms);
        avoided.penalty = 10s;
        LoadBalancing balancing(1);
        for (int i = 0; i < 1000; ++i) {
            CPPUNIT_ASSERT(balancing.choose(std::array {avoided, candidate(10ms)})->index == 1);
        }
    }

    // Guards against a database that was slow once and is never measured again.
    void oldMeasurementIsTriedAgain()
    {
        auto old = candidate(100ms);
        old.age = 10s;
        LoadBalancing balancing(1);
        unsigned chosen = 0;
        for (int i = 0; i < 1000; ++i) {
            chosen += balancing.choose(std::array {candidate(6ms), old})->index == 1 ? 1 : 0;
        }
        CPPUNIT_ASSERT(chosen > 500);
    }

    // Guards against a burst that goes to one database because no answer has come back yet.
    void statementsSentSinceCount()
    {
        std::array both {candidate(5ms), candidate(6ms)};
        LoadBalancing balancing(1);
        std::array<std::size_t, 2> sent {};
        for (int i = 0; i < 100; ++i) {
            for (std::size_t j = 0; j < both.size(); ++j) {
                both[j].sentSince = sent[j];
                both[j].timePerSent = 1ms;
            }
            ++sent[balancing.choose(both)->index];
        }
        CPPUNIT_ASSERT(sent[0] > 35 && sent[1] > 35);
    }

    // Guards against traffic between regions that saves less time than it costs, and against a near database that is used whatever its load.
    void farCandidateIsChosenOnlyIfItSavesMoreThanTheDistanceCosts()
    {
        LoadBalancing balancing(1);
        for (int i = 0; i < 1000; ++i) {
            CPPUNIT_ASSERT(balancing.choose(std::array {candidate(45ms, 1, 15ms), candidate(60ms)})->index == 1);
            CPPUNIT_ASSERT(balancing.choose(std::array {candidate(45ms, 1, 15ms), candidate(61ms)})->index == 0);
        }
    }

    // Guards against a few statements without an answer yet that move the next ones to another region.
    void burstStaysNear()
    {
        auto near = candidate(5ms);
        near.sentSince = 100;
        near.timePerSent = 5ms;
        LoadBalancing balancing(1);
        CPPUNIT_ASSERT(balancing.choose(std::array {candidate(45ms, 1, 15ms), near})->index == 1);
    }

    // Guards against a start that sends statements to other regions before anything was measured.
    void withoutInformationTheNearestIsChosen()
    {
        std::array<LoadCandidate, 3> unknown;
        unknown[0].distanceClass = 2;
        unknown[1].distanceClass = 1;
        unknown[2].distanceClass = 2;
        LoadBalancing balancing(1);
        for (int i = 0; i < 1000; ++i) {
            CPPUNIT_ASSERT(balancing.choose(unknown)->index == 1);
        }
    }

    // Guards against a rule that leaves a statement without a database.
    void singleCandidateIsChosen()
    {
        LoadBalancing balancing(1);
        CPPUNIT_ASSERT(!balancing.choose({}));
        auto only = candidate(10s, 2, 15ms);
        only.penalty = 10s;
        only.sentSince = 1000;
        only.timePerSent = 5ms;
        const auto choice = balancing.choose(std::array {only});
        CPPUNIT_ASSERT(choice && choice->index == 0 && !choice->balanced);
    }

    // Guards against a change for deployments with one database per region: there the lowest cost decides alone.
    void candidatesOfDifferentClassesAreNotDrawn()
    {
        LoadBalancing balancing(1);
        for (int i = 0; i < 1000; ++i) {
            const auto choice = balancing.choose(std::array {candidate(11ms, 0), candidate(10ms, 1), candidate(12ms, 2)});
            CPPUNIT_ASSERT(choice->index == 1 && !choice->balanced);
        }
    }

    // Guards against processes that draw alike, and against runs of a test that differ.
    void seedDecidesTheDraws()
    {
        std::vector<std::size_t> draws[3];
        const std::array equal {candidate(10ms), candidate(10ms), candidate(10ms)};
        const std::uint64_t seeds[] {1, 1, 2};
        for (int i = 0; i < 3; ++i) {
            LoadBalancing balancing(seeds[i]);
            for (int j = 0; j < 64; ++j) {
                draws[i].push_back(balancing.choose(equal)->index);
            }
        }
        CPPUNIT_ASSERT(draws[0] == draws[1]);
        CPPUNIT_ASSERT(draws[0] != draws[2]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadBalancingTest);
