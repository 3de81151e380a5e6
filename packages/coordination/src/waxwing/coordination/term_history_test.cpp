#include <waxwing/coordination/term_history.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <vector>

using namespace waxwing;

class TermHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TermHistoryTest);
    CPPUNIT_TEST(agreesWithSimulatedLogs);
    CPPUNIT_TEST(droppedTermsAreUndetermined);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lost write that is reported as kept, a kept one reported as lost, and a replica without a write that
    // serves a session that has seen it. The model keeps the whole log: entry i is the term that wrote position i + 1.
    void agreesWithSimulatedLogs()
    {
        constexpr std::uint64_t seed = 21;
        std::cerr << " seed " << seed << ' ';
        Random random(seed);
        for (int round = 0; round < 200; ++round) {
            std::vector<std::uint64_t> log;
            std::vector<std::vector<std::uint64_t>> logAtTerm {{}};
            TermHistory history;
            std::vector<TermPosition> written;
            std::uint64_t term = 0;
            for (int change = 0; change < 8; ++change) {
                term += random.between(1, 3);
                log.resize(log.size() - random.between(0, std::min<std::size_t>(log.size(), 6)));
                history.add({.term = term, .start = log.size()});
                for (auto writes = random.between(0, 8); writes > 0; --writes) {
                    log.push_back(term);
                    written.push_back({term, log.size()});
                }
                for (const auto &write : written) {
                    const bool isKept = log.size() >= write.position && log[write.position - 1] == write.term;
                    CPPUNIT_ASSERT_EQUAL(isKept, history.fate(write) == WriteFate::Kept);
                    CPPUNIT_ASSERT_EQUAL(!isKept, history.fate(write) == WriteFate::Lost);
                    const auto applied = random.between(0, log.size());
                    CPPUNIT_ASSERT_EQUAL(isKept && applied >= write.position, history.isSatisfied(write, {term, applied}));
                }
            }
            CPPUNIT_ASSERT(history.fate({term + 1, 1}) == WriteFate::FutureTerm);
        }
    }

    // Guards against a lost write that is reported as kept, because the term that discarded it was dropped from the history.
    void droppedTermsAreUndetermined()
    {
        TermHistory history({}, 2);
        history.add({.term = 2, .start = 10});
        history.add({.term = 3, .start = 50});
        history.add({.term = 4, .start = 60});
        CPPUNIT_ASSERT(history.fate({1, 5}) == WriteFate::Undetermined);
        CPPUNIT_ASSERT(history.fate({1, 55}) == WriteFate::Lost);
        CPPUNIT_ASSERT(history.fate({2, 20}) == WriteFate::Kept);
        CPPUNIT_ASSERT(history.fate({2, 55}) == WriteFate::Lost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermHistoryTest);
