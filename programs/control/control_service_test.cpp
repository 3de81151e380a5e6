#include "control_service.h"
#include "operator_api.h"

#include <waxwing/coordination/memory_log.h>
#include <waxwing/state/config_machine.h>
#include <waxwing/state/intent_machine.h>
#include <waxwing/support/identifier.h>
#include <waxwing/transport/http_request.h>
#include <waxwing/transport/http_response.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace waxwing;
using namespace waxwing::control;

/// Tests the service with in-memory logs and a manual clock; the tests send the messages of proxies and endpoints.
class ControlServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlServiceTest);
    CPPUNIT_TEST(restartedReplicaIsCalledToFollow);
    CPPUNIT_TEST(newIncarnationDoesNotInheritOwnership);
    CPPUNIT_TEST(newLeaderPublishesTermsAtOnceAndMembersWhenComplete);
    CPPUNIT_TEST(newLeaderWaitsForLeasesOfThePreviousOne);
    CPPUNIT_TEST(drainingOwnerStaysHolderUntilItReleasesTheGroup);
    CPPUNIT_TEST(ownerThatIgnoresWithdrawalIsGrantedNoLease);
    CPPUNIT_TEST(intentOfEndedOwnerIsNotRepeated);
    CPPUNIT_TEST(answersNameTheProcessThatAsked);
    CPPUNIT_TEST(leavingPrimaryIsSwitchedOver);
    CPPUNIT_TEST(acceptedChangeIsPushed);
    CPPUNIT_TEST(changeWhosePushWasLostIsPartOfTheNextOne);
    CPPUNIT_TEST(followerRedirectsProxyToLeader);
    CPPUNIT_TEST(putReportsAllErrorsAndTheConflictingResource);
    CPPUNIT_TEST(readsRespectMinimumVersionAndWatchesReportChanges);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now = TimePoint(100s);
    bool m_leads = true;
    std::uint64_t m_term = 1;
    ConfigMachine m_machine;
    IntentMachine m_intents;
    MemoryLog<ConfigMachine> m_configLog {m_machine};
    MemoryLog<IntentMachine> m_intentLog {m_intents};
    std::map<std::string, std::vector<wire::Envelope>> m_sentMessages;
    std::vector<EndpointCall> m_endpointCalls;
    std::map<std::string, std::uint64_t> m_directoryVersions;
    std::optional<ControlService> m_service;

public:
    void setUp() override
    {
        auto config = m_configLog.port();
        config.isLeader = [this] {
            return m_leads;
        };
        config.term = [this] {
            return m_term;
        };
        ControlPorts ports;
        ports.sendToProxy = [this](const std::string &proxy, const wire::Envelope &message) {
            m_sentMessages[proxy].push_back(message);
        };
        ports.callEndpoint = [this](EndpointCall call, std::function<void(EndpointAnswer &&)> handler) {
            m_endpointCalls.push_back(call);
            if (call.target == "/v1/follow") {
                handler({true, 200, {}});
            }
        };
        ports.now = [this] {
            return m_now;
        };
        ports.wallClockMs = [] {
            return unixMilliseconds();
        };
        ports.leaderLinkAddress = [] {
            return std::string("10.0.0.1:7");
        };
        m_service.emplace(ControlServiceOptions {}, m_machine, std::move(config), m_intentLog.port(), std::move(ports));
        m_configLog.observeApplied([this](LogIndex) { m_service->handleApplied(); });
        m_service->tick();
        putGroup();
    }

private:
    void putGroup()
    {
        wire::ConfigCommand command;
        command.mutable_put()->set_kind("group");
        command.mutable_put()->set_name("g");
        command.mutable_put()->set_spec_json("{\"databases_expected\":3}");
        m_service->change(command, [](LogFailure, const wire::ConfigResult &) {});
    }

    wire::Renewal renewal(const std::string &proxy, std::uint64_t incarnation = 1)
    {
        wire::Renewal content;
        content.set_sequence(1);
        content.set_proxy(proxy);
        content.set_incarnation(incarnation);
        content.set_failure_domain("fd-" + proxy);
        content.set_config_version(1);
        content.set_directory_version(m_directoryVersions[proxy]);
        return content;
    }

    void sendRenewal(const std::string &proxy, const wire::Renewal &content)
    {
        wire::Envelope message;
        *message.mutable_renewal() = content;
        m_service->handleMessage(proxy, std::move(message));
    }

    static wire::Announcement announcement(const std::string &database, bool primary = false, std::uint64_t position = 5)
    {
        wire::Announcement content;
        content.set_group("g");
        content.set_database(database);
        content.set_address(database);
        content.set_term(1);
        content.set_primary(primary);
        content.set_position(position);
        return content;
    }

    void announceAll(const std::string &proxy)
    {
        auto content = renewal(proxy);
        *content.add_announcements() = announcement("a", true);
        *content.add_announcements() = announcement("b");
        *content.add_announcements() = announcement("c");
        sendRenewal(proxy, content);
    }

    /// Advances the clock in steps of 100 ms, in each of which the proxies renew their leases.
    void advanceTime(Duration duration, const std::vector<std::string> &proxies)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += 100ms) {
            m_service->tick();
            for (const auto &proxy : proxies) {
                sendRenewal(proxy, renewal(proxy));
            }
        }
        m_service->tick();
    }

    /// Brings the group into the state with primary a and owner p.
    void makeGroupReady()
    {
        announceAll("p");
        advanceTime(2s, {"p"});
        announceAll("p");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_machine.group("g")->primary());
        CPPUNIT_ASSERT_EQUAL(std::string("p"), m_machine.group("g")->owner());
        m_sentMessages.clear();
    }

    /// Last directory entry of the group that was sent to a proxy.
    std::optional<wire::GroupDirectory> lastSentGroup(const std::string &proxy) const
    {
        std::optional<wire::GroupDirectory> group;
        const auto sent = m_sentMessages.find(proxy);
        for (const auto &message : sent == m_sentMessages.end() ? std::vector<wire::Envelope>() : sent->second) {
            for (const auto &content : message.grant().groups()) {
                group = content;
            }
        }
        return group;
    }

    std::ptrdiff_t leaseGrantCount(const std::string &proxy)
    {
        return std::count_if(m_sentMessages[proxy].begin(), m_sentMessages[proxy].end(),
                             [](const wire::Envelope &message) { return message.grant().sequence() != 0; });
    }

    std::size_t followCallCount(const std::string &database) const
    {
        return static_cast<std::size_t>(std::count_if(m_endpointCalls.begin(), m_endpointCalls.end(),
                                                      [&](const EndpointCall &call) { return call.target == "/v1/follow" && call.address == database; }));
    }

public:
    // Guards against a replica that stops replicating for good because it lost the address of its primary in a restart.
    void restartedReplicaIsCalledToFollow()
    {
        makeGroupReady();
        advanceTime(2s, {"p"});
        announceAll("p");
        advanceTime(100ms, {"p"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), followCallCount("b")); // each member is called once after a promotion, even if it follows already
        auto content = renewal("p");
        *content.add_announcements() = announcement("a", true, 9);
        *content.add_announcements() = announcement("b");
        *content.add_announcements() = announcement("c", false, 9);
        sendRenewal("p", content);
        advanceTime(1'500ms, {"p"});
        CPPUNIT_ASSERT(followCallCount("b") >= 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), followCallCount("c"));
    }

    // Guards against two owners: a restarted proxy that acts as owner although it is not among the holders that a promotion
    // waits for.
    void newIncarnationDoesNotInheritOwnership()
    {
        makeGroupReady();
        sendRenewal("p", renewal("p", 2));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), leaseGrantCount("p")); // the previous incarnation may still hold its lease
        m_now += 1'260ms;
        sendRenewal("p", renewal("p", 2));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), leaseGrantCount("p"));
        CPPUNIT_ASSERT(lastSentGroup("p")->owner().empty());
        m_service->tick();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_machine.group("g")->owner_incarnation());
        CPPUNIT_ASSERT_EQUAL(std::string("p"), lastSentGroup("p")->owner());
    }

    // Guards against a new leader that publishes an incomplete member list, which removes endpoints from all proxies, and
    // against a lease without terms, with which a proxy that missed a promotion acknowledges writes of the replaced primary.
    void newLeaderPublishesTermsAtOnceAndMembersWhenComplete()
    {
        makeGroupReady();
        ++m_term;
        auto content = renewal("p");
        *content.add_announcements() = announcement("a", true);
        sendRenewal("p", content);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), leaseGrantCount("p"));
        CPPUNIT_ASSERT(lastSentGroup("p")->term() == 1 && lastSentGroup("p")->members_size() == 0);
        announceAll("p");
        m_service->tick();
        CPPUNIT_ASSERT_EQUAL(3, lastSentGroup("p")->members_size());
        ++m_term;
        sendRenewal("p", content);
        CPPUNIT_ASSERT_EQUAL(0, lastSentGroup("p")->members_size());
        advanceTime(2'100ms, {"p"}); // the timeout: an absent endpoint must not delay the member list forever
        CPPUNIT_ASSERT_EQUAL(1, lastSentGroup("p")->members_size());
    }

    // Guards against two owners: a leader that assigns a new owner while the previous one may still hold a lease granted in an
    // earlier term, also if the same process granted it.
    void newLeaderWaitsForLeasesOfThePreviousOne()
    {
        makeGroupReady();
        ++m_term;
        sendRenewal("q", renewal("q"));
        advanceTime(1'100ms, {"q"});
        CPPUNIT_ASSERT_EQUAL(std::string("p"), m_machine.group("g")->owner());
        advanceTime(300ms, {"q"});
        CPPUNIT_ASSERT_EQUAL(std::string("q"), m_machine.group("g")->owner());
        CPPUNIT_ASSERT_EQUAL(1, m_machine.group("g")->holders_size());
    }

    // Guards against a promotion that does not wait for statements in flight on a draining owner, because the owner was
    // released as holder too early.
    void drainingOwnerStaysHolderUntilItReleasesTheGroup()
    {
        makeGroupReady();
        sendRenewal("q", renewal("q"));
        auto draining = renewal("p");
        draining.set_draining(true);
        draining.add_owned()->set_group("g");
        sendRenewal("p", draining);
        m_service->tick();
        CPPUNIT_ASSERT_EQUAL(std::string("q"), m_machine.group("g")->owner());
        draining.clear_owned(); // renewal sent before the proxy received the change of owner
        sendRenewal("p", draining);
        advanceTime(200ms, {"q"});
        CPPUNIT_ASSERT_EQUAL(2, m_machine.group("g")->holders_size());
        draining.set_directory_version(m_sentMessages["p"].back().grant().directory_version());
        sendRenewal("p", draining);
        advanceTime(200ms, {"q"});
        CPPUNIT_ASSERT_EQUAL(1, m_machine.group("g")->holders_size());
    }

    // Guards against a group that stays without a primary because a live owner renews its lease but never confirms the
    // withdrawal of the term.
    void ownerThatIgnoresWithdrawalIsGrantedNoLease()
    {
        makeGroupReady();
        m_now += 2s; // longer than the announcements of the primary may be missing
        m_service->tick();
        for (int i = 0; i < 30; ++i) {
            auto content = renewal("p");
            auto &evidence = *content.add_evidence();
            evidence.set_group("g");
            evidence.set_database("a");
            evidence.set_term(1);
            evidence.set_refused(true);
            sendRenewal("p", content);
            m_now += 100ms;
            m_service->tick();
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_machine.group("g")->term());
        CPPUNIT_ASSERT(std::any_of(m_endpointCalls.begin(), m_endpointCalls.end(), [](const EndpointCall &call) { return call.target == "/v1/status"; }));
    }

    // Guards against a retry that waits forever for a statement of an owner whose lease has ended, and against statements
    // started by owners without a lease.
    void intentOfEndedOwnerIsNotRepeated()
    {
        makeGroupReady();
        wire::Envelope begin;
        auto &request = *begin.mutable_intent_begin();
        request.set_service("s");
        request.set_key(makeUuid7());
        request.set_proxy("p");
        request.set_incarnation(1);
        m_service->handleMessage("p", wire::Envelope(begin));
        CPPUNIT_ASSERT_EQUAL(wire::GRANTED, m_sentMessages["p"].back().intent_reply().state());
        request.set_proxy("q");
        request.set_attempt(1);
        m_service->handleMessage("q", wire::Envelope(begin));
        CPPUNIT_ASSERT_EQUAL(wire::UNAVAILABLE, m_sentMessages["q"].back().intent_reply().state());
        sendRenewal("q", renewal("q"));
        m_service->handleMessage("q", wire::Envelope(begin));
        CPPUNIT_ASSERT_EQUAL(wire::IN_PROGRESS, m_sentMessages["q"].back().intent_reply().state());
        advanceTime(1'300ms, {"q"});
        m_service->handleMessage("q", wire::Envelope(begin));
        CPPUNIT_ASSERT_EQUAL(wire::NOT_REPEATED, m_sentMessages["q"].back().intent_reply().state());
    }

    // Guards against answers that a restarted proxy takes for its own: its messages have the numbers of those of the earlier process.
    void answersNameTheProcessThatAsked()
    {
        makeGroupReady();
        sendRenewal("p", renewal("p"));
        const auto granted
            = std::find_if(m_sentMessages["p"].begin(), m_sentMessages["p"].end(), [](const auto &message) { return message.grant().sequence() != 0; });
        CPPUNIT_ASSERT(granted != m_sentMessages["p"].end());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), granted->grant().incarnation());
        for (const auto incarnation : {std::uint64_t(1), std::uint64_t(2)}) {
            wire::Envelope begin;
            auto &request = *begin.mutable_intent_begin();
            request.set_service("s");
            request.set_key(makeUuid7());
            request.set_proxy("p");
            request.set_incarnation(incarnation);
            m_service->handleMessage("p", std::move(begin));
            CPPUNIT_ASSERT_EQUAL(incarnation, m_sentMessages["p"].back().intent_reply().incarnation());
        }
    }

    // Guards against failed writes during the planned stop of a primary, if control waits until the primary is gone.
    void leavingPrimaryIsSwitchedOver()
    {
        makeGroupReady();
        auto content = renewal("p");
        *content.add_announcements() = announcement("a", true);
        content.mutable_announcements(0)->set_leaving(true);
        *content.add_announcements() = announcement("b", false, 4);
        sendRenewal("p", content);
        advanceTime(100ms, {});
        const auto &hold = m_sentMessages["p"].back().hold_writes();
        CPPUNIT_ASSERT(hold.group() == "g" && hold.hold_ms() > 0);
        wire::Envelope held;
        held.mutable_writes_held()->set_group("g");
        held.mutable_writes_held()->set_term(1);
        held.mutable_writes_held()->set_drained(true);
        m_service->handleMessage("p", std::move(held));
        CPPUNIT_ASSERT_EQUAL(std::string("c"), m_endpointCalls.back().address); // its position is higher than that of b
    }

    // Guards against changes that reach a proxy only with its next renewal.
    void acceptedChangeIsPushed()
    {
        makeGroupReady();
        wire::ConfigCommand command;
        command.mutable_put()->set_kind("limits");
        command.mutable_put()->set_name("l");
        command.mutable_put()->set_spec_json("{}");
        m_service->change(command, [](LogFailure, const wire::ConfigResult &) {});
        const auto &grant = m_sentMessages["p"].back().grant();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), grant.sequence());
        CPPUNIT_ASSERT(grant.resources_size() == 1 && grant.resources(0).name() == "l" && !grant.config_full());
    }

    // Guards against a proxy that never gets a change: its push was lost, and the next one began after it but named the newest version.
    void changeWhosePushWasLostIsPartOfTheNextOne()
    {
        makeGroupReady();
        for (const char *name : {"first", "second"}) {
            m_sentMessages["p"].clear(); // the push of the first change is lost
            wire::ConfigCommand command;
            command.mutable_put()->set_kind("limits");
            command.mutable_put()->set_name(name);
            command.mutable_put()->set_spec_json("{}");
            m_service->change(command, [](LogFailure, const wire::ConfigResult &) {});
        }
        const auto &grant = m_sentMessages["p"].back().grant();
        CPPUNIT_ASSERT(std::any_of(grant.resources().begin(), grant.resources().end(), [](const auto &change) { return change.name() == "second"; }));
        CPPUNIT_ASSERT(std::any_of(grant.resources().begin(), grant.resources().end(), [](const auto &change) { return change.name() == "first"; }));
    }

    // Guards against proxies that lose their lease because they keep renewing it with a process that no longer leads.
    void followerRedirectsProxyToLeader()
    {
        makeGroupReady();
        m_leads = false;
        sendRenewal("p", renewal("p"));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7"), m_sentMessages["p"].back().not_leader().leader_link_address());
    }

private:
    static constexpr const char *changeId = "0190aaaa-bbbb-7ccc-8ddd-eeeeeeeeeeee";

    HttpResponse request(OperatorApi &api, const std::string &method, const std::string &target, const std::string &body = {}, const std::string &token = "t")
    {
        HttpRequest content;
        content.method = method;
        content.target = target;
        content.body = body;
        content.authorization = "Bearer " + token;
        HttpResponse result;
        result.status = 0;
        api.handle(content, [&result](HttpResponse &&response) { result = std::move(response); });
        return result;
    }

    OperatorApi makeApi()
    {
        OperatorApiOptions options;
        options.token = "t";
        options.leaderHttpAddress = [] {
            return std::string("10.0.0.1:8");
        };
        options.logStatus = [] {
            return boost::json::object();
        };
        return {std::move(options), *m_service};
    }

public:
    // Guards against error replies that contain only the first error, and against version conflicts without the resource that
    // was accepted.
    void putReportsAllErrorsAndTheConflictingResource()
    {
        auto api = makeApi();
        CPPUNIT_ASSERT_EQUAL(401U, request(api, "GET", "/v1/status", {}, "other").status);
        const auto invalid = request(api, "PUT", "/v1/resources/limits/l", R"({"version": -1, "change_id": "x", "spec": {"slots": 0}, "more": 1})");
        CPPUNIT_ASSERT_EQUAL(400U, invalid.status);
        for (const auto *field : {"\"version\"", "\"change_id\"", "\"spec.slots\"", "\"more\""}) {
            CPPUNIT_ASSERT(invalid.body.find(field) != std::string::npos);
        }
        const auto body = std::string(R"({"version": 0, "change_id": ")") + changeId + R"(", "spec": {"slots": 3}})";
        const auto first = request(api, "PUT", "/v1/resources/limits/l", body);
        CPPUNIT_ASSERT_EQUAL(200U, first.status);
        CPPUNIT_ASSERT_EQUAL(first.body, request(api, "PUT", "/v1/resources/limits/l", body).body);
        const auto conflict
            = request(api, "PUT", "/v1/resources/limits/l", R"({"version": 0, "change_id": "0190aaaa-bbbb-7ccc-8ddd-ffffffffffff", "spec": {}})");
        CPPUNIT_ASSERT_EQUAL(409U, conflict.status);
        CPPUNIT_ASSERT(conflict.body.find("\"slots\":3") != std::string::npos);
        m_leads = false;
        m_service->tick();
        const auto redirect = request(api, "DELETE", "/v1/resources/limits/l?version=2");
        CPPUNIT_ASSERT_EQUAL(307U, redirect.status);
        CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.1:8/v1/resources/limits/l?version=2"), redirect.headers.front().second);
    }

    // Guards against reads that return an older version than the client has seen, and watches that miss or delay a change.
    void readsRespectMinimumVersionAndWatchesReportChanges()
    {
        auto api = makeApi();
        CPPUNIT_ASSERT_EQUAL(200U, request(api, "GET", "/v1/resources?min_version=1").status);
        CPPUNIT_ASSERT_EQUAL(412U, request(api, "GET", "/v1/resources/group/g?min_version=2").status);
        HttpRequest watch;
        watch.target = "/v1/watch?from=1";
        watch.authorization = "Bearer t";
        std::vector<std::string> lines;
        api.handle(watch, [&lines](HttpResponse &&response) { lines.push_back(response.body); });
        api.tick();
        CPPUNIT_ASSERT(lines.empty());
        const auto removed = request(api, "DELETE", std::string("/v1/resources/group/g?version=1&change_id=") + changeId);
        CPPUNIT_ASSERT_EQUAL(200U, removed.status);
        api.tick();
        CPPUNIT_ASSERT(lines.size() == 1 && lines.front().find("\"deleted\":true") != std::string::npos);
        watch.target = "/v1/watch?from=2";
        api.handle(watch, [&lines](HttpResponse &&response) { lines.push_back(response.body); });
        m_now += 25s;
        api.tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), lines.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlServiceTest);
