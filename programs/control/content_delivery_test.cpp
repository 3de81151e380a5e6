#include "content_delivery.h"

#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

using namespace waxwing;
using namespace waxwing::control;

namespace
{

/// Control and one proxy in virtual time. The proxy renews, control answers each renewal and pushes what is due. Messages of one path
/// keep their order; those that are under way when the connection is reset are lost.
class SimulatedDelivery
{
public:
    struct Options
    {
        Duration renewal = 400ms;
        Duration transfer = 30ms; ///< one way, of a small message
        Duration documentTransfer = 30ms; ///< time for which a document occupies the path to the proxy
        bool refuses = false; ///< the proxy accepts no content
        bool statesNumbers = true;
    };

    explicit SimulatedDelivery(const Options &options)
        : m_options(options)
    {
    }

    /// Runs until a time.
    void run(TimePoint end)
    {
        constexpr Duration step = 10ms;
        for (; m_now < end; m_now += step) {
            arrive();
            if (m_now >= m_nextRenewalAt) {
                m_nextRenewalAt = m_now + m_options.renewal;
                m_renewals.push_back({m_now + m_options.transfer, m_held, m_options.statesNumbers ? m_received : 0});
            }
            if (m_delivery.isDue(m_version, m_now)) {
                send();
            }
        }
    }

    /// Stores a newer version.
    void store()
    {
        ++m_version;
    }

    /// Loses what is under way to the proxy.
    void resetConnection()
    {
        m_messages.clear();
        m_pathFreeAt = m_now;
    }

    /// Sends what follows on another path, which is not behind what is under way on the present one.
    void changePath()
    {
        m_delivery.recordPath(m_number + 1);
        m_pathFreeAt = m_now;
    }

    TimePoint now() const
    {
        return m_now;
    }

    std::uint64_t version() const
    {
        return m_version;
    }

    /// Version in force at the proxy.
    std::uint64_t held() const
    {
        return m_held;
    }

    /// Copies that were sent.
    int copies() const
    {
        return m_copies;
    }

private:
    struct Message
    {
        TimePoint at;
        std::uint64_t number;
        std::uint64_t version; ///< of the content; 0 for none
    };

    struct Renewal
    {
        TimePoint at;
        std::uint64_t held;
        std::uint64_t received;
    };

    void send()
    {
        const bool isDue = m_delivery.isDue(m_version, m_now);
        ++m_number;
        m_pathFreeAt = std::max(m_pathFreeAt, m_now) + (isDue ? m_options.documentTransfer : Duration::zero());
        m_messages.push_back({m_pathFreeAt + m_options.transfer, m_number, isDue ? m_version : 0});
        if (isDue) {
            m_delivery.recordSent(m_version, m_now, m_number);
            ++m_copies;
        }
    }

    void arrive()
    {
        const auto isOver = [this](const auto &item) {
            return item.at <= m_now;
        };
        const auto messages = m_messages;
        std::erase_if(m_messages, isOver);
        for (const auto &message : messages) {
            if (isOver(message)) {
                m_received = std::max(m_received, message.number);
                m_held = m_options.refuses ? m_held : std::max(m_held, message.version);
            }
        }
        while (!m_renewals.empty() && isOver(m_renewals.front())) {
            m_delivery.confirm(m_renewals.front().held);
            m_delivery.recordReceived(m_renewals.front().received, m_now);
            m_renewals.pop_front();
            send();
        }
    }

    Options m_options;
    ContentDelivery m_delivery;
    TimePoint m_now {100s};
    TimePoint m_nextRenewalAt {100s};
    TimePoint m_pathFreeAt;
    std::vector<Message> m_messages; ///< to the proxy
    std::deque<Renewal> m_renewals; ///< to control
    std::uint64_t m_version = 0;
    std::uint64_t m_number = 0;
    std::uint64_t m_held = 0;
    std::uint64_t m_received = 0;
    int m_copies = 0;
};

// The users judge a machine once its links have been whole for the first time, and a version after the second one.
constexpr Duration contactTime = 5s;
constexpr Duration applyTime = 3s;

/// Loses the next copies of the present version, with whatever else is under way.
void loseCopies(SimulatedDelivery &simulation, int count)
{
    const auto last = simulation.copies() + count;
    while (simulation.copies() < last) {
        const auto before = simulation.copies();
        simulation.run(simulation.now() + 10ms);
        if (simulation.copies() != before) {
            simulation.resetConnection();
        }
    }
}

} // namespace

class ContentDeliveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ContentDeliveryTest);
    CPPUNIT_TEST(contentUnderWayIsRepeatedAfterADoublingTime);
    CPPUNIT_TEST(newerContentWaitsForContentUnderWay);
    CPPUNIT_TEST(restartedReceiverGetsContentAtOnce);
    CPPUNIT_TEST(lateStatementOfAnOlderVersionSendsNothing);
    CPPUNIT_TEST(lostContentIsSentAgainSoon);
    CPPUNIT_TEST(severalLostCopiesDelayContentNoLongerThanOne);
    CPPUNIT_TEST(newerContentIsNotDelayedByLostCopiesOfAnOlderOne);
    CPPUNIT_TEST(copyThatWasLostOnAnotherPathIsReplaced);
    CPPUNIT_TEST(contentArrivesInTimeAfterRandomLosses);
    CPPUNIT_TEST(slowContentIsNotTakenForLost);
    CPPUNIT_TEST(changesOfPathDoNotRepeatContentEachTime);
    CPPUNIT_TEST(refusedContentIsNotSentWithEachRenewal);
    CPPUNIT_TEST(receiverWithoutNumbersGetsCopiesAsBefore);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a link that fills with copies of the same content, because each renewal that states the former version is
    // answered with another one.
    void contentUnderWayIsRepeatedAfterADoublingTime()
    {
        ContentDelivery delivery({.firstRepetition = 2s, .maxRepetition = 8s});
        delivery.confirm(1);
        int copies = 0;
        for (TimePoint now(10s); now < TimePoint(40s); now += 100ms) {
            delivery.confirm(1);
            if (delivery.isDue(2, now)) {
                delivery.recordSent(2, now);
                ++copies;
            }
        }
        CPPUNIT_ASSERT_EQUAL(5, copies); // after 0, 2, 6, 14 and 22 s
        delivery.confirm(2);
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(1000s)));
    }

    // Guards against a queue of outdated versions before a receiver that is slower than the changes.
    void newerContentWaitsForContentUnderWay()
    {
        ContentDelivery delivery({.firstRepetition = 2s, .maxRepetition = 8s});
        delivery.recordSent(1, TimePoint(10s));
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(11s)));
        delivery.confirm(1);
        CPPUNIT_ASSERT(delivery.isDue(2, TimePoint(11s)));
        delivery.recordSent(2, TimePoint(11s));
        CPPUNIT_ASSERT(!delivery.isDue(3, TimePoint(12'999ms)));
        CPPUNIT_ASSERT(delivery.isDue(3, TimePoint(13s)));
    }

    // Guards against a restarted proxy that waits for content which was sent to its former process.
    void restartedReceiverGetsContentAtOnce()
    {
        ContentDelivery delivery;
        delivery.recordSent(2, TimePoint(10s));
        delivery.confirm(2);
        delivery.reset();
        CPPUNIT_ASSERT(delivery.isDue(2, TimePoint(10s)));
    }

    // Guards against content that is sent again because a renewal arrives after a later one.
    void lateStatementOfAnOlderVersionSendsNothing()
    {
        ContentDelivery delivery;
        delivery.recordSent(2, TimePoint(10s));
        delivery.confirm(2);
        delivery.confirm(1);
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(1000s)));
    }

    // Guards against a proxy that waits for seconds for content which never left control, because its connection had ended.
    void lostContentIsSentAgainSoon()
    {
        ContentDelivery delivery({.firstRepetition = 2s, .maxRepetition = 8s, .lossRepetition = 400ms});
        delivery.recordSent(1, TimePoint(10s));
        delivery.recordSent(2, TimePoint(20s));
        delivery.recordLost(1, TimePoint(20s));
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(21s)));
        delivery.recordLost(2, TimePoint(21s));
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(21'399ms)));
        CPPUNIT_ASSERT(delivery.isDue(2, TimePoint(21'400ms)));
        delivery.recordSent(2, TimePoint(21'400ms));
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(23'399ms)));
        CPPUNIT_ASSERT(delivery.isDue(2, TimePoint(23'400ms)));
    }

    // Guards against a proxy that refuses by an old configuration for up to 8 s after its link is whole: each copy that was lost
    // doubled the time to the next one.
    void severalLostCopiesDelayContentNoLongerThanOne()
    {
        SimulatedDelivery simulation({});
        simulation.run(TimePoint(101s));
        simulation.store();
        loseCopies(simulation, 4);
        simulation.run(simulation.now() + applyTime);
        CPPUNIT_ASSERT_EQUAL(simulation.version(), simulation.held());
    }

    // Guards against the same for a version that is stored after one whose copies were lost, since it waits for them.
    void newerContentIsNotDelayedByLostCopiesOfAnOlderOne()
    {
        SimulatedDelivery simulation({});
        simulation.run(TimePoint(101s));
        simulation.store();
        loseCopies(simulation, 3);
        simulation.run(simulation.now() + 50ms);
        simulation.store();
        simulation.run(simulation.now() + applyTime);
        CPPUNIT_ASSERT_EQUAL(simulation.version(), simulation.held());
    }

    // Guards against the same for a proxy that is reached through another member for a while, and directly again.
    void copyThatWasLostOnAnotherPathIsReplaced()
    {
        SimulatedDelivery simulation({});
        simulation.run(TimePoint(101s));
        simulation.store();
        loseCopies(simulation, 2);
        simulation.changePath();
        loseCopies(simulation, 1);
        simulation.changePath();
        simulation.run(simulation.now() + applyTime);
        CPPUNIT_ASSERT_EQUAL(simulation.version(), simulation.held());
    }

    // Guards against any order of stored versions, lost copies and changes of path after which a proxy has a version too late.
    void contentArrivesInTimeAfterRandomLosses()
    {
        constexpr std::uint64_t runs = 300;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            Random random(seed);
            SimulatedDelivery simulation({.renewal = 400ms + random.upTo(400ms), .transfer = 10ms + random.upTo(150ms)});
            simulation.run(simulation.now() + random.upTo(1s));
            const auto end = simulation.now() + 20s;
            while (simulation.now() < end) {
                if (random.chance(0.3)) {
                    simulation.store();
                }
                if (random.chance(0.2)) {
                    simulation.changePath();
                }
                simulation.run(simulation.now() + random.upTo(300ms));
                simulation.resetConnection();
            }
            const auto whole = simulation.now();
            simulation.run(whole + random.upTo(contactTime));
            simulation.store();
            simulation.run(std::max(whole + contactTime, simulation.now() + applyTime));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), simulation.version(), simulation.held());
        }
    }

    // Guards against a slow link that fills with copies: the first one takes longer than a renewal and is taken for a lost one.
    void slowContentIsNotTakenForLost()
    {
        SimulatedDelivery simulation({.documentTransfer = 5s});
        simulation.run(TimePoint(101s));
        simulation.store();
        const auto storedAt = simulation.now();
        simulation.run(storedAt + 5s);
        CPPUNIT_ASSERT_EQUAL(2, simulation.copies()); // after 0 and 2 s
        simulation.run(storedAt + 20s);
        CPPUNIT_ASSERT_EQUAL(simulation.version(), simulation.held());
        CPPUNIT_ASSERT_EQUAL(2, simulation.copies());
    }

    // Guards against a copy for each change of path of a proxy that is reached on two paths in turn, one of them slow.
    void changesOfPathDoNotRepeatContentEachTime()
    {
        SimulatedDelivery simulation({.documentTransfer = 30s});
        simulation.run(TimePoint(101s));
        simulation.store();
        const auto storedAt = simulation.now();
        while (simulation.now() < storedAt + 20s) {
            simulation.changePath();
            simulation.run(simulation.now() + 200ms);
        }
        const ContentDelivery::Options defaults;
        CPPUNIT_ASSERT_LESSEQUAL(static_cast<int>(2 + 20s / defaults.firstRepetition), simulation.copies());
    }

    // Guards against a copy for each renewal of a proxy that gets the content and can't use it.
    void refusedContentIsNotSentWithEachRenewal()
    {
        SimulatedDelivery simulation({.refuses = true});
        simulation.run(TimePoint(101s));
        simulation.store();
        simulation.run(simulation.now() + 20s);
        CPPUNIT_ASSERT_LESSEQUAL(22, simulation.copies()); // at most one a second, after the first two
    }

    // Guards against proxies of an earlier release that get more copies, since they state no numbers.
    void receiverWithoutNumbersGetsCopiesAsBefore()
    {
        SimulatedDelivery simulation({.refuses = true, .statesNumbers = false});
        simulation.run(TimePoint(101s));
        simulation.store();
        simulation.run(simulation.now() + 30s);
        CPPUNIT_ASSERT_EQUAL(5, simulation.copies()); // after 0, 2, 6, 14 and 22 s
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContentDeliveryTest);
