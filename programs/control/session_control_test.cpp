#include "content_delivery.h"
#include "testing/session_control_fixture.h"

#include <waxwing/sessions/session_directory.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace waxwing;
using namespace waxwing::control;
using waxwing::control::testing::SessionControlFixture;

class SessionControlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionControlTest);
    CPPUNIT_TEST(proxyIsRecordedBeforeItGetsALease);
    CPPUNIT_TEST(proxiesThatFoundNoLeaderAreReferredToTheNewOne);
    CPPUNIT_TEST(proxiesThatAskedDuringAnElectionAreReferredToAnotherMember);
    CPPUNIT_TEST(proxiesAreReferredToALeaderThatIsElectedAgain);
    CPPUNIT_TEST(firstStartWaitsForTheProxiesBeforeConnectionsAreShared);
    CPPUNIT_TEST(hundredsOfProxiesRenewLessOften);
    CPPUNIT_TEST(statusListsServicesAndProxies);
    CPPUNIT_TEST(cutOffProxyIsReachedThroughAnotherMember);
    CPPUNIT_TEST(memberRelaysOnlyToTheLeaderThatTheProxyCannotReach);
    CPPUNIT_TEST(unusableDatabaseIsNotPublished);
    CPPUNIT_TEST(configurationUnderWayIsNotSentWithEachRenewal);
    CPPUNIT_TEST(proxyThatLostItsCopiesGetsTheNewestConfigurationAtOnce);
    CPPUNIT_TEST(copyOfALargeConfigurationPassesASlowLinkWithinARenewal);
    CPPUNIT_TEST(entryThatLeavesTheDirectoryAsItIsSendsNone);
    CPPUNIT_TEST(holdersThatChangeOftenAreSentTogether);
    CPPUNIT_TEST(directoryNumberStandsForOneContent);
    CPPUNIT_TEST(deregistrationIsAnsweredOnceItIsRecorded);
    CPPUNIT_TEST(followerAnswersADeregistrationAsTheLeaderDoes);
    CPPUNIT_TEST(removalThatTheLogRefusedIsRecordedLater);
    CPPUNIT_TEST(heartbeatOfADeregisteredDatabaseIsIgnored);
    CPPUNIT_TEST(drainingIsNotAcknowledgedWhenItsForwardingIsLost);
    CPPUNIT_TEST(drainingIsAcknowledgedOnceTheLeaderHasIt);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::string_view smallConfig
        = R"({"version":7,"routes":[{"name":"r1","host":"orders","path_prefix":"/","kind":"primary","timeout_ms":2000,"service":"s"}],)"
          R"("services":[{"name":"s","max_conns":12,"sync_replicas":1}],"limits":{}})";

    static bool storeConfig(SessionControlFixture &fixture, std::string_view document)
    {
        bool isStored = false;
        fixture.control.storeConfig(std::string(document), [&](SessionControl::StoreOutcome outcome, const std::vector<std::string> &) {
            isStored = outcome == SessionControl::StoreOutcome::Accepted;
        });
        return isStored;
    }

    /// Copies that may be sent within a time although nothing is confirmed.
    static std::size_t maxCopies(TimePoint since, Duration firstRepetition)
    {
        return 1 + static_cast<std::size_t>((Clock::now() - since) / firstRepetition);
    }

public:
    // Guards against a stale read: a new leader of control does not know of a lease and promotes before it has ended.
    void proxyIsRecordedBeforeItGetsALease()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        bool granted = false;
        fixture.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_grant() && message.grant().sequence() != 0) {
                granted = true;
                CPPUNIT_ASSERT(fixture.machine.proxies().contains(proxy));
            }
        };
        fixture.renewLease("p1", false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return granted; }));
    }

    // Guards against proxies that reach a new leader only at their next search, because the member that they asked became the
    // leader without notifying them.
    void proxiesThatFoundNoLeaderAreReferredToTheNewOne()
    {
        SessionControlFixture fixture;
        fixture.leads = false;
        std::vector<std::string> leaderHints;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            if (message.has_not_leader()) {
                leaderHints.push_back(message.not_leader().leader());
            }
        };
        fixture.renewLease("p1", false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaderHints.size());
        fixture.leads = true;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return leaderHints.size() == 2; }));
        CPPUNIT_ASSERT(fixture.control.isActive());
    }

    // Guards against proxies that search on after an election, because the member that they asked did not win it.
    void proxiesThatAskedDuringAnElectionAreReferredToAnotherMember()
    {
        SessionControlFixture fixture;
        fixture.leads = false;
        fixture.leader.clear();
        std::vector<std::string> leaderHints;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            if (message.has_not_leader()) {
                leaderHints.push_back(message.not_leader().leader());
            }
        };
        fixture.renewLease("p1", false);
        fixture.renewLease("p2", false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), leaderHints.size());
        leaderHints.clear();
        fixture.leader = "core-3";
        CPPUNIT_ASSERT(fixture.runUntil([&] { return leaderHints.size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::string("core-3"), leaderHints.front());
    }

    // Guards against proxies that search on after an election which the former leader wins: they were not referred to it a second time.
    void proxiesAreReferredToALeaderThatIsElectedAgain()
    {
        SessionControlFixture fixture;
        fixture.leads = false;
        fixture.leader = "core-3";
        std::size_t referrals = 0;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            referrals += message.not_leader().leader() == "core-3" ? 1 : 0;
        };
        fixture.renewLease("p1", false);
        fixture.control.tick();
        fixture.leader.clear();
        fixture.renewLease("p1", false);
        fixture.control.tick();
        referrals = 0;
        fixture.leader = "core-3";
        CPPUNIT_ASSERT(fixture.runUntil([&] { return referrals != 0; }));
    }

    // Guards against the first of 191 proxies that take a share of the connections each, of which there are fewer than proxies.
    void firstStartWaitsForTheProxiesBeforeConnectionsAreShared()
    {
        SessionLeases::Options leases;
        leases.lease = 500ms;
        SessionControlFixture fixture(leases);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        CPPUNIT_ASSERT(storeConfig(fixture, smallConfig));
        fixture.addDatabase("a", true);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "a"; }));
        std::optional<wire::PoolGrant> early;
        std::optional<wire::PoolGrant> late;
        const auto completeAt = Clock::now() + leases.lease * 2;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            if (message.has_grant() && message.grant().has_directory()) {
                (early ? late : early) = message.grant();
            }
        };
        fixture.renewLease("p1", false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return early.has_value(); }));
        CPPUNIT_ASSERT(early->holders_pending());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return Clock::now() >= completeAt && late.has_value(); }));
        CPPUNIT_ASSERT(!late->holders_pending());
    }

    // Guards against a leader with 0.15 of a core that spends it on renewals and loses the log: 190 proxies renewed 475 times a second.
    void hundredsOfProxiesRenewLessOften()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        std::uint32_t interval = 0;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            if (message.has_grant() && message.grant().sequence() != 0) {
                interval = message.grant().renew_after_ms();
            }
        };
        fixture.renewLease("p0", false);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(400), interval);
        for (int i = 1; i < 190; ++i) {
            fixture.renewLease("p" + std::to_string(i), false);
        }
        CPPUNIT_ASSERT(interval >= 700);
        CPPUNIT_ASSERT(interval <= toMilliseconds(SessionLeases::Options().lease).count() / 2);
    }

    // Guards against a status report without the primary of a service or without a proxy that holds a lease.
    void statusListsServicesAndProxies()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        fixture.addDatabase("a", true);
        fixture.renewLease("p1", false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "a"; }));
        const auto status = fixture.control.status(LogStatus());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), std::string(status.at("services").as_array().front().as_object().at("primary").as_string()));
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), std::string(status.at("proxies").as_array().front().as_object().at("proxy").as_string()));
    }

    // Guards against proxies without a lease, and a service without a primary, because the proxies reach every member of
    // control except the leader.
    void cutOffProxyIsReachedThroughAnotherMember()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        bool sentDirectly = false;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            sentDirectly = sentDirectly || message.has_grant();
        };
        wire::PoolEnvelope message;
        message.mutable_relay()->set_proxy("p1");
        auto &renewal = *message.mutable_relay()->mutable_content()->mutable_renewal();
        renewal.set_proxy("p1");
        renewal.set_sequence(7);
        renewal.set_incarnation(1);
        fixture.control.handleMessage("core-2", message);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.memberMessages.empty(); }));
        const auto &[member, reply] = fixture.memberMessages.back();
        CPPUNIT_ASSERT_EQUAL(std::string("core-2"), member);
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), reply.relay().proxy());
        CPPUNIT_ASSERT(reply.relay().content().grant().relayed());
        CPPUNIT_ASSERT(!sentDirectly);
        fixture.renewLease("p1", false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return sentDirectly; }));
    }

    // Guards against relaying to a leader that was replaced, and against relaying where a referral is enough.
    void memberRelaysOnlyToTheLeaderThatTheProxyCannotReach()
    {
        SessionControlFixture fixture;
        fixture.leads = false;
        std::size_t referrals = 0;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            referrals += message.has_not_leader() ? 1 : 0;
        };
        wire::PoolEnvelope message;
        message.mutable_renewal()->set_proxy("p1");
        message.mutable_renewal()->set_unreachable_leader("core-1");
        fixture.control.handleMessage("p1", message);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), referrals);
        CPPUNIT_ASSERT(fixture.memberMessages.empty());
        message.mutable_renewal()->set_unreachable_leader("core-2");
        fixture.control.handleMessage("p1", message);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), referrals);
        CPPUNIT_ASSERT_EQUAL(std::string("core-2"), fixture.memberMessages.back().first);
        message.Clear();
        message.mutable_relay()->set_proxy("p1");
        message.mutable_relay()->mutable_content()->mutable_not_leader();
        fixture.control.handleMessage("core-2", message);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), referrals);
    }

    // Guards against grants that no proxy can parse, so that all proxies lose their leases: another member, or a former leader,
    // accepted an entry of another writer.
    void unusableDatabaseIsNotPublished()
    {
        SessionControlFixture fixture;
        const auto odd = [](const std::string &id, const std::string &address) {
            wire::PoolMember member;
            member.set_id(id);
            member.set_service("s");
            member.set_address(address);
            member.set_born_ms(1);
            member.set_sequence(1);
            return member;
        };
        wire::SessionsCommand command;
        *command.mutable_set_member()->mutable_member() = odd("recorded\r\n", "127.0.0.1:1");
        fixture.machine.apply(++fixture.index, encodeMessage(command));
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        fixture.addDatabase("a", true);
        wire::PoolEnvelope beat;
        *beat.mutable_beat()->mutable_member() = odd("\xff\xfe", "127.0.0.1:2");
        fixture.control.handleMessage("core-3", beat);
        *beat.mutable_beat()->mutable_member() = odd("b c", "127.0.0.1:3");
        fixture.control.handleMessage("core-3", beat);
        std::vector<std::string> published;
        bool isReadable = true;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            wire::PoolEnvelope received;
            isReadable = isReadable && received.ParseFromString(message.SerializeAsString());
            for (const auto &view : message.grant().services()) {
                for (const auto &member : view.members()) {
                    published.push_back(member.id());
                }
            }
        };
        fixture.renewLease("p1", false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !published.empty(); }));
        CPPUNIT_ASSERT(isReadable);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), published.front());
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(published.size()), std::count(published.begin(), published.end(), "a"));
    }

    // Guards against a slow link that fills with copies of the configuration, because each renewal that a proxy sends before the
    // first copy has arrived is answered with another one, also through other members.
    void configurationUnderWayIsNotSentWithEachRenewal()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        std::size_t copies = 0;
        std::size_t grants = 0;
        const auto count = [&](const wire::PoolGrant &grant) {
            copies += grant.document().empty() ? 0 : 1;
            grants += grant.sequence() != 0 ? 1 : 0;
        };
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            if (message.has_grant()) {
                count(message.grant());
            }
        };
        const auto start = Clock::now();
        CPPUNIT_ASSERT(storeConfig(fixture, smallConfig));
        constexpr std::size_t renewals = 40;
        wire::PoolEnvelope relayed;
        relayed.mutable_relay()->set_proxy("p1");
        relayed.mutable_relay()->mutable_content()->mutable_renewal()->set_proxy("p1");
        relayed.mutable_relay()->mutable_content()->mutable_renewal()->set_incarnation(1);
        relayed.mutable_relay()->mutable_content()->mutable_renewal()->set_sequence(1);
        for (std::size_t i = 0; i < renewals / 2; ++i) {
            fixture.renewLease("p1", false);
            fixture.control.handleMessage("core-2", relayed);
            fixture.control.tick();
        }
        for (const auto &[member, message] : fixture.memberMessages) {
            count(message.relay().content().grant());
        }
        CPPUNIT_ASSERT_EQUAL(renewals, grants);
        CPPUNIT_ASSERT(copies >= 1);
        CPPUNIT_ASSERT_LESSEQUAL(maxCopies(start, ContentDelivery::Options().firstRepetition), copies);
    }

    // Guards against a proxy that refuses by an old configuration for seconds, because control waits for copies that were lost with
    // connections, directly and through another member.
    void proxyThatLostItsCopiesGetsTheNewestConfigurationAtOnce()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        SessionDirectory directory(fixture.context.get_executor(), {.proxy = "p1"});
        bool isCut = false;
        std::uint64_t granted = 0;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            if (message.has_grant() && !isCut) {
                directory.apply(message.grant(), TimePoint());
                granted = std::max(granted, message.grant().sequence());
            }
        };
        const auto makeRenewal = [&] {
            wire::PoolEnvelope message;
            auto &renewal = *message.mutable_renewal();
            renewal.set_proxy("p1");
            renewal.set_incarnation(1);
            renewal.set_sequence(++fixture.sequence);
            renewal.set_config_version(directory.configVersion());
            renewal.set_directory_version(directory.directoryVersion());
            renewal.set_received_number(directory.receivedNumber());
            renewal.set_received_term(directory.controlTerm());
            return message;
        };
        // Renewals until one of them is answered and another one states that; true for relayed ones.
        const auto renewTwice = [&](bool isRelayed) {
            for (int i = 0; i < 2; ++i) {
                auto message = makeRenewal();
                if (isRelayed) {
                    wire::PoolEnvelope relay;
                    relay.mutable_relay()->set_proxy("p1");
                    *relay.mutable_relay()->mutable_content() = message;
                    message = relay;
                }
                fixture.control.handleMessage(isRelayed ? "core-2" : "p1", message);
                fixture.control.tick();
                for (const auto &[member, sent] : std::exchange(fixture.memberMessages, {})) {
                    if (!isCut) {
                        directory.apply(sent.relay().content().grant(), TimePoint());
                    }
                }
            }
        };
        fixture.addDatabase("a", true);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "a"; }));
        renewTwice(false);
        std::uint64_t version = 7;
        for (const bool isRelayed : {false, true, false, true, true, false}) {
            auto document = std::string(smallConfig);
            document.replace(document.find(":7,"), 3, ":" + std::to_string(++version) + ",");
            CPPUNIT_ASSERT(storeConfig(fixture, document));
            isCut = true;
            renewTwice(isRelayed); // the copy is lost, and the answers too
            isCut = false;
            renewTwice(isRelayed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(isRelayed ? "relayed" : "direct", version, directory.configVersion());
        }
        CPPUNIT_ASSERT(granted != 0);
    }

    // Guards against callers that wait for seconds, because a change of many routes occupies the link of their proxy.
    void copyOfALargeConfigurationPassesASlowLinkWithinARenewal()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        std::string routes;
        constexpr int routeCount = 1'400;
        for (int i = 0; i < routeCount; ++i) {
            const auto name = std::to_string(i);
            routes += (i == 0 ? "" : ",") + (R"({"name":"r)" + name) + R"(","host":"orders-)" + name + R"(","path_prefix":"/area-)" + name
                + R"(/","kind":"primary","timeout_ms":2000,"service":"s"})";
        }
        const auto document = R"({"version":7,"routes":[)" + routes + R"(],"services":[{"name":"s","max_conns":12,"sync_replicas":1}],"limits":{}})";
        CPPUNIT_ASSERT(storeConfig(fixture, document));
        std::map<std::string, wire::PoolGrant> grants;
        fixture.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_grant() && message.grant().sequence() != 0) {
                grants[proxy] = message.grant();
            }
        };
        fixture.renewLease("former-version", false);
        wire::PoolEnvelope message;
        message.mutable_renewal()->set_proxy("p1");
        message.mutable_renewal()->set_incarnation(1);
        message.mutable_renewal()->set_sequence(1);
        message.mutable_renewal()->set_takes_compressed(true);
        fixture.control.handleMessage("p1", message);
        constexpr std::size_t bytesPerSecond = 2'000'000 / 8;
        constexpr std::size_t renewalsPerSecond = 5; // while a proxy searches for the leader
        CPPUNIT_ASSERT_LESS(bytesPerSecond / renewalsPerSecond, grants.at("p1").ByteSizeLong());
        CPPUNIT_ASSERT_EQUAL(document, grants.at("former-version").document());
        for (const auto &[proxy, grant] : grants) {
            SessionDirectory directory(fixture.context.get_executor(), {.proxy = proxy});
            directory.apply(grant, Clock::now());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), directory.configVersion());
            CPPUNIT_ASSERT_EQUAL(std::size_t(routeCount), directory.config()->routes.size());
        }
    }

    // Guards against a directory that is sent to all proxies for each entry of the log, such as the record of another proxy.
    void entryThatLeavesTheDirectoryAsItIsSendsNone()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        auto &database = fixture.addDatabase("a", true);
        fixture.renewLease("p1", false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "a"; }));
        fixture.control.tick();
        std::size_t directories = 0;
        std::map<std::string, std::uint64_t> versions;
        fixture.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_grant()) {
                directories += proxy == "p1" && message.grant().has_directory() ? 1 : 0;
                versions[proxy] = message.grant().directory_version();
            }
        };
        fixture.renewLease("p1", false);
        const auto version = versions.at("p1");
        CPPUNIT_ASSERT(version != 0);
        directories = 0;
        wire::PoolEnvelope renewal;
        renewal.mutable_renewal()->set_proxy("p1");
        renewal.mutable_renewal()->set_incarnation(1);
        renewal.mutable_renewal()->set_directory_version(version);
        for (int i = 2; i < 22; ++i) {
            renewal.mutable_renewal()->set_sequence(++fixture.sequence);
            fixture.control.handleMessage("p1", renewal);
            fixture.renewLease("p" + std::to_string(i), false); // recorded in the log
            fixture.sendHeartbeat(database, true, false);
            fixture.control.tick();
        }
        CPPUNIT_ASSERT_EQUAL(version, versions.at("p21"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), directories);
        fixture.sendHeartbeat(database, true, true);
        fixture.control.tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directories);
    }

    // Guards against a directory for each of many proxies that restart one after another, which fills the links of all others.
    void holdersThatChangeOftenAreSentTogether()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        CPPUNIT_ASSERT(storeConfig(fixture, smallConfig));
        std::string holder;
        std::set<std::uint64_t> versions;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            if (!message.has_grant() || !message.grant().has_directory()) {
                return;
            }
            versions.insert(message.grant().directory_version());
            for (const auto &view : message.grant().services()) {
                holder = view.holders().empty() ? std::string() : view.holders(0).proxy();
            }
        };
        const auto renew = [&](const std::string &proxy, bool draining) {
            wire::PoolEnvelope message;
            message.mutable_renewal()->set_proxy(proxy);
            message.mutable_renewal()->set_incarnation(1);
            message.mutable_renewal()->set_link(proxy + ":1");
            message.mutable_renewal()->set_draining(draining);
            fixture.control.handleMessage(proxy, message);
        };
        constexpr int proxyCount = 20;
        for (int i = 0; i < proxyCount; ++i) {
            renew("p" + std::to_string(i), false);
        }
        fixture.addDatabase("a", true);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "a" && !holder.empty(); }));
        versions.clear();
        const auto start = Clock::now();
        for (int i = 0; i < proxyCount; ++i) {
            const auto proxy = "p" + std::to_string(i);
            renew(proxy, true);
            fixture.control.tick();
            renew(proxy, false);
            fixture.control.tick();
        }
        CPPUNIT_ASSERT_LESSEQUAL(maxCopies(start, 200ms) + 1, versions.size());
        const auto former = holder;
        renew(former, true);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return holder != former; }));
    }

    // Guards against a proxy that keeps holders which were never published: it joined while a change of holders was held back, got
    // them under the former number, and the change was taken back.
    void directoryNumberStandsForOneContent()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        CPPUNIT_ASSERT(storeConfig(fixture, smallConfig));
        std::map<std::uint64_t, std::set<std::string>> holdersByVersion;
        std::string holder;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            for (const auto &view : message.grant().services()) {
                holder = view.holders().empty() ? std::string() : view.holders(0).proxy();
                holdersByVersion[message.grant().directory_version()].insert(holder);
            }
        };
        const auto renew = [&](const std::string &proxy, bool draining) {
            wire::PoolEnvelope message;
            auto &renewal = *message.mutable_renewal();
            renewal.set_proxy(proxy);
            renewal.set_incarnation(1);
            renewal.set_link(proxy + ":1");
            renewal.set_sequence(++fixture.sequence);
            renewal.set_draining(draining);
            fixture.control.handleMessage(proxy, message);
            fixture.control.tick();
        };
        fixture.addDatabase("a", true);
        constexpr int proxies = 12;
        CPPUNIT_ASSERT(fixture.runUntil([&] {
            for (int i = 0; i < proxies; ++i) {
                renew("p" + std::to_string(i), false);
            }
            return !holder.empty();
        }));
        for (int i = 0; i < 50; ++i) {
            const auto first = holder;
            renew(first, true);
            renew("joining-" + std::to_string(i), false);
            renew(first, false);
        }
        for (const auto &[version, holders] : holdersByVersion) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(version), std::size_t(1), holders.size());
        }
    }
    // Guards against a database that ends after its notice was answered, and that the next leader of control publishes, since the log
    // lacks the notice.
    void deregistrationIsAnsweredOnceItIsRecorded()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        fixture.addDatabase("a", true);
        fixture.proposalsAreAccepted = false;
        fixture.deregister("a");
        CPPUNIT_ASSERT(fixture.deregistrations == std::vector<bool> {false});
        CPPUNIT_ASSERT(fixture.machine.members().contains("a"));
        fixture.proposalsAreAccepted = true;
        fixture.deregister("a");
        CPPUNIT_ASSERT((fixture.deregistrations == std::vector<bool> {false, true}));
        CPPUNIT_ASSERT(fixture.machine.members().empty());
        fixture.deregister("a");
        CPPUNIT_ASSERT(fixture.deregistrations.back());
    }

    // Guards against the same at a member that does not lead: it answers before the leader has the notice.
    void followerAnswersADeregistrationAsTheLeaderDoes()
    {
        SessionControlFixture fixture;
        fixture.leads = false;
        for (const bool recorded : {true, false}) {
            fixture.deregistrations.clear();
            fixture.deregister("a");
            CPPUNIT_ASSERT(fixture.deregistrations.empty());
            const auto beat = fixture.memberMessages.back().second.beat();
            wire::PoolEnvelope message;
            message.mutable_beat_answer()->set_correlation(beat.correlation());
            message.mutable_beat_answer()->set_incarnation(beat.incarnation() + 1);
            message.mutable_beat_answer()->set_recorded(!recorded);
            fixture.control.handleMessage("core-2", message);
            CPPUNIT_ASSERT(fixture.deregistrations.empty());
            message.mutable_beat_answer()->set_incarnation(beat.incarnation());
            message.mutable_beat_answer()->set_recorded(recorded);
            fixture.control.handleMessage("core-2", message);
            CPPUNIT_ASSERT(fixture.deregistrations == std::vector<bool> {recorded});
        }
        fixture.deregistrations.clear();
        fixture.deregister("a");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.deregistrations == std::vector<bool> {false}; }));
        fixture.leader.clear();
        fixture.deregister("a");
        CPPUNIT_ASSERT((fixture.deregistrations == std::vector<bool> {false, false}));
    }

    // Guards against a promotion that loses commits: the log refused, while it was overloaded, to record that a database is gone which
    // may hold commits that the others lack, and control did not try again.
    void removalThatTheLogRefusedIsRecordedLater()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        const auto &primary = fixture.addDatabase("p", true);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.primary() == "p"; }));
        fixture.addDatabase("a", false);
        CPPUNIT_ASSERT(fixture.machine.members().contains("a"));
        int published = 0;
        fixture.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            if (message.grant().has_directory() && !message.grant().services().empty()) {
                published = message.grant().services(0).members_size();
            }
        };
        const auto renewUntilPublished = [&](int databases) {
            return fixture.runUntil([&] {
                fixture.sendHeartbeat(primary, true, false);
                fixture.renewLease("p1", false);
                return published == databases;
            });
        };
        CPPUNIT_ASSERT(renewUntilPublished(2));
        fixture.proposalsAreAccepted = false;
        CPPUNIT_ASSERT(renewUntilPublished(1));
        CPPUNIT_ASSERT(fixture.machine.members().contains("a"));
        fixture.proposalsAreAccepted = true;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.machine.members().contains("a"); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.machine.absent("s").size());
    }

    // Guards against a database that is in use again after it has deregistered, because its last heartbeat arrives at a later leader.
    void heartbeatOfADeregisteredDatabaseIsIgnored()
    {
        SessionControlFixture fixture;
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.control.isActive(); }));
        const auto &database = fixture.addDatabase("a", true);
        fixture.deregister("a");
        CPPUNIT_ASSERT(fixture.changeLeader());
        fixture.sendHeartbeat(database, true, true);
        CPPUNIT_ASSERT(fixture.machine.members().empty());
        fixture.sendHeartbeat(database, true, false, 2);
        CPPUNIT_ASSERT(fixture.machine.members().contains("a"));
    }

    // Guards against a database that ends while proxies still use it: a member acknowledged that it drains, and the message to the leader
    // was lost, or went to a former leader.
    void drainingIsNotAcknowledgedWhenItsForwardingIsLost()
    {
        SessionControlFixture fixture;
        fixture.leads = false;
        const auto &database = fixture.addDatabase("a", true);
        CPPUNIT_ASSERT(fixture.heartbeats == std::vector<bool> {true});
        fixture.heartbeats.clear();
        fixture.sendHeartbeat(database, true, true);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.heartbeats.empty(); }));
        CPPUNIT_ASSERT(fixture.heartbeats == std::vector<bool> {false});
    }

    // Guards against a database whose draining is never acknowledged, since the member that it calls is not the leader.
    void drainingIsAcknowledgedOnceTheLeaderHasIt()
    {
        SessionControlFixture leader;
        CPPUNIT_ASSERT(leader.runUntil([&] { return leader.control.isActive(); }));
        SessionControlFixture fixture;
        fixture.leads = false;
        const auto &database = fixture.addDatabase("a", true);
        fixture.heartbeats.clear();
        fixture.sendHeartbeat(database, true, true);
        leader.control.handleMessage("core-3", fixture.memberMessages.back().second);
        CPPUNIT_ASSERT(leader.machine.members().at("a").draining());
        CPPUNIT_ASSERT(!leader.memberMessages.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("core-3"), leader.memberMessages.back().first);
        fixture.control.handleMessage("core-2", leader.memberMessages.back().second);
        CPPUNIT_ASSERT(fixture.heartbeats == std::vector<bool> {true});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionControlTest);
