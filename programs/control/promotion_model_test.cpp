#include "testing/promotion_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <set>

using namespace waxwing;
using waxwing::control::testing::PromotionModel;

namespace
{

constexpr std::uint64_t defaultRuns = 400;
constexpr std::uint64_t maxDefectRuns = 4'000; // enough to find every defect, whichever the first seed is
constexpr Duration runDuration = 40s;

} // namespace

class PromotionModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromotionModelTest);
    CPPUNIT_TEST(noCommitIsLostAndNoReadIsStale);
    CPPUNIT_TEST(noCommitIsLostWithoutFencing);
    CPPUNIT_TEST(everyInjectedDefectIsFound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost commits and stale reads after promotions in any order of crashes, network cuts, suspensions, late
    // orders and new control leaders. WAXWING_RUNS sets the number of seeds; WAXWING_SEED the first one, alone by default.
    void noCommitIsLostAndNoReadIsStale()
    {
        checkSeeds(PromotionModel::Platform::Fenced);
    }

    // Guards against the same where late orders are carried out after newer ones and a replaced primary goes on.
    void noCommitIsLostWithoutFencing()
    {
        checkSeeds(PromotionModel::Platform::Unfenced);
    }

    // Guards against a model whose checks do not detect a violation, by injecting each defect.
    void everyInjectedDefectIsFound()
    {
        using Defect = PromotionModel::Defect;
        using Platform = PromotionModel::Platform;
        // The first seed is one that finds the defect in the current model; after a change of the model, the following seeds
        // are searched as well.
        struct Search
        {
            Platform platform;
            std::set<Defect> defects;
            std::uint64_t firstSeed;
        };
        for (const auto &[platform, defects, firstSeed] :
             {Search {Platform::Fenced, {Defect::PromoteWithoutWithdrawal}, 293}, Search {Platform::Fenced, {Defect::CompareBeforeClosing}, 219},
              Search {Platform::Fenced, {Defect::ForgetDeregistered}, 100}, Search {Platform::Fenced, {Defect::TrustDeregistration}, 2'289},
              Search {Platform::Fenced, {Defect::TrustEndedPause, Defect::IgnoreStatedCommits}, 971}, Search {Platform::Fenced, {Defect::ForgetSilent}, 541},
              Search {Platform::Fenced, {Defect::TrustRestarted}, 57}, Search {Platform::Fenced, {Defect::IgnoreAcknowledgedPosition}, 29},
              Search {Platform::Fenced, {Defect::AcknowledgeInClosedEpoch}, 2'099}, Search {Platform::Unfenced, {Defect::PromoteWithoutWithdrawal}, 299},
              Search {Platform::Unfenced, {Defect::IgnoreStatedCommits}, 4'308}, Search {Platform::Unfenced, {Defect::ReadWithoutLease}, 37},
              Search {Platform::Unfenced, {Defect::IgnoreLateOrders}, 20}, Search {Platform::Unfenced, {Defect::TrustEarlierTerm}, 654}}) {
            bool found = false;
            for (auto seed = firstSeed; seed < firstSeed + maxDefectRuns && !found; ++seed) {
                found = !PromotionModel(seed, platform, defects).run(runDuration).empty();
            }
            CPPUNIT_ASSERT_MESSAGE(
                "no violation found for defect " + std::to_string(static_cast<int>(*defects.begin())) + " from seed " + std::to_string(firstSeed), found);
        }
    }

private:
    static void checkSeeds(PromotionModel::Platform platform)
    {
        const char *seedText = std::getenv("WAXWING_SEED");
        const char *runsText = std::getenv("WAXWING_RUNS");
        const auto first = seedText != nullptr ? std::strtoull(seedText, nullptr, 10) : 1;
        const auto runs = runsText != nullptr ? std::strtoull(runsText, nullptr, 10) : seedText != nullptr ? 1 : defaultRuns;
        std::uint64_t primaryChanges = 0;
        for (auto seed = first; seed < first + runs; ++seed) {
            PromotionModel model(seed, platform);
            const auto violation = model.run(runDuration);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + violation, violation.empty());
            primaryChanges += model.finishedChanges();
        }
        std::cout << ' ' << runs << " seeds, " << primaryChanges << " changes of the primary" << std::flush;
        CPPUNIT_ASSERT(primaryChanges > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionModelTest);
