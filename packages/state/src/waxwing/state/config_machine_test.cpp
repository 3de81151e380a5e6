#include <waxwing/state/config_machine.h>
#include <waxwing/state/message_bytes.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class ConfigMachineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigMachineTest);
    CPPUNIT_TEST(oneOfTwoChangesWithEqualVersionWins);
    CPPUNIT_TEST(repeatedChangeReturnsFirstResultAfterSnapshot);
    CPPUNIT_TEST(changeIdWithOtherContentIsRefused);
    CPPUNIT_TEST(rememberedChangesAreBounded);
    CPPUNIT_TEST(deletedNameDoesNotReuseVersions);
    CPPUNIT_TEST(readerBehindForgottenDeletionsNeedsWholeSet);
    CPPUNIT_TEST(termIsStartedAndPublishedOnlyOnce);
    CPPUNIT_TEST(drainingOwnerStaysHolderUntilReleased);
    CPPUNIT_TEST(truncatedSnapshotLeavesStateUnchanged);
    CPPUNIT_TEST_SUITE_END();

    ConfigMachine m_machine;
    std::uint64_t m_index = 0;

    wire::ConfigResult put(const std::string &changeId, std::uint64_t expected, const std::string &spec, const std::string &name = "a")
    {
        wire::ConfigCommand command;
        command.set_change_id(changeId);
        command.mutable_put()->set_kind("group");
        command.mutable_put()->set_name(name);
        command.mutable_put()->set_expected_version(expected);
        command.mutable_put()->set_spec_json(spec);
        return m_machine.applyCommand(++m_index, command);
    }

    wire::ConfigResult remove(std::uint64_t expected)
    {
        wire::ConfigCommand command;
        command.mutable_remove()->set_kind("group");
        command.mutable_remove()->set_name("a");
        command.mutable_remove()->set_expected_version(expected);
        return m_machine.applyCommand(++m_index, command);
    }

    wire::ConfigStatus startTerm(std::uint64_t expected, std::uint64_t term)
    {
        wire::ConfigCommand command;
        command.mutable_start_term()->set_group("a");
        command.mutable_start_term()->set_expected_term(expected);
        command.mutable_start_term()->set_term(term);
        return m_machine.applyCommand(++m_index, command).status();
    }

    wire::ConfigStatus publish(std::uint64_t term, const std::string &primary)
    {
        wire::ConfigCommand command;
        command.mutable_publish_primary()->set_group("a");
        command.mutable_publish_primary()->set_term(term);
        command.mutable_publish_primary()->set_primary(primary);
        return m_machine.applyCommand(++m_index, command).status();
    }

    wire::ConfigResult assign(std::uint64_t epoch, const std::string &owner, bool keepHolders)
    {
        wire::ConfigCommand command;
        auto &change = *command.mutable_assign_owners()->add_changes();
        change.set_group("a");
        change.set_expected_epoch(epoch);
        change.set_owner(owner);
        change.set_incarnation(1);
        change.set_keep_holders(keepHolders);
        return m_machine.applyCommand(++m_index, command);
    }

    void snapshotAndRestore()
    {
        ConfigMachine restored;
        CPPUNIT_ASSERT(restored.restore(m_machine.snapshot()));
        CPPUNIT_ASSERT(restored.snapshot() == m_machine.snapshot());
        m_machine = std::move(restored);
    }

public:
    // Guards against a lost update when two operators change the same version.
    void oneOfTwoChangesWithEqualVersionWins()
    {
        const auto version = put("1", 0, "{}").version();
        CPPUNIT_ASSERT_EQUAL(wire::ACCEPTED, put("2", version, "{\"databases_expected\":3}").status());
        const auto refused = put("3", version, "{\"databases_expected\":5}");
        CPPUNIT_ASSERT_EQUAL(wire::VERSION_CONFLICT, refused.status());
        CPPUNIT_ASSERT_EQUAL(std::string("{\"databases_expected\":3}"), refused.resource().spec_json());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_machine.version());
    }

    // Guards against a retry that is applied again, or that fails with a conflict with itself, after a snapshot.
    void repeatedChangeReturnsFirstResultAfterSnapshot()
    {
        const auto first = put("1", 0, "{}");
        put("2", 1, "{\"databases_expected\":3}");
        const auto conflict = put("3", 1, "{}");
        snapshotAndRestore();
        CPPUNIT_ASSERT_EQUAL(first.SerializeAsString(), put("1", 0, "{}").SerializeAsString());
        CPPUNIT_ASSERT_EQUAL(conflict.SerializeAsString(), put("3", 1, "{}").SerializeAsString());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_machine.version());
    }

    // Guards against a reused identifier that makes a new change look accepted.
    void changeIdWithOtherContentIsRefused()
    {
        put("1", 0, "{}");
        CPPUNIT_ASSERT_EQUAL(wire::CHANGE_ID_REUSED, put("1", 1, "{\"databases_expected\":5}").status());
    }

    // Guards against unbounded memory, and against a bound that drops the newest identifiers.
    void rememberedChangesAreBounded()
    {
        ConfigMachine::Options options;
        options.maxChanges = 2;
        m_machine = ConfigMachine(options);
        put("1", 0, "{}");
        put("2", 1, "{}");
        put("3", 2, "{}");
        CPPUNIT_ASSERT(m_machine.changeResult("1") == nullptr);
        CPPUNIT_ASSERT(m_machine.changeResult("2") != nullptr && m_machine.changeResult("3") != nullptr);
    }

    // Guards against a stale change that hits a resource which was deleted and created again.
    void deletedNameDoesNotReuseVersions()
    {
        put("1", 0, "{}");
        CPPUNIT_ASSERT_EQUAL(wire::ACCEPTED, remove(1).status());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), put("2", 0, "{}").version());
        CPPUNIT_ASSERT_EQUAL(wire::VERSION_CONFLICT, put("3", 1, "{}").status());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_machine.changesAfter(1)->size());
    }

    // Guards against a proxy that keeps a deleted resource because it was away for long.
    void readerBehindForgottenDeletionsNeedsWholeSet()
    {
        ConfigMachine::Options options;
        options.maxDeletions = 1;
        m_machine = ConfigMachine(options);
        put("1", 0, "{}");
        remove(1);
        put("2", 0, "{}");
        remove(3);
        CPPUNIT_ASSERT(!m_machine.changesAfter(1).has_value());
        CPPUNIT_ASSERT(m_machine.changesAfter(2)->front().deleted());
        CPPUNIT_ASSERT(!m_machine.changesAfter(99).has_value()); // a reader from another installation
    }

    // Guards against two leaders that start or publish the same term.
    void termIsStartedAndPublishedOnlyOnce()
    {
        CPPUNIT_ASSERT_EQUAL(wire::ACCEPTED, publish(1, "x"));
        CPPUNIT_ASSERT_EQUAL(wire::ACCEPTED, startTerm(1, 2));
        CPPUNIT_ASSERT_EQUAL(wire::STALE, startTerm(1, 2));
        CPPUNIT_ASSERT_EQUAL(wire::STALE, publish(1, "x"));
        CPPUNIT_ASSERT_EQUAL(wire::ACCEPTED, publish(2, "y"));
        CPPUNIT_ASSERT_EQUAL(wire::STALE, publish(2, "z"));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), m_machine.group("a")->previous_primary());
        CPPUNIT_ASSERT_EQUAL(2, m_machine.group("a")->term_history_size());
    }

    // Guards against a promotion that does not wait for a draining owner that may still acknowledge.
    void drainingOwnerStaysHolderUntilReleased()
    {
        assign(0, "p1", false);
        assign(1, "p2", true);
        CPPUNIT_ASSERT_EQUAL(1, assign(1, "p3", false).refused_size());
        CPPUNIT_ASSERT_EQUAL(2, m_machine.group("a")->holders_size());
        snapshotAndRestore();
        wire::ConfigCommand command;
        auto &release = *command.mutable_release_holder();
        release.set_group("a");
        release.set_proxy("p1");
        release.set_incarnation(1);
        release.set_owner_epoch(1);
        CPPUNIT_ASSERT_EQUAL(wire::ACCEPTED, m_machine.applyCommand(++m_index, command).status());
        CPPUNIT_ASSERT_EQUAL(std::string("p2"), m_machine.group("a")->holders(0).proxy());
    }

    // Guards against a half-read snapshot that replaces good state.
    void truncatedSnapshotLeavesStateUnchanged()
    {
        put("1", 0, "{\"databases_expected\":3}");
        auto bytes = m_machine.snapshot();
        bytes.resize(bytes.size() - 3);
        CPPUNIT_ASSERT(!m_machine.restore(bytes));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_machine.version());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigMachineTest);
