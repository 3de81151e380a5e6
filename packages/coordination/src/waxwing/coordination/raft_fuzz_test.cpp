#include "property.h"

#include <waxwing/coordination/log_membership.h>
#include <waxwing/coordination/raft_node.h>
#include <waxwing/coordination/raft_replay.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

using namespace waxwing;

namespace
{

constexpr TimePoint start {1000s};
constexpr int memberCount = 3;
constexpr int stepCount = 60;

std::string mutate(std::string bytes, Random &random)
{
    for (auto changes = random.between(1, 4); changes > 0 && !bytes.empty(); --changes) {
        const auto position = random.between(0, bytes.size() - 1);
        switch (random.between(0, 3)) {
        case 0:
            bytes[position] = static_cast<char>(random.between(0, 255));
            break;
        case 1:
            bytes.erase(position, random.between(1, 8));
            break;
        case 2:
            bytes.insert(position, bytes.substr(random.between(0, bytes.size() - 1), 8));
            break;
        default:
            bytes[position] = static_cast<char>(bytes[position] ^ (1 << random.between(0, 7)));
            break;
        }
    }
    return bytes;
}

/// Cluster whose writes are durable at once and whose messages arrive in order, some of them damaged.
class ClusterWithDamagedMessages
{
public:
    explicit ClusterWithDamagedMessages(std::uint64_t seed)
        : m_random(seed)
    {
        RaftOptions options;
        options.retainedEntries = 2;
        options.snapshotChunkBytes = 16;
        wire::RaftMembership membership;
        for (MemberId id = 1; id <= memberCount; ++id) {
            m_nodes.emplace_back(id, options, RaftStoredState(), seed, start);
            auto &member = *membership.add_members();
            member.set_id(id);
            member.set_voter(true);
        }
        m_nodes.front().bootstrap(m_now, membership);
    }

    void run()
    {
        for (int step = 0; step < stepCount; ++step) {
            m_now += 40ms;
            for (auto &node : m_nodes) {
                node.tick(m_now);
                node.propose("command");
                if (node.commitIndex() > node.snapshotIndex() + 5) {
                    node.compact(node.commitIndex(), "state");
                }
                processOutput(node);
            }
            deliver();
        }
    }

private:
    void processOutput(RaftNode &node)
    {
        for (auto output = node.takeOutput(m_now); !output.messages.empty() || !output.writes.empty(); output = node.takeOutput(m_now)) {
            for (const auto &message : output.messages) {
                m_packets.push_back(message.SerializeAsString());
            }
            if (!output.writes.empty()) {
                node.stored(m_now, output.writes.back().sequence);
            }
        }
        RC_ASSERT(node.commitIndex() <= node.log().lastIndex());
        RC_ASSERT(node.commitIndex() >= node.log().baseIndex());
    }

    void deliver()
    {
        for (auto remaining = m_packets.size(); remaining > 0; --remaining) {
            auto bytes = std::move(m_packets.front());
            m_packets.pop_front();
            wire::RaftMessage message;
            if (m_random.chance(0.2)) {
                bytes = mutate(std::move(bytes), m_random);
            }
            if (message.ParseFromString(bytes) && message.to() >= 1 && message.to() <= memberCount) {
                auto &node = m_nodes[message.to() - 1];
                node.receive(m_now, message);
                processOutput(node);
            }
        }
    }

    Random m_random;
    TimePoint m_now = start;
    std::deque<RaftNode> m_nodes;
    std::deque<std::string> m_packets;
};

} // namespace

class RaftFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftFuzzTest);
    CPPUNIT_TEST(damagedMessagesAreHarmless);
    CPPUNIT_TEST(damagedRecordsAreHarmless);
    CPPUNIT_TEST(damagedSnapshotsAreHarmless);
    CPPUNIT_TEST(damagedJoinPacketsAreHarmless);
    CPPUNIT_TEST(entryWithoutIndexIsNamed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a crash, or a commit index outside the log, caused by a damaged message.
    void damagedMessagesAreHarmless()
    {
        checkProperty("damaged messages", [](std::uint64_t seed) { ClusterWithDamagedMessages(seed).run(); });
    }

    // Guards against a crash at start caused by a record with a valid checksum and inconsistent content.
    void damagedRecordsAreHarmless()
    {
        checkProperty("damaged records", [](std::uint64_t seed) {
            Random random(seed);
            RaftReplay replay;
            for (LogIndex index = 1; index < 40; ++index) {
                wire::RaftRecord record;
                if (random.chance(0.1)) {
                    record.mutable_reset()->set_index(index);
                } else {
                    record.mutable_entry()->set_index(index);
                    record.mutable_entry()->set_term(index / 10);
                }
                const auto bytes = record.SerializeAsString();
                replay.add(random.chance(0.1) ? mutate(bytes, random) : bytes);
            }
            RaftStoredState state;
            std::optional<RaftSnapshot> snapshot;
            if (random.chance(0.5)) {
                snapshot = makeRaftSnapshot(random.between(1, 60), random.between(0, 4), {}, "state");
            }
            const auto base = snapshot ? snapshot->index : 0;
            if (replay.finish(std::move(snapshot), state)) {
                RC_ASSERT((state.snapshot ? state.snapshot->index : 0) == base);
            } else {
                RC_ASSERT(!replay.problem().empty());
            }
        });
    }

    // Guards against an error message that names an entry which no log has, so that an operator looks for the wrong damage.
    void entryWithoutIndexIsNamed()
    {
        wire::RaftRecord record;
        record.mutable_entry()->set_term(1);
        for (const bool isFirst : {true, false}) {
            RaftReplay replay;
            if (!isFirst) {
                wire::RaftRecord before;
                before.mutable_entry()->set_index(1);
                replay.add(before.SerializeAsString());
            }
            replay.add(record.SerializeAsString());
            CPPUNIT_ASSERT_EQUAL(std::string("found entry 0, but the first entry of a log has index 1"), replay.problem());
        }
    }

    // Guards against a crash caused by a snapshot with a valid checksum and damaged content.
    void damagedSnapshotsAreHarmless()
    {
        checkProperty("damaged snapshots", [](std::uint64_t seed) {
            Random random(seed);
            wire::RaftMembership membership;
            membership.add_members()->set_address("a");
            const auto snapshot = makeRaftSnapshot(5, 2, membership, "state");
            RC_ASSERT(decodeRaftSnapshot(snapshot.encoded).has_value());
            const auto damaged = decodeRaftSnapshot(mutate(snapshot.encoded, random));
            RC_ASSERT(!damaged || damaged->index > 0);
        });
    }

    // Guards against a crash, or a first membership that lacks initial addresses, caused by a damaged join packet.
    void damagedJoinPacketsAreHarmless()
    {
        checkProperty("damaged join packets", [](std::uint64_t seed) {
            Random random(seed);
            LogMembership first("a", {"a", "b"});
            LogMembership second("b", {"a", "b"});
            first.start(1);
            second.start(2);
            for (int i = 0; i < 10; ++i) {
                for (const auto &request : first.joinRequests()) {
                    wire::RaftPacket packet;
                    if (!packet.ParseFromString(mutate(request.packet.SerializeAsString(), random))) {
                        continue;
                    }
                    for (const auto &reply : second.receive(packet, {}, true)) {
                        if (packet.ParseFromString(mutate(reply.packet.SerializeAsString(), random))) {
                            first.receive(packet, {}, true);
                        }
                    }
                }
            }
            if (first.canBootstrap()) {
                RC_ASSERT(first.initialMembership().members().size() == 2);
                RC_ASSERT(isVoter(first.initialMembership(), 1));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftFuzzTest);
