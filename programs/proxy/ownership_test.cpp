#include "testing/proxy_cluster.h"

#include <waxwing/support/identifier.h>

#include <algorithm>

using namespace waxwing;

class OwnershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnershipTest);
    CPPUNIT_TEST(lostOwnerLeavesWritesUnknownAndReadsAreRetried);
    CPPUNIT_TEST(drainUnderLoadInterruptsNothing);
    CPPUNIT_TEST(keyResentThroughAnotherProxyRunsOnce);
    CPPUNIT_TEST(keyInProgressIsJoined);
    CPPUNIT_TEST(keyOfALostOwnerIsNotRepeated);
    CPPUNIT_TEST(transactionEndsWithItsTerm);
    CPPUNIT_TEST(transactionIdThatIsNotUtf8IsRefused);
    CPPUNIT_TEST(transactionKeepsItsConnectionToItself);
    CPPUNIT_TEST(leavingEndpointGetsNoNewWork);
    CPPUNIT_TEST(heldWritesWaitAndRunInTheNextTerm);
    CPPUNIT_TEST(queuedStatementIsCancelledAndRunningOneIsNot);
    CPPUNIT_TEST(unreachablePrimaryIsReported);
    CPPUNIT_TEST(primaryWithoutItsRoleIsReported);
    CPPUNIT_TEST_SUITE_END();

    using Behaviour = FakeEndpoint::Behaviour;

    static wire::StatementRequest once(const std::string &statement, const std::string &key)
    {
        auto request = ProxyCluster::write(statement);
        request.set_idempotency_key(key);
        request.set_must_not_repeat(true);
        return request;
    }

public:
    // Guards against statements of a lost owner that hang, run twice, or are called `not-run`.
    void lostOwnerLeavesWritesUnknownAndReadsAreRetried()
    {
        ProxyCluster cluster;
        for (auto &endpoint : cluster.endpoints) {
            endpoint->behaviour = Behaviour::Hold;
        }
        const auto write = cluster.send("b", ProxyCluster::write("write k v"));
        const auto read = cluster.send("b", ProxyCluster::read("read k", "primary"));
        cluster.runUntil([&] { return cluster.endpoints[0]->held() == 2; });
        cluster.kill("a");
        cluster.runUntil([&] { return write->has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string("owner-lost"), (*write)->reason());
        CPPUNIT_ASSERT(!read->has_value());
        for (auto &endpoint : cluster.endpoints) {
            endpoint->behaviour = Behaviour::Answer;
        }
        cluster.control.publish([](wire::GroupDirectory &group) {
            group.set_owner("b");
            group.set_owner_epoch(2);
        });
        cluster.runUntil([&] { return read->has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string("done"), (*read)->outcome());
        cluster.endpoints[0]->release();
    }

    // Guards against a planned stop that interrupts or refuses requests, running, queued or just arriving.
    void drainUnderLoadInterruptsNothing()
    {
        ProxyCluster cluster;
        std::vector<std::shared_ptr<std::optional<wire::StatementAnswer>>> answers;
        cluster.endpoints[0]->behaviour = Behaviour::Hold;
        const auto load = [&](int count) {
            for (int i = 0; i < count; ++i) {
                answers.push_back(cluster.send(i % 2 == 0 ? "a" : "b", ProxyCluster::write("write k" + std::to_string(i) + " v")));
            }
        };
        load(20);
        cluster.runUntil([&] { return cluster.endpoints[0]->held() == cluster.endpoints[0]->slots; });
        cluster.proxies["a"]->drain();
        cluster.runUntil([&] { return cluster.control.renewals["a"].draining(); });
        load(20);
        cluster.control.publish([](wire::GroupDirectory &group) {
            group.set_owner("b");
            group.set_owner_epoch(2);
        });
        cluster.runUntil([&] { return cluster.proxies["b"]->group("orders") != nullptr; });
        load(20);
        cluster.endpoints[0]->behaviour = Behaviour::Answer;
        cluster.endpoints[0]->release();
        cluster.runUntil([&] { return cluster.unanswered() == 0 && cluster.proxies["a"]->isDrained(); });
        for (const auto &answer : answers) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE((*answer)->reason(), std::string("done"), (*answer)->outcome());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(60), cluster.endpoints[0]->ran.size());
        cluster.runUntil([&] { return cluster.control.renewals["a"].owned_size() == 0; });
    }

    // Guards against a statement that runs again when its caller repeats it elsewhere.
    void keyResentThroughAnotherProxyRunsOnce()
    {
        ProxyCluster cluster;
        const auto key = makeUuid7();
        const auto first = cluster.ask("a", once("append k v", key));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), first.outcome());
        cluster.runUntil([&] { return cluster.control.intents[key].isFinished; });
        cluster.control.publish([](wire::GroupDirectory &group) {
            group.set_owner("b");
            group.set_owner_epoch(2);
        });
        const auto second = cluster.ask("b", once("append k v", key));
        CPPUNIT_ASSERT_EQUAL(first.position(), second.position());
        CPPUNIT_ASSERT_EQUAL(first.session(), second.session());
        CPPUNIT_ASSERT_EQUAL(std::string("key-conflict"), cluster.ask("b", once("append k w", key)).reason());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.endpoints[0]->ran.size());
    }

    // Guards against a repetition that starts while the first attempt, sent through another proxy, still runs.
    void keyInProgressIsJoined()
    {
        ProxyCluster cluster;
        cluster.endpoints[0]->behaviour = Behaviour::Hold;
        const auto key = makeUuid7();
        const auto first = cluster.send("a", once("append k v", key));
        cluster.runUntil([&] { return cluster.endpoints[0]->held() == 1; });
        auto request = once("append k v", key);
        request.set_deadline_ms(100);
        CPPUNIT_ASSERT_EQUAL(std::string("key-in-progress"), cluster.ask("b", request).reason());
        const auto joined = cluster.send("b", once("append k v", key));
        cluster.endpoints[0]->behaviour = Behaviour::Answer;
        cluster.endpoints[0]->release();
        cluster.runUntil([&] { return first->has_value() && joined->has_value(); });
        CPPUNIT_ASSERT_EQUAL((*first)->position(), (*joined)->position());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.endpoints[0]->ran.size());
    }

    // Guards against a repetition that runs although the attempt of a lost owner may have run.
    void keyOfALostOwnerIsNotRepeated()
    {
        ProxyCluster cluster;
        cluster.endpoints[0]->behaviour = Behaviour::Hold;
        const auto key = makeUuid7();
        const auto first = cluster.send("a", once("append k v", key));
        cluster.runUntil([&] { return cluster.endpoints[0]->held() == 1; });
        cluster.kill("a");
        cluster.endpoints[0]->behaviour = Behaviour::Answer;
        cluster.endpoints[0]->release();
        cluster.control.endedAttempts = true;
        cluster.control.publish([](wire::GroupDirectory &group) {
            group.set_owner("b");
            group.set_owner_epoch(2);
        });
        CPPUNIT_ASSERT_EQUAL(std::string("not-repeated"), cluster.ask("b", once("append k v", key)).reason());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.endpoints[0]->ran.size());
    }

    // Guards against a transaction that goes on in a later term, without its earlier statements.
    void transactionEndsWithItsTerm()
    {
        ProxyCluster cluster;
        const auto begun = cluster.ask("b", ProxyCluster::step(wire::BEGIN, {}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(begun.reason(), std::string("done"), begun.outcome());
        CPPUNIT_ASSERT_EQUAL(std::string("done"), cluster.ask("a", ProxyCluster::step(wire::RUN, begun.transaction(), "write k v")).outcome());
        cluster.endpoints[1]->term = 2;
        cluster.endpoints[1]->isPrimary = true;
        cluster.control.publish([](wire::GroupDirectory &group) {
            group.set_term(2);
            group.set_primary("orders-2");
        });
        cluster.runUntil([&] { return cluster.proxies["a"]->group("orders")->members().view().term() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("transaction-lost"), cluster.ask("b", ProxyCluster::step(wire::RUN, begun.transaction(), "write k w")).reason());
        CPPUNIT_ASSERT_EQUAL(std::string("transaction-lost"), cluster.ask("a", ProxyCluster::step(wire::COMMIT, begun.transaction())).reason());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.endpoints[0]->ran.size());
    }

    // Guards against an unknown outcome of a step that was never run: the path of a request holds any bytes, and the owner of the
    // transaction can't parse a message whose texts are not UTF-8.
    void transactionIdThatIsNotUtf8IsRefused()
    {
        ProxyCluster cluster;
        const auto begun = cluster.ask("a", ProxyCluster::step(wire::BEGIN, {}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(begun.reason(), std::string("done"), begun.outcome());
        const auto reasonFor = [&](const std::string &suffix) {
            auto request = ProxyCluster::step(wire::COMMIT, begun.transaction() + suffix);
            request.set_deadline_ms(1'000);
            const auto answer = cluster.ask("b", request);
            CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer.outcome());
            return answer.reason();
        };
        for (const auto *suffix : {"\xff", "\xc3", "\xc0\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\x80"}) {
            CPPUNIT_ASSERT_EQUAL(std::string("bad-transaction"), reasonFor(suffix));
        }
        for (const auto *suffix : {"\xc3\xa9", "\xf0\x9f\x90\xa6"}) { // the owner answers that it knows no such transaction
            CPPUNIT_ASSERT_EQUAL(std::string("transaction-lost"), reasonFor(suffix));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("done"), cluster.ask("b", ProxyCluster::step(wire::COMMIT, begun.transaction())).outcome());
    }

    // Guards against statements of others on the connection of an open transaction.
    void transactionKeepsItsConnectionToItself()
    {
        ProxyCluster cluster;
        const auto first = cluster.ask("a", ProxyCluster::step(wire::BEGIN, {}));
        const auto second = cluster.ask("a", ProxyCluster::step(wire::BEGIN, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cluster.endpoints[0]->transactions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("done"), cluster.ask("a", ProxyCluster::write("write k v")).outcome());
        CPPUNIT_ASSERT_EQUAL(std::string("done"), cluster.ask("b", ProxyCluster::step(wire::COMMIT, first.transaction())).outcome());
        CPPUNIT_ASSERT_EQUAL(std::string("bad-transaction"), cluster.ask("b", ProxyCluster::step(wire::COMMIT, first.transaction())).reason());
        CPPUNIT_ASSERT_EQUAL(std::string("done"), cluster.ask("b", ProxyCluster::step(wire::ROLLBACK, second.transaction())).outcome());
        CPPUNIT_ASSERT(cluster.endpoints[0]->transactions.empty());
    }

    // Guards against new work for an endpoint that announced that it is leaving.
    void leavingEndpointGetsNoNewWork()
    {
        ProxyCluster cluster;
        auto announcement = cluster.endpoints[1]->announcement();
        announcement.set_leaving(true);
        cluster.proxies["a"]->announce(announcement);
        for (int i = 0; i < 30; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("orders-3"), cluster.ask("a", ProxyCluster::read("read k", "any")).served_by());
        }
        cluster.runUntil([&] {
            const auto &sent = cluster.control.renewals["a"].announcements();
            return std::any_of(sent.begin(), sent.end(), [](const auto &entry) { return entry.leaving(); });
        });
    }

    // Guards against a planned switchover that refuses writes or loses the last one.
    void heldWritesWaitAndRunInTheNextTerm()
    {
        ProxyCluster cluster;
        CPPUNIT_ASSERT_EQUAL(std::string("done"), cluster.ask("a", ProxyCluster::write("write k v")).outcome());
        wire::Envelope message;
        message.mutable_hold_writes()->set_group("orders");
        message.mutable_hold_writes()->set_term(1);
        message.mutable_hold_writes()->set_hold_ms(30'000);
        cluster.control.send("a", std::move(message));
        cluster.runUntil([&] { return !cluster.control.others.empty(); });
        CPPUNIT_ASSERT(cluster.control.others[0].writes_held().drained());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), cluster.control.others[0].writes_held().position());
        const auto waiting = cluster.send("a", ProxyCluster::write("write k w"));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), cluster.ask("a", ProxyCluster::read("read k", "primary")).outcome());
        CPPUNIT_ASSERT(!waiting->has_value());
        cluster.endpoints[1]->term = 2;
        cluster.control.publish([](wire::GroupDirectory &group) {
            group.set_term(2);
            group.set_primary("orders-2");
            group.set_term_start(11);
        });
        cluster.runUntil([&] { return waiting->has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string("orders-2"), (*waiting)->served_by());
    }

    // Guards against a cancelled statement that runs, and a running one that is reported as cancelled.
    void queuedStatementIsCancelledAndRunningOneIsNot()
    {
        ProxyCluster cluster;
        cluster.endpoints[0]->behaviour = Behaviour::Hold;
        std::vector<std::shared_ptr<std::optional<wire::StatementAnswer>>> answers;
        for (int i = 0; i < 5; ++i) {
            auto request = ProxyCluster::write("write k" + std::to_string(i) + " v");
            request.set_request_id("id-" + std::to_string(i));
            answers.push_back(cluster.send("b", request));
        }
        cluster.runUntil([&] { return cluster.endpoints[0]->held() == 3 && cluster.proxies["a"]->group("orders")->openRequests() == 5; });
        for (int i = 0; i < 5; ++i) {
            cluster.proxies["b"]->cancel("id-" + std::to_string(i));
        }
        cluster.runUntil([&] { return cluster.unanswered() == 3; });
        cluster.endpoints[0]->behaviour = Behaviour::Answer;
        cluster.endpoints[0]->release();
        cluster.runUntil([&] { return cluster.unanswered() == 0; });
        const auto cancelled = std::count_if(answers.begin(), answers.end(), [](const auto &answer) { return (*answer)->reason() == "cancelled"; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2), static_cast<std::ptrdiff_t>(cancelled));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cluster.endpoints[0]->ran.size());
        CPPUNIT_ASSERT(cluster.proxies["b"]->explain("id-0")->find("forwarded to owner") != std::string::npos);
    }

    // Guards against a failed primary that control hears of from its owner only.
    void unreachablePrimaryIsReported()
    {
        ProxyCluster cluster;
        cluster.endpoints[0]->isSilent = true;
        cluster.runUntil([&] { return cluster.control.renewals["a"].evidence_size() == 1 && cluster.control.renewals["b"].evidence_size() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::string("orders-1"), cluster.control.renewals["b"].evidence(0).database());
        CPPUNIT_ASSERT(!cluster.control.renewals["b"].evidence(0).refused());
    }

    // Guards against a primary that restarted as a replica and keeps its group without writes, since it answers probes.
    void primaryWithoutItsRoleIsReported()
    {
        ProxyCluster cluster;
        cluster.endpoints[0]->isPrimary = false;
        cluster.runUntil([&] { return cluster.control.renewals["a"].evidence_size() == 1 && cluster.control.renewals["b"].evidence_size() == 1; });
        CPPUNIT_ASSERT(cluster.control.renewals["b"].evidence(0).refused());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);
