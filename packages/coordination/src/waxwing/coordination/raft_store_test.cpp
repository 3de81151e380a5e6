#include <waxwing/coordination/raft_store.h>
#include <waxwing/state/memory_file_system.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

namespace
{

using Store = RaftStore<MemoryFileSystem>;

constexpr auto dropUnsynced = [](std::string &tail) {
    tail.clear();
};

std::unique_ptr<Store> open(MemoryDisk &disk)
{
    auto store = Store::open(MemoryFileSystem(disk), "data/log", [] { return MemberId(7); });
    CPPUNIT_ASSERT_MESSAGE(store ? "" : store.error().message, store.has_value());
    return std::move(store).value();
}

RaftWrite entriesWrite(LogIndex first, std::size_t count, LogTerm term)
{
    RaftWrite write;
    write.sequence = 1;
    write.hardState.emplace();
    write.hardState->set_term(term);
    write.firstIndex = first;
    write.entries.assign(count, {term, wire::RAFT_ENTRY_KIND_COMMAND, "command"});
    return write;
}

RaftWrite snapshotWrite(LogIndex index, LogTerm term, bool reset)
{
    RaftWrite write;
    write.snapshot = std::make_shared<const RaftSnapshot>(makeRaftSnapshot(index, term, {}, "state"));
    write.reset = reset;
    return write;
}

void store(Store &target, const RaftWrite &write)
{
    CPPUNIT_ASSERT(target.add(write).has_value());
    CPPUNIT_ASSERT(target.sync().has_value());
}

} // namespace

class RaftStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftStoreTest);
    CPPUNIT_TEST(installInterruptedAtAnyStepKeepsLogReadable);
    CPPUNIT_TEST(compactionInterruptedAtAnyStepKeepsEntries);
    CPPUNIT_TEST(processEndThenMachineCrashKeepsEntries);
    CPPUNIT_TEST(firstMembershipIsStoredWholeOrNotAtAll);
    CPPUNIT_TEST(missingIdentityIsReported);
    CPPUNIT_TEST(damagedSegmentIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a log that can't be read after a crash between writing the leader's snapshot and writing the reset record,
    // when further entries were appended after the restart.
    void installInterruptedAtAnyStepKeepsLogReadable()
    {
        for (std::uint64_t operations = 0; operations < 20; ++operations) {
            MemoryDisk disk;
            auto first = open(disk);
            store(*first, entriesWrite(1, 17, 1));
            disk.operationsUntilStop = operations;
            (void)first->add(snapshotWrite(39, 2, true));
            first.reset();
            disk.crash(dropUnsynced);

            auto second = open(disk);
            const auto state = second->takeState();
            const LogIndex next = (state.snapshot ? state.snapshot->index : 0) + state.entries.size() + 1;
            CPPUNIT_ASSERT(next == 18 || next == 40);
            store(*second, entriesWrite(next, 2, 2));
            second.reset();
            disk.crash(dropUnsynced);
            CPPUNIT_ASSERT_EQUAL(std::size_t(next == 18 ? 19 : 2), open(disk)->takeState().entries.size());
        }
    }

    // Guards against the loss of entries after a snapshot when a crash interrupts the removal of old segments.
    void compactionInterruptedAtAnyStepKeepsEntries()
    {
        for (std::uint64_t operations = 0; operations < 20; ++operations) {
            MemoryDisk disk;
            auto first = open(disk);
            store(*first, entriesWrite(1, 10, 1));
            store(*first, snapshotWrite(4, 1, false));
            store(*first, entriesWrite(11, 10, 1));
            disk.operationsUntilStop = operations;
            (void)first->add(snapshotWrite(15, 1, false));
            first.reset();
            disk.crash(dropUnsynced);
            const auto state = open(disk)->takeState();
            CPPUNIT_ASSERT_EQUAL(LogIndex(20), state.snapshot->index + state.entries.size());
            CPPUNIT_ASSERT_EQUAL(LogTerm(1), LogTerm(state.hardState.term()));
        }
    }

    // Guards against lost entries when a process ends before it synced created, renamed or extended files, the next process
    // reads them and appends to them, and a crash of the VM then discards the changes that were not synced.
    void processEndThenMachineCrashKeepsEntries()
    {
        for (std::uint64_t operations = 0; operations < 20; ++operations) {
            MemoryDisk disk;
            auto first = open(disk);
            store(*first, entriesWrite(1, 17, 1));
            disk.operationsUntilStop = operations;
            (void)first->add(snapshotWrite(39, 2, true));
            first.reset();
            disk.operationsUntilStop.reset();

            auto second = open(disk);
            const auto state = second->takeState();
            const LogIndex next = (state.snapshot ? state.snapshot->index : 0) + state.entries.size() + 1;
            store(*second, entriesWrite(next, 2, 2));
            second.reset();
            disk.crash(dropUnsynced);
            const auto last = open(disk)->takeState();
            CPPUNIT_ASSERT_EQUAL(next + 1, (last.snapshot ? last.snapshot->index : 0) + last.entries.size());
        }
    }

    // Guards against a new log that is never formed because the first member crashed while it stored the first membership: with
    // a term but without members it can neither campaign nor be regarded as empty.
    void firstMembershipIsStoredWholeOrNotAtAll()
    {
        wire::RaftMembership membership;
        membership.add_members()->set_id(7);
        membership.mutable_members(0)->set_voter(true);
        for (std::size_t kept = 0; kept < 200; ++kept) {
            MemoryDisk disk;
            auto first = open(disk);
            RaftNode node(first->id(), {}, first->takeState(), 1, TimePoint(1s));
            node.bootstrap(TimePoint(1s), membership);
            disk.operationsUntilStop = 1;
            (void)first->add(node.takeOutput(TimePoint(1s)).writes.front());
            (void)first->sync();
            first.reset();
            disk.crash([kept](std::string &tail) { tail.resize(std::min(tail.size(), kept)); });
            const auto state = open(disk)->takeState();
            CPPUNIT_ASSERT(state.entries.size() == 1 || state.hardState.term() == 0);
        }
    }

    // Guards against a new identity in a folder with an old log: the member could vote a second time in the same term.
    void missingIdentityIsReported()
    {
        MemoryDisk disk;
        store(*open(disk), entriesWrite(1, 1, 1));
        disk.names.erase("data/log/identity");
        const auto result = Store::open(MemoryFileSystem(disk), "data/log");
        CPPUNIT_ASSERT(!result && result.error().code == StateErrorCode::Corrupt);
        CPPUNIT_ASSERT(result.error().message.find("data/log/identity") != std::string::npos);
    }

    // Guards against a member that starts although a damaged record has cost it durable entries.
    void damagedSegmentIsReported()
    {
        MemoryDisk disk;
        auto first = open(disk);
        store(*first, entriesWrite(1, 3, 1));
        store(*first, entriesWrite(4, 3, 1));
        disk.names.at("data/log/log-1")->bytes[30] ^= 1;
        const auto result = Store::open(MemoryFileSystem(disk), "data/log");
        CPPUNIT_ASSERT(!result && result.error().code == StateErrorCode::Corrupt);
        CPPUNIT_ASSERT_EQUAL(std::string("data/log/log-1: record at offset 0 is corrupt"), result.error().message);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftStoreTest);
