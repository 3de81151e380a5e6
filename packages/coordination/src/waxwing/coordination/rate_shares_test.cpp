#include <waxwing/coordination/operation_limiter.h>
#include <waxwing/coordination/rate_shares.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace waxwing;

namespace
{

constexpr Duration step = 10ms;
constexpr Duration renewalInterval = 400ms;
constexpr Duration earlyRenewalInterval = 100ms;
constexpr Duration longestWait = 400ms;
constexpr Duration lease = 2s;
constexpr Duration leaseWithDrift = 2100ms;

/// Control and its proxies in virtual time, with one workspace: messages take some steps, may be lost, and leaders, proxies and their
/// connection to control come and go.
class Fleet
{
public:
    Fleet(unsigned seed, std::size_t proxies, RateShares::Limit limit)
        : m_random(seed)
        , m_limit(limit)
    {
        m_shares.setLimits({{"w", limit}});
        for (std::size_t i = 0; i < proxies; ++i) {
            m_proxies.push_back(std::make_unique<Proxy>());
            m_proxies.back()->renewAt = TimePoint(1s) + renewalInterval * static_cast<int>(i) / static_cast<int>(proxies);
        }
    }

    struct Proxy
    {
        OperationLimiter limiter;
        std::uint64_t incarnation = 1;
        double offered = 0; ///< operations a second
        double owed = 0;
        std::deque<TimePoint> waitingSince;
        TimePoint renewAt;
        TimePoint renewedAt;
        TimePoint leaseEnd;
        bool cutOff = false;
    };

    void run(Duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            deliver();
            expire();
            for (std::size_t i = 0; i < m_proxies.size(); ++i) {
                renew(i);
                offer(*m_proxies[i]);
            }
            while (!m_admitted.empty() && m_admitted.front() <= m_now - 5s) {
                m_admitted.pop_front();
            }
            mostInWindow = std::max(mostInWindow, m_admitted.size());
        }
    }

    /// Another member leads: it knows nothing of what was granted.
    void changeLeader()
    {
        ++m_term;
        m_shares.reset();
        m_expected.clear();
        for (std::size_t i = 0; i < m_proxies.size(); ++i) {
            m_expected.push_back(i);
        }
        m_completeAt = m_now + leaseWithDrift;
        m_grantedUntil.clear();
    }

    void restart(std::size_t index)
    {
        auto &proxy = *m_proxies[index];
        proxy.limiter = OperationLimiter();
        ++proxy.incarnation;
        proxy.leaseEnd = {};
    }

    Proxy &proxy(std::size_t index)
    {
        return *m_proxies[index];
    }

    std::size_t size() const
    {
        return m_proxies.size();
    }

    /// Bound that the configuration promises for any window of 5 s.
    double bound() const
    {
        return (m_limit.rate * 5 + m_limit.burst) * 1.1 + 20;
    }

    std::mt19937 &random()
    {
        return m_random;
    }

    double loss = 0; ///< share of messages that are lost
    std::size_t mostInWindow = 0; ///< operations admitted within 5 s
    std::size_t admitted = 0;
    std::size_t refused = 0;

private:
    struct Message
    {
        TimePoint at;
        std::size_t proxy = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t term = 0; ///< of the leader that a grant came from
        std::uint64_t number = 0; ///< of a grant; 0 for a renewal
        std::vector<RateDemand> demands;
        std::uint64_t received = 0;
        std::uint64_t receivedTerm = 0;
        std::vector<RateShare> shares;
        TimePoint renewedAt;
    };

    void post(Message message)
    {
        if (std::uniform_real_distribution<>()(m_random) < loss || m_proxies[message.proxy]->cutOff) {
            return;
        }
        message.at = m_now + step * std::uniform_int_distribution<>(1, 8)(m_random);
        m_messages.push_back(std::move(message));
    }

    void deliver()
    {
        for (std::size_t i = 0; i < m_messages.size();) {
            if (m_messages[i].at > m_now) {
                ++i;
                continue;
            }
            const auto message = std::move(m_messages[i]);
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(i));
            auto &proxy = *m_proxies[message.proxy];
            if (message.number == 0) {
                answer(message);
            } else if (proxy.incarnation == message.incarnation) {
                proxy.limiter.apply(message.shares, message.term, message.number, m_now);
                proxy.leaseEnd = std::max(proxy.leaseEnd, message.renewedAt + lease);
            }
        }
    }

    void answer(const Message &renewal)
    {
        if (renewal.incarnation != m_proxies[renewal.proxy]->incarnation) {
            return; // its process has ended; a later one may have renewed already
        }
        const auto name = std::to_string(renewal.proxy);
        std::erase(m_expected, renewal.proxy);
        m_shares.renew(name, renewal.incarnation, renewal.receivedTerm == m_term ? renewal.received : 0, renewal.demands);
        Message grant;
        grant.proxy = renewal.proxy;
        grant.incarnation = renewal.incarnation;
        grant.term = m_term;
        grant.number = ++m_number;
        const auto unknown = m_now >= m_completeAt ? 0 : m_expected.size();
        grant.shares = m_shares.grant(name, m_number, 1 - static_cast<double>(unknown) / static_cast<double>(m_proxies.size()), m_now);
        grant.renewedAt = renewal.renewedAt;
        m_grantedUntil[renewal.proxy] = m_now + leaseWithDrift;
        post(std::move(grant));
    }

    void expire()
    {
        std::erase_if(m_grantedUntil, [this](const auto &item) {
            if (item.second > m_now) {
                return false;
            }
            m_shares.remove(std::to_string(item.first));
            return true;
        });
    }

    void renew(std::size_t index)
    {
        auto &proxy = *m_proxies[index];
        if (m_now < proxy.renewAt) {
            return;
        }
        proxy.renewedAt = m_now;
        proxy.renewAt = m_now + renewalInterval;
        Message renewal;
        renewal.proxy = index;
        renewal.incarnation = proxy.incarnation;
        renewal.demands = proxy.limiter.demands(m_now);
        renewal.received = proxy.limiter.number();
        renewal.receivedTerm = proxy.limiter.term();
        renewal.renewedAt = m_now;
        post(std::move(renewal));
    }

    void offer(Proxy &proxy)
    {
        proxy.owed += proxy.offered * std::chrono::duration<double>(step).count();
        for (; proxy.owed >= 1; proxy.owed -= 1) {
            proxy.limiter.recordArrival("w", m_now);
            proxy.waitingSince.push_back(m_now);
        }
        while (!proxy.waitingSince.empty()) {
            const auto verdict = proxy.limiter.admit("w", proxy.leaseEnd > m_now, m_now).verdict;
            if (verdict == OperationLimiter::Verdict::Admitted) {
                m_admitted.push_back(m_now);
                ++admitted;
            } else if (verdict == OperationLimiter::Verdict::Refused || m_now - proxy.waitingSince.front() >= longestWait) {
                ++refused;
            } else {
                proxy.renewAt = std::min(proxy.renewAt, proxy.renewedAt + earlyRenewalInterval);
                break;
            }
            proxy.waitingSince.pop_front();
        }
    }

    std::mt19937 m_random;
    RateShares::Limit m_limit;
    RateShares m_shares;
    std::uint64_t m_term = 1;
    std::uint64_t m_number = 0;
    TimePoint m_now = TimePoint(1s);
    TimePoint m_completeAt = m_now;
    std::vector<std::size_t> m_expected; ///< proxies that may hold rates of an earlier leader
    std::map<std::size_t, TimePoint> m_grantedUntil;
    std::vector<std::unique_ptr<Proxy>> m_proxies;
    std::vector<Message> m_messages;
    std::deque<TimePoint> m_admitted;
};

constexpr std::size_t fleetSize = 30;

} // namespace

class RateSharesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateSharesTest);
    CPPUNIT_TEST(demandBelowTheLimitIsServed);
    CPPUNIT_TEST(demandThatMovesIsFollowed);
    CPPUNIT_TEST(hotWorkspaceStaysWithinItsLimit);
    CPPUNIT_TEST(newLeaderDoesNotGrantTwice);
    CPPUNIT_TEST(loweredLimitIsFollowed);
    CPPUNIT_TEST(limitHoldsUnderRandomFailures);
    CPPUNIT_TEST(workspaceWithoutALimitIsNotLimited);
    CPPUNIT_TEST(tinyRateGivesAUsableTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusals below the limit, in steady demand that is uneven over the proxies.
    void demandBelowTheLimitIsServed()
    {
        Fleet fleet(1, fleetSize, {100, 100});
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.proxy(i).offered = i % 3 == 0 ? 6 : 0.2;
        }
        fleet.run(4s);
        fleet.refused = 0;
        fleet.run(20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.refused);
    }

    // Guards against a workspace that is refused below its limit since the proxies that it left keep their shares.
    void demandThatMovesIsFollowed()
    {
        Fleet fleet(2, fleetSize, {100, 100});
        for (std::size_t i = 0; i < 10; ++i) {
            fleet.proxy(i).offered = 6;
        }
        fleet.run(5s);
        for (std::size_t i = 0; i < 10; ++i) {
            fleet.proxy(i).offered = 0;
            fleet.proxy(i + 15).offered = 6;
        }
        fleet.run(2s + longestWait); // what is refused from then on arrived after two seconds
        fleet.refused = 0;
        fleet.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.refused);
    }

    // Guards against more operations than the limit allows, and against much less than it allows, when a workspace sends eight times its usual.
    void hotWorkspaceStaysWithinItsLimit()
    {
        Fleet fleet(3, fleetSize, {100, 100});
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.proxy(i).offered = 2;
        }
        fleet.run(5s);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.proxy(i).offered = 16;
        }
        fleet.run(10s);
        fleet.admitted = 0;
        fleet.run(10s);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.mostInWindow), static_cast<double>(fleet.mostInWindow) <= fleet.bound());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.admitted), fleet.admitted >= 900);
    }

    // Guards against a new leader that grants what proxies already hold, a proxy that is cut off from it among them.
    void newLeaderDoesNotGrantTwice()
    {
        Fleet fleet(4, fleetSize, {100, 100});
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.proxy(i).offered = 16;
        }
        fleet.run(10s);
        for (std::size_t i = 0; i < fleet.size() / 2; ++i) {
            fleet.proxy(i).cutOff = true;
        }
        fleet.changeLeader();
        fleet.run(10s);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.mostInWindow), static_cast<double>(fleet.mostInWindow) <= fleet.bound());
    }

    // Guards against shares of a former limit that go on.
    void loweredLimitIsFollowed()
    {
        RateShares shares;
        shares.setLimits({{"w", {100, 100}}});
        const std::vector<RateDemand> demands {{"w", 50, 0}};
        shares.renew("a", 1, 0, demands);
        CPPUNIT_ASSERT(shares.grant("a", 1, 1, TimePoint(1s)).front().rate >= 50);
        shares.setLimits({{"w", {10, 10}}});
        shares.renew("a", 1, 1, demands);
        const auto lowered = shares.grant("a", 2, 1, TimePoint(2s));
        CPPUNIT_ASSERT(lowered.front().rate <= 10 && lowered.front().isLimited);
        shares.renew("a", 1, 2, demands);
        CPPUNIT_ASSERT(shares.inForce("w") <= 10);
        shares.setLimits({});
        CPPUNIT_ASSERT(shares.grant("a", 3, 1, TimePoint(3s)).empty());
    }

    // Guards against any series of lost messages, restarts, cut-off proxies and new leaders that lets a workspace pass its limit.
    void limitHoldsUnderRandomFailures()
    {
        constexpr unsigned seeds = 40;
        // Before the others one that broke the bound: a new leader did not yet know the demand, and gave each proxy too much of the burst.
        std::vector<unsigned> all {1313};
        for (unsigned seed = 100; seed < 100 + seeds; ++seed) {
            all.push_back(seed);
        }
        for (const auto seed : all) {
            std::mt19937 random(seed);
            const auto draw = [&](int low, int high) {
                return std::uniform_int_distribution<>(low, high)(random);
            };
            const double rate = draw(2, 300);
            Fleet fleet(seed, static_cast<std::size_t>(draw(2, 60)), {rate, static_cast<double>(draw(1, static_cast<int>(rate) + 1))});
            fleet.loss = draw(0, 3) * 0.1;
            for (int phase = 0; phase < 12; ++phase) {
                for (std::size_t i = 0; i < fleet.size(); ++i) {
                    auto &proxy = fleet.proxy(i);
                    proxy.offered = draw(0, 2) == 0 ? 0 : 8 * rate * draw(1, 10) / 10 / static_cast<double>(fleet.size());
                    proxy.cutOff = draw(0, 4) == 0;
                    if (draw(0, 7) == 0) {
                        fleet.restart(i);
                    }
                }
                if (draw(0, 2) == 0) {
                    fleet.changeLeader();
                }
                fleet.run(std::chrono::milliseconds(draw(200, 3000)));
                const auto context = "seed " + std::to_string(seed) + ", phase " + std::to_string(phase) + ": " + std::to_string(fleet.mostInWindow) + " of "
                    + std::to_string(fleet.bound());
                CPPUNIT_ASSERT_MESSAGE(context, static_cast<double>(fleet.mostInWindow) <= fleet.bound());
            }
        }
    }

    // Guards against a time to return that overflows, and is in the past, when a share is almost nothing.
    void tinyRateGivesAUsableTime()
    {
        OperationLimiter limiter;
        const std::vector<RateShare> shares {{"w", 1e-12, 1, 0, true}};
        limiter.apply(shares, 1, 1, TimePoint(1s));
        for (int i = 0; i < 3; ++i) {
            const auto decision = limiter.admit("w", true, TimePoint(2s));
            CPPUNIT_ASSERT(decision.verdict == OperationLimiter::Verdict::Refused);
            CPPUNIT_ASSERT(decision.retryAfter > Duration::zero() && decision.retryAfter <= 3s);
        }
    }

    // Guards against a workspace without a limit in the configuration being refused.
    void workspaceWithoutALimitIsNotLimited()
    {
        Fleet fleet(5, 3, {0, 0});
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.proxy(i).offered = 200;
        }
        fleet.run(2s);
        fleet.refused = 0;
        fleet.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateSharesTest);
