#include "control_client.h"

#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace waxwing;

namespace
{

// After a reconnection the users expect the newest configuration within 5 s; the grant and the configuration take the rest.
constexpr Duration longestSearch = 4s;
constexpr Duration lease = 2s;
constexpr Duration tickInterval = 40ms;

/// A proxy, members of control of which some are gone, and the links between them, in virtual time.
class SearchModel
{
public:
    /// What becomes of a message to a member that is gone, or of any message during the isolation.
    enum class Loss {
        Silent, ///< it is lost without a sign
        NotSent, ///< the link says that it is not connected
    };

    enum class Direction {
        ToLeader,
        FromLeader,
    };

    SearchModel(std::uint64_t seed, Loss loss)
        : m_random(seed)
        , m_loss(loss)
        , m_client(
              {.addresses = {"s0", "s1", "s2"}, .incarnation = 1, .seed = seed}, [this](const LinkPeer &to, const wire::Envelope &) { return send(to); },
              [this](std::uint64_t sequence) {
                  m_sequence = sequence;
                  return wire::Envelope();
              })
    {
    }

    /// Names the members to the proxy. The seeds are gone.
    void setMembers(const std::vector<std::string> &members)
    {
        m_members = members;
        m_client.setMembers(members);
    }

    /// @param living the first of these leads
    void setLiving(const std::vector<std::string> &living)
    {
        m_living = living;
    }

    void setIsolated(bool isolated)
    {
        m_isolated = isolated;
        for (const auto &member : m_members) {
            m_connectedAt[member] = m_now + m_random.upTo(longestConnect);
        }
    }

    /// The link to the leader loses messages in one direction.
    void setLosing(std::optional<Direction> losing)
    {
        m_losing = losing;
    }

    /// Runs until a time or a grant.
    /// @return the time of the grant
    std::optional<TimePoint> runUntilGrant(TimePoint end)
    {
        const auto before = m_grants;
        while (m_now < end && m_grants == before) {
            step();
        }
        return m_grants == before ? std::nullopt : std::optional(m_now);
    }

    void run(Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end;) {
            step();
        }
    }

    TimePoint now() const
    {
        return m_now;
    }

    /// Time until which the lease holds.
    TimePoint leaseEnd() const
    {
        return m_leaseEnd;
    }

    /// Messages that have reached a member.
    std::size_t received() const
    {
        return m_received;
    }

    Random &random()
    {
        return m_random;
    }

    void hurry()
    {
        m_client.hurry();
    }

private:
    static constexpr Duration longestConnect = 800ms; // pause between two attempts and the attempt itself
    static constexpr Duration longestDelay = 80ms; // one way, between regions and with a queue

    void step()
    {
        m_client.tick(m_now);
        m_now += tickInterval;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
    }

    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    Duration delay()
    {
        return 1ms + m_random.upTo(longestDelay);
    }

    bool send(const LinkPeer &to)
    {
        const bool reaches = !m_isolated && std::find(m_living.begin(), m_living.end(), to.id) != m_living.end() && m_connectedAt[to.id] <= m_now;
        if (!reaches) {
            if (m_loss == Loss::NotSent) {
                after(Duration(1), [this, to] { m_client.onNotSent(to); });
            }
            return true;
        }
        ++m_received;
        const auto &leader = m_living.front();
        const ControlClient::Answer answer {.sequence = m_sequence, .incarnation = 1, .relayed = to.id != leader};
        const auto unreachable = m_client.unreachableLeader();
        if (to.id == leader) {
            if (m_losing != Direction::ToLeader) {
                after(delay(), [this, to, answer] { grant(to, answer, true); });
            }
        } else if (unreachable == leader) {
            after(delay() + delay(), [this, to, answer] { grant(to, answer, false); });
        } else {
            after(delay(), [this, to, leader] { m_client.onNotLeader(to, leader); });
        }
        return true;
    }

    void grant(const LinkPeer &from, const ControlClient::Answer &answer, bool isDirect)
    {
        if (m_isolated || (isDirect && m_losing == Direction::FromLeader)) {
            return;
        }
        if (const auto sentAt = m_client.onGrant(from, answer)) {
            ++m_grants;
            m_leaseEnd = std::max(m_leaseEnd, *sentAt + lease);
        }
    }

    Random m_random;
    Loss m_loss;
    TimePoint m_now {1s};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<std::string> m_members;
    std::vector<std::string> m_living;
    std::map<std::string, TimePoint> m_connectedAt;
    bool m_isolated = false;
    std::optional<Direction> m_losing;
    std::uint64_t m_sequence = 0;
    std::size_t m_grants = 0;
    std::size_t m_received = 0;
    TimePoint m_leaseEnd;
    ControlClient m_client;
};

const std::vector<std::string> fiveMembers {"m0", "m1", "m2", "m3", "m4"};

const LinkPeer leader {LinkPeer::Kind::Dialed, "leader"};
const LinkPeer other {LinkPeer::Kind::Dialed, "other"};

/// A client of two members, and where its renewals went.
struct Fixture
{
    Fixture()
        : client(
            {.addresses = {"leader", "other"}},
            [this](const LinkPeer &to, const wire::Envelope &) {
                sent.push_back(to.id);
                return true;
            },
            [this](std::uint64_t sequence) {
                last = sequence;
                return wire::Envelope();
            })
    {
    }

    /// The leader is known, and then does not answer any more.
    void loseLeader()
    {
        client.tick(TimePoint(1s));
        client.onGrant(leader, {.sequence = last});
        client.tick(TimePoint(1'400ms));
        client.tick(TimePoint(1'600ms));
    }

    /// Runs for this long without any answer.
    void search(Duration duration)
    {
        for (TimePoint now(2s); now < TimePoint(2s) + duration; now += 20ms) {
            client.tick(now);
        }
    }

    bool wasAsked(const std::string &address) const
    {
        return std::find(sent.begin(), sent.end(), address) != sent.end();
    }

    std::vector<std::string> sent;
    std::uint64_t last = 0;
    ControlClient client;
};

} // namespace

class ControlClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlClientTest);
    CPPUNIT_TEST(silentLeaderIsNamed);
    CPPUNIT_TEST(relayIsKeptAndTheLeaderTriedNowAndThen);
    CPPUNIT_TEST(leaderThatNoSeedIsGetsTheRenewals);
    CPPUNIT_TEST(leaderThatIsReachedAgainTakesOver);
    CPPUNIT_TEST(searchAsksOneMemberAtATimeWithAGrowingPause);
    CPPUNIT_TEST(hundredsOfSearchingProxiesSpareTheMembers);
    CPPUNIT_TEST(slowGrantsStartNoSearch);
    CPPUNIT_TEST(grantOfAnEarlierProcessIsIgnored);
    CPPUNIT_TEST(controlIsFoundAfterAllSeedsWereReplaced);
    CPPUNIT_TEST(formerLeaderThatReturnsIsFound);
    CPPUNIT_TEST(seedsAreAskedWhenNoMemberAnswers);
    CPPUNIT_TEST(replacedMembersAreForgotten);
    CPPUNIT_TEST(controlAnswersInTimeOnceTheLinksAreWhole);
    CPPUNIT_TEST(isolatedProxiesSpareTheMembers);
    CPPUNIT_TEST(membersThatLiveAreSparedWhileSeedsAreGone);
    CPPUNIT_TEST(leaderThatIsNotConnectedYetIsAskedAgain);
    CPPUNIT_TEST(leaseOutlastsALeaderThatIsSilentInOneDirection);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against proxies that never get a lease when the leader is a member that their seeds don't list: six members have three
    // seeds.
    void leaderThatNoSeedIsGetsTheRenewals()
    {
        Fixture fixture;
        fixture.client.tick(TimePoint(1s));
        fixture.client.onNotLeader(other, "third");
        fixture.sent.clear();
        fixture.client.tick(TimePoint(1'100ms));
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string> {"third"});
        fixture.client.onGrant({LinkPeer::Kind::Dialed, "third"}, {.sequence = fixture.last});
        fixture.sent.clear();
        fixture.client.tick(TimePoint(1'600ms));
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string> {"third"});
    }

    // Guards against a storm of renewals: each proxy that missed a grant asked every member every 200 ms.
    void searchAsksOneMemberAtATimeWithAGrowingPause()
    {
        Fixture fixture;
        fixture.loseLeader();
        fixture.sent.clear();
        TimePoint now(1'600ms);
        for (; now < TimePoint(21'600ms); now += 20ms) {
            fixture.client.tick(now);
        }
        // The first round takes 200 ms a member, the pause then doubles to 1.6 s on average.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fixture.sent.size()), fixture.sent.size() >= 10 && fixture.sent.size() <= 40);
        CPPUNIT_ASSERT(std::count(fixture.sent.begin(), fixture.sent.end(), "other") > 0);
        fixture.client.onNotLeader(other, "third");
        fixture.sent.clear();
        fixture.client.tick(now);
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string> {"third"});
    }

    // Guards against a control plane that lost its leader and is kept down by 190 proxies that search it: its members served half of
    // the messages. Bound: 100 a second for each of six members.
    void hundredsOfSearchingProxiesSpareTheMembers()
    {
        constexpr std::size_t members = 6;
        std::map<std::string, unsigned> received;
        std::vector<std::unique_ptr<ControlClient>> clients;
        for (std::uint64_t seed = 1; seed <= 190; ++seed) {
            ControlClient::Options options;
            options.seed = seed;
            for (std::size_t i = 0; i < members; ++i) {
                options.addresses.push_back("m" + std::to_string(i));
            }
            clients.push_back(std::make_unique<ControlClient>(
                std::move(options),
                [&](const LinkPeer &to, const wire::Envelope &) {
                    ++received[to.id];
                    return true;
                },
                [](std::uint64_t) { return wire::Envelope(); }));
        }
        TimePoint now(1s);
        const auto run = [&](Duration duration) {
            for (const auto end = now + duration; now < end; now += 20ms) {
                for (auto &client : clients) {
                    client->tick(now);
                }
            }
        };
        run(5s);
        received.clear();
        constexpr unsigned seconds = 10;
        run(std::chrono::seconds(seconds));
        CPPUNIT_ASSERT_EQUAL(members, received.size());
        for (const auto &[member, count] : received) {
            CPPUNIT_ASSERT_MESSAGE(member + ": " + std::to_string(count), count <= 100 * seconds);
        }
    }

    // Guards against a search of all proxies while the leader answers each of them, but slowly.
    void slowGrantsStartNoSearch()
    {
        Fixture fixture;
        TimePoint now(1s);
        for (int i = 0; i < 40; ++i) {
            // The grant takes longer with each renewal, up to 380 ms.
            const auto took = std::min<Duration>(20ms * (i + 1), 380ms);
            const auto before = fixture.last;
            while (fixture.last == before) {
                fixture.client.tick(now);
                now += 20ms;
            }
            const auto sequence = fixture.last;
            for (const auto end = now + took; now < end; now += 20ms) {
                fixture.client.tick(now);
            }
            fixture.client.onGrant(leader, {.sequence = sequence});
        }
        CPPUNIT_ASSERT(fixture.client.unreachableLeader().empty());
        CPPUNIT_ASSERT(std::count(fixture.sent.begin() + 2, fixture.sent.end(), "other") == 0);
    }

    // Guards against members that refer to a leader which this proxy does not reach.
    void silentLeaderIsNamed()
    {
        Fixture fixture;
        CPPUNIT_ASSERT(fixture.client.unreachableLeader().empty());
        fixture.loseLeader();
        CPPUNIT_ASSERT_EQUAL(std::string("leader"), fixture.client.unreachableLeader());
        fixture.client.onGrant(leader, {.sequence = fixture.last});
        CPPUNIT_ASSERT(fixture.client.unreachableLeader().empty());
    }

    // Guards against a search for each renewal, and against a relay that is used for ever.
    void relayIsKeptAndTheLeaderTriedNowAndThen()
    {
        Fixture fixture;
        fixture.loseLeader();
        fixture.client.onGrant(other, {.sequence = fixture.last, .relayed = true});
        fixture.sent.clear();
        fixture.client.tick(TimePoint(2s));
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string>({"other", "leader"}));
        fixture.client.onGrant(other, {.sequence = fixture.last, .relayed = true});
        fixture.sent.clear();
        fixture.client.tick(TimePoint(2'400ms));
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string>({"other"}));
        CPPUNIT_ASSERT_EQUAL(std::string("leader"), fixture.client.unreachableLeader());
    }

    // Guards against a detour after the leader can be reached again, though the relayed answer came first.
    void leaderThatIsReachedAgainTakesOver()
    {
        Fixture fixture;
        fixture.loseLeader();
        fixture.client.onGrant(other, {.sequence = fixture.last, .relayed = true});
        fixture.client.tick(TimePoint(2s));
        fixture.client.onGrant(other, {.sequence = fixture.last, .relayed = true});
        CPPUNIT_ASSERT(!fixture.client.onGrant(leader, {.sequence = fixture.last}));
        fixture.sent.clear();
        fixture.client.tick(TimePoint(2'400ms));
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string>({"leader"}));
        CPPUNIT_ASSERT(fixture.client.unreachableLeader().empty());
    }

    // Guards against a lease that counts from too late a time: a proxy restarts, and a grant for a renewal of the earlier process,
    // whose renewals had the same numbers, arrives at the new one.
    void grantOfAnEarlierProcessIsIgnored()
    {
        Fixture fixture;
        fixture.client.tick(TimePoint(1s));
        CPPUNIT_ASSERT(!fixture.client.onGrant(leader, {.sequence = fixture.last, .incarnation = 9}));
        CPPUNIT_ASSERT(fixture.client.onGrant(leader, {.sequence = fixture.last}) == TimePoint(1s));
    }

    // Guards against a proxy that never finds control again: all members that its settings name were replaced one after the other.
    void controlIsFoundAfterAllSeedsWereReplaced()
    {
        Fixture fixture;
        fixture.client.tick(TimePoint(1s));
        fixture.client.onGrant(leader, {.sequence = fixture.last});
        const std::vector<std::string> members {"new-1", "new-2"};
        fixture.client.setMembers(members);
        fixture.search(2s);
        CPPUNIT_ASSERT(fixture.wasAsked("new-1") && fixture.wasAsked("new-2"));
        CPPUNIT_ASSERT_MESSAGE("the members come before the seeds", fixture.sent[1] != "other" && fixture.sent[2] != "other");
    }

    // Guards against passing over the member that led last until a grant arrives, although it is the only one that lives.
    void formerLeaderThatReturnsIsFound()
    {
        Fixture fixture;
        fixture.loseLeader();
        fixture.sent.clear();
        fixture.search(4s);
        CPPUNIT_ASSERT(fixture.wasAsked("leader"));
    }

    // Guards against a proxy that asks only members that are gone, although its settings name one that lives.
    void seedsAreAskedWhenNoMemberAnswers()
    {
        Fixture fixture;
        const std::vector<std::string> members {"gone-1", "gone-2"};
        fixture.client.setMembers(members);
        fixture.search(4s);
        CPPUNIT_ASSERT(fixture.wasAsked("leader") && fixture.wasAsked("other"));
    }

    // Guards against a list of members that fills up, so that no new ones are taken, and against a search that asks machines which
    // are long gone: members are replaced again and again.
    void replacedMembersAreForgotten()
    {
        Fixture fixture;
        std::string last;
        for (int i = 0; i < 1'000; ++i) {
            const std::vector<std::string> members {"m" + std::to_string(i), "m" + std::to_string(i + 1)};
            const auto change = fixture.client.setMembers(members);
            CPPUNIT_ASSERT(change.added.back() == members.back());
            CPPUNIT_ASSERT(i == 0 || change.dropped == std::vector<std::string> {"m" + std::to_string(i - 1)});
            last = members.back();
        }
        fixture.search(10s);
        CPPUNIT_ASSERT(fixture.wasAsked(last));
        const std::set<std::string> asked(fixture.sent.begin(), fixture.sent.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), asked.size()); // two members and two seeds
    }

    // Guards against a proxy that is connected again and acts on an old configuration for many seconds, because its search asks members
    // and seeds that are gone, with pauses that grew while it was cut off.
    void controlAnswersInTimeOnceTheLinksAreWhole()
    {
        for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
            for (const auto loss : {SearchModel::Loss::Silent, SearchModel::Loss::NotSent}) {
                SearchModel model(seed, loss);
                auto living = fiveMembers;
                model.setMembers(living);
                model.setLiving(living);
                model.run(3s);
                model.setIsolated(true);
                model.run(60s + model.random().upTo(3s));
                while (living.size() > 1 + seed % 3) {
                    living.erase(living.begin() + static_cast<std::ptrdiff_t>(model.random().between(0, living.size() - 1)));
                }
                model.setLiving(living);
                model.setIsolated(false);
                const auto whole = model.now();
                const auto granted = model.runUntilGrant(whole + 60s);
                const auto took = granted ? toMilliseconds(*granted - whole).count() : -1;
                const auto message = "seed " + std::to_string(seed) + (loss == SearchModel::Loss::Silent ? ", silent" : ", not sent") + ", members living "
                    + std::to_string(living.size()) + ", ms " + std::to_string(took);
                CPPUNIT_ASSERT_MESSAGE(message, granted && *granted - whole <= longestSearch);
            }
        }
    }

    // Guards against a storm of renewals when many proxies are cut off together and come back: none of them knows the leader, and all
    // members live. Bound: 100 a second for each of five members.
    void isolatedProxiesSpareTheMembers()
    {
        for (const auto loss : {SearchModel::Loss::Silent, SearchModel::Loss::NotSent}) {
            std::vector<std::unique_ptr<SearchModel>> models;
            for (std::uint64_t seed = 1; seed <= 190; ++seed) {
                auto &model = models.emplace_back(std::make_unique<SearchModel>(seed, loss));
                model->setMembers(fiveMembers);
                model->setLiving(fiveMembers);
                model->setIsolated(true);
                model->run(60s);
                model->setIsolated(false);
            }
            std::size_t received = 0;
            for (auto &model : models) {
                model->run(4s);
                received += model->received();
            }
            const auto message = std::to_string(received) + (loss == SearchModel::Loss::Silent ? ", silent" : ", not sent");
            CPPUNIT_ASSERT_MESSAGE(message, received <= 4 * 100 * fiveMembers.size());
        }
    }

    // Guards against a storm on the members that live, which have no leader and answer nobody, since those that are gone take no part of
    // a search. Bound: 100 a second for each of five members.
    void membersThatLiveAreSparedWhileSeedsAreGone()
    {
        std::map<std::string, unsigned> received;
        std::vector<std::unique_ptr<ControlClient>> clients;
        std::vector<std::pair<ControlClient *, LinkPeer>> notSent;
        for (std::uint64_t seed = 1; seed <= 190; ++seed) {
            clients.emplace_back();
            clients.back() = std::make_unique<ControlClient>(
                ControlClient::Options {.addresses = {"s0", "s1", "s2"}, .seed = seed},
                [&, index = clients.size() - 1](const LinkPeer &to, const wire::Envelope &) {
                    if (to.id.front() == 's') {
                        notSent.emplace_back(clients[index].get(), to);
                    } else {
                        ++received[to.id];
                    }
                    return true;
                },
                [](std::uint64_t) { return wire::Envelope(); });
            clients.back()->setMembers(fiveMembers);
        }
        TimePoint now(1s);
        const auto run = [&](Duration duration) {
            for (const auto end = now + duration; now < end; now += tickInterval) {
                for (auto &client : clients) {
                    client->tick(now);
                }
                for (const auto &[client, to] : std::exchange(notSent, {})) {
                    client->onNotSent(to);
                }
            }
        };
        run(5s);
        received.clear();
        constexpr unsigned seconds = 20;
        run(std::chrono::seconds(seconds));
        CPPUNIT_ASSERT_EQUAL(fiveMembers.size(), received.size());
        for (const auto &[member, count] : received) {
            CPPUNIT_ASSERT_MESSAGE(member + ": " + std::to_string(count), count <= 100 * seconds);
        }
    }

    // Guards against a search that gives up a living leader, or a renewal that comes late, because the link to it was not connected yet.
    void leaderThatIsNotConnectedYetIsAskedAgain()
    {
        Fixture fixture;
        fixture.client.tick(TimePoint(1s));
        fixture.client.onNotLeader(other, "third");
        const LinkPeer third {LinkPeer::Kind::Dialed, "third"};
        fixture.sent.clear();
        for (int i = 0; i < 3; ++i) {
            fixture.client.tick(TimePoint(1'040ms) + i * tickInterval);
            fixture.client.onNotSent(third);
        }
        CPPUNIT_ASSERT(fixture.sent == std::vector<std::string>({"third", "third", "third"}));
    }

    // Guards against a proxy without a lease although another member reaches the leader: the link to the leader loses messages in one
    // direction, for seconds, again and again, and some members are gone.
    void leaseOutlastsALeaderThatIsSilentInOneDirection()
    {
        for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
            for (const auto loss : {SearchModel::Loss::Silent, SearchModel::Loss::NotSent}) {
                for (const auto direction : {SearchModel::Direction::ToLeader, SearchModel::Direction::FromLeader}) {
                    SearchModel model(seed, loss);
                    auto living = fiveMembers;
                    model.setMembers(living);
                    model.setLiving(living);
                    model.run(3s);
                    std::rotate(living.begin(), living.begin() + static_cast<std::ptrdiff_t>(seed % living.size()), living.end());
                    living.resize(3);
                    model.setLiving(living);
                    model.run(10s);
                    for (int round = 0; round < 10; ++round) {
                        const bool isLosing = round % 2 == 0;
                        model.setLosing(isLosing ? std::optional(direction) : std::nullopt);
                        // The first loss may end the lease: nobody has relayed yet.
                        if (round == 0) {
                            const auto found = model.now();
                            model.run(longestSearch);
                            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), model.leaseEnd() > found + longestSearch);
                        }
                        for (const auto end = model.now() + 200ms + model.random().upTo(4s); model.now() < end;) {
                            model.run(tickInterval);
                            const auto message = "seed " + std::to_string(seed) + (loss == SearchModel::Loss::Silent ? ", silent" : ", not sent")
                                + (direction == SearchModel::Direction::ToLeader ? ", to the leader" : ", from the leader") + ", round "
                                + std::to_string(round);
                            CPPUNIT_ASSERT_MESSAGE(message, model.now() < model.leaseEnd());
                        }
                    }
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlClientTest);
