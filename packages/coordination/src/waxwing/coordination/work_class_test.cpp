#include "property.h"

#include <waxwing/coordination/fingerprint.h>
#include <waxwing/coordination/work_class.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class WorkClassTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkClassTest);
    CPPUNIT_TEST(statementsOfOneShapeShareAFingerprint);
    CPPUNIT_TEST(classFollowsTheRecentCosts);
    CPPUNIT_TEST(hintCountsOnlyUntilThereAreSamples);
    CPPUNIT_TEST(numberOfFingerprintsIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against useless predictions: values in the fingerprint would give each value a history of its own.
    void statementsOfOneShapeShareAFingerprint()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("write k? ? ?"), fingerprintText("write k12 'a  b' cost=50"));
        CPPUNIT_ASSERT_EQUAL(std::string("scan ?"), fingerprintText("  scan\t\"prefix 1\" "));
        CPPUNIT_ASSERT(fingerprint("read k1") == fingerprint("read k25"));
        CPPUNIT_ASSERT(fingerprint("read k1") != fingerprint("scan k1"));
        checkProperty("a fingerprint contains no digit and is its own fingerprint", [](const std::string &statement) {
            const auto text = fingerprintText(statement);
            RC_ASSERT(text.find_first_of("0123456789'\"") == std::string::npos);
            RC_ASSERT(fingerprintText(text) == text);
        });
    }

    // Guards against long work that is classified as short, and against a class that does not follow a change of cost.
    void classFollowsTheRecentCosts()
    {
        WorkClassifier classifier;
        for (int i = 0; i < 200; ++i) {
            classifier.observe(1, 2ms);
            if (i % 20 == 0) {
                classifier.observe(2, 100ms);
            }
        }
        CPPUNIT_ASSERT(classifier.classify(1) == WorkClass::Short);
        CPPUNIT_ASSERT(classifier.classify(2) == WorkClass::Long);
        CPPUNIT_ASSERT(toMilliseconds(classifier.longThreshold()) >= 19ms && toMilliseconds(classifier.longThreshold()) <= 21ms);
        CPPUNIT_ASSERT(classifier.classify(3) == WorkClass::Short);
        for (int i = 0; i < 9; ++i) {
            classifier.observe(2, 2ms);
        }
        CPPUNIT_ASSERT(classifier.classify(2) == WorkClass::Short);
        // A long statement that is still running makes others with its fingerprint count as long.
        classifier.observeRunning(4, 30ms);
        CPPUNIT_ASSERT(classifier.classify(4) == WorkClass::Long);
    }

    // Guards against a caller that improves the rank of its statements by a wrong hint.
    void hintCountsOnlyUntilThereAreSamples()
    {
        WorkClassifier classifier;
        for (int i = 0; i < 50; ++i) {
            classifier.observe(1, 2ms);
        }
        CPPUNIT_ASSERT(classifier.classify(2, WorkClass::Long) == WorkClass::Long);
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(classifier.classify(2, WorkClass::Short) == WorkClass::Short);
            classifier.observe(2, 100ms);
        }
        CPPUNIT_ASSERT(classifier.classify(2, WorkClass::Short) == WorkClass::Long);
    }

    // Guards against memory that grows with each new statement text, and against dropping fingerprints that are in use.
    void numberOfFingerprintsIsBounded()
    {
        WorkClassifier classifier({.maxFingerprints = 100});
        for (std::uint64_t i = 0; i < 10'000; ++i) {
            classifier.observe(i + 10, 1ms);
            classifier.observe(1, 50ms);
            CPPUNIT_ASSERT(classifier.size() <= 100);
        }
        CPPUNIT_ASSERT(classifier.predictedCost(1) > 49ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkClassTest);
