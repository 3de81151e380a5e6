#include "log_simulation.h"

#include "simulated_member.h"

#include <waxwing/support/identifier.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/random.h>

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>
#include <queue>
#include <set>
#include <stdexcept>

namespace waxwing
{

namespace
{

constexpr std::int64_t millisecond = 1'000'000;
constexpr std::int64_t drainTime = 1'000 * millisecond; // of a process that stops as planned
constexpr std::int64_t faultPhase = 12'000 * millisecond;
constexpr std::int64_t recoveryPhase = 8'000 * millisecond; ///< time for progress after the last fault
constexpr std::int64_t membershipPhase = 5'000 * millisecond; ///< open logs: time after the last fault until the voters are checked
constexpr std::size_t seedCount = 3; ///< open logs: members that form the log
constexpr std::int64_t clockBase = 1'000'000'000 * millisecond;
constexpr std::size_t logComparisonInterval = 500; ///< events

struct Violation : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

struct Event
{
    std::int64_t time = 0;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const Event &other) const
    {
        return std::pair(time, order) > std::pair(other.time, other.order);
    }
};

struct CommittedEntry
{
    LogTerm term = 0;
    std::uint64_t hash = 0;
    std::uint64_t stateHash = 0;
    LogTerm commitTerm = 0; ///< term of the leader that committed it
};

std::uint64_t entryHash(const RaftEntry &entry)
{
    return XXH64(entry.data.data(), entry.data.size(), entry.term * 4 + static_cast<std::uint64_t>(entry.kind));
}

std::uint64_t joinHash(std::uint64_t state, std::uint64_t entry)
{
    const std::uint64_t values[] = {state, entry};
    return XXH64(values, sizeof(values), 0);
}

class LogSimulation
{
public:
    explicit LogSimulation(const LogSimulationOptions &options)
        : m_random(options.seed)
        , m_trace(options.trace)
    {
        m_raft.retainedEntries = m_random.between(0, 20);
        m_raft.maxInFlightEntries = m_random.between(4, 64);
        m_raft.maxAppendBytes = m_random.between(100, 1000);
        m_raft.snapshotChunkBytes = m_random.between(20, 100);
        m_raft.maxLearnerLagEntries = m_random.between(2, 20);
        m_snapshotEvery = m_random.between(5, 60);
        m_loss = m_random.chance(0.5) ? m_random.unit() * 0.2 : 0;
        m_duplication = m_random.chance(0.5) ? m_random.unit() * 0.1 : 0;
        m_delay = m_random.between(1, 30) * millisecond;
        m_longDelay = m_random.chance(0.3) ? 0.02 : 0;
        m_faultMean = static_cast<double>(m_random.between(40, 1500) * millisecond);
        m_managed = m_random.chance(0.4);
        m_leaderCrash = m_random.chance(0.3) ? 0.3 : 0;
        m_proposalMean = static_cast<double>(m_random.between(5, 100) * millisecond);
        if (options.open) {
            m_open = true;
            m_managed = true;
            m_losses = m_random.between(1, 2);
            // The limits of the other runs are so tight that a learner may not catch up within the time that is checked.
            m_raft.retainedEntries = m_random.between(200, 1000);
            m_raft.snapshotChunkBytes = m_random.between(100, 400);
            m_raft.maxInFlightEntries = m_random.between(64, 512);
            m_raft.maxLearnerLagEntries = RaftOptions().maxLearnerLagEntries;
        }
    }

    LogSimulationResult run()
    {
        try {
            begin();
            runUntil(faultPhase);
            m_faults = false;
            heal();
            if (m_open) {
                runUntil(faultPhase + membershipPhase);
                checkVoters();
                m_settled = true;
            }
            runUntil(faultPhase + recoveryPhase);
            compareLogs();
            checkProgress();
            if (m_open) {
                checkVoters();
            }
        } catch (const Violation &violation) {
            m_result.violation = "at " + std::to_string(m_now / 1000) + " us: " + violation.what();
        }
        m_result.counts["committed entries"] += m_committed.size();
        return std::move(m_result);
    }

private:
    void count(const std::string &kind)
    {
        ++m_result.counts[kind];
        trace(kind);
    }

    void trace(const std::string &text) const
    {
        if (m_trace) {
            std::fprintf(stderr, "%10lld us  %s\n", static_cast<long long>(m_now / 1000), text.c_str());
        }
    }

    void schedule(std::int64_t delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, ++m_order, std::move(run)});
    }

    void runUntil(std::int64_t end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            auto run = std::move(const_cast<Event &>(m_events.top()).run);
            m_now = m_events.top().time;
            m_events.pop();
            run();
            checkReads();
            if (++m_eventCount % logComparisonInterval == 0) {
                compareLogs();
            }
        }
        m_now = end;
    }

    // Processes

    TimePoint localTime(const SimulatedProcess &process) const
    {
        return TimePoint(Duration(clockBase + process.clockOffset + m_now + m_now / 1'000'000 * process.clockDrift));
    }

    std::int64_t simulatedTime(const SimulatedProcess &process, TimePoint local) const
    {
        const auto elapsed = local.time_since_epoch().count() - clockBase - process.clockOffset;
        return elapsed / (1'000'000 + process.clockDrift) * 1'000'000 + 2 * 1'000'000;
    }

    void begin()
    {
        const auto members = m_open ? m_random.between(seedCount, 8) : m_random.between(1, 5);
        m_members.resize(members + (m_managed ? 0 : m_random.between(0, 2)));
        wire::RaftMembership membership;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            start(i);
            if (i < members) {
                auto &member = *membership.add_members();
                member.set_id(m_members[i].id);
                member.set_voter(true);
            }
        }
        if (!m_managed) {
            auto &first = *m_members[0].process;
            first.node->bootstrap(localTime(first), membership);
            pump(0);
        }
        scheduleProposal();
        scheduleFault();
    }

    void start(std::size_t place)
    {
        auto &member = m_members[place];
        if (member.process || member.gone) {
            return;
        }
        if (m_now > 0 && m_faults && m_random.chance(0.1)) {
            member.disk->operationsUntilStop = m_random.between(0, 12);
        }
        auto store = RaftStore<MemoryFileSystem>::open(MemoryFileSystem(*member.disk), "data/log", [this] { return ++m_lastId; });
        const bool stopped = member.disk->operationsUntilStop == 0U;
        member.disk->operationsUntilStop.reset();
        if (!store && stopped) {
            count("end during start");
            if (m_random.chance(0.5)) {
                dropUnsynced(place);
            }
            schedule(10 * millisecond, [this, place] { start(place); });
            return;
        }
        if (!store && store.error().code != StateErrorCode::Corrupt && (member.disk->failSync || member.disk->bytesLeft)) {
            count("disk error at start");
            dropUnsynced(place);
            schedule(100 * millisecond, [this, place] { start(place); });
            return;
        }
        if (!store) {
            for (const auto &[name, content] : member.disk->names) {
                trace(name + ": " + std::to_string(content->bytes.size()) + " bytes, " + std::to_string(content->synced.size()) + " synced");
            }
            throw Violation("member " + std::to_string(place) + " can't start: " + store.error().message);
        }
        auto process = std::make_unique<SimulatedProcess>();
        process->number = ++m_lastProcess;
        process->store = std::move(store).value();
        process->clockOffset = static_cast<std::int64_t>(m_random.between(0, 1'000'000)) * millisecond;
        process->clockDrift = static_cast<std::int64_t>(m_random.between(0, 60'000)) - 30'000;
        member.id = process->store->id();
        if (process->store->truncatedBytes() != 0) {
            count("torn tail");
        }
        process->node.emplace(member.id, m_raft, process->store->takeState(), m_random.between(0, UINT64_MAX), localTime(*process));
        if (m_managed) {
            std::vector<std::string> addresses;
            for (std::size_t i = 0; i < m_members.size() && (!m_open || addresses.size() < seedCount); ++i) {
                if (!m_members[i].gone) {
                    addresses.push_back(std::to_string(i));
                }
            }
            LogMembership::Options rules;
            rules.open = m_open;
            rules.mayBootstrap = !m_open || m_committedMembershipIndex == 0;
            rules.lossesToBear = m_losses;
            process->membership.emplace(std::to_string(place), addresses, rules);
            process->membership->start(member.id);
        }
        const auto number = process->number;
        member.process = std::move(process);
        if (m_managed) {
            upkeep(place, number);
        }
        trace("start member " + std::to_string(place) + " id " + std::to_string(member.id));
        pump(place);
    }

    /// Ends a process at any step of its disk; a crash of the machine also drops what was not synced.
    void crash(std::size_t place, bool machine = true)
    {
        auto &member = m_members[place];
        if (!member.process) {
            return;
        }
        trace("crash member " + std::to_string(place));
        auto &process = *member.process;
        const bool failed = process.node->hasFailed();
        if (!process.group.empty() && !failed) {
            // The disk was in the middle of a group: some of its syncs were finished, the rest is lost or torn.
            member.disk->operationsUntilStop = m_random.between(0, 20);
            StateResult<void> result = boost::outcome_v2::success();
            for (auto write = process.group.begin(); result && write != process.group.end(); ++write) {
                result = process.store->add(*write);
            }
            if (result) {
                (void)process.store->sync();
            }
        }
        member.process.reset();
        member.disk->operationsUntilStop.reset();
        if (machine || failed) {
            dropUnsynced(place);
        }
    }

    /// Ends the armed disk errors, too.
    void dropUnsynced(std::size_t place)
    {
        auto &disk = *m_members[place].disk;
        disk.failSync = false;
        disk.bytesLeft.reset();
        disk.crash([this](std::string &tail) {
            tail.resize(m_random.between(0, tail.size()));
            if (!tail.empty() && m_random.chance(0.3)) {
                tail[m_random.between(0, tail.size() - 1)] ^= 0x10;
            }
        });
    }

    /// Runs a step of a process unless it ended meanwhile; a paused process runs it later.
    void onProcess(std::size_t place, std::uint64_t number, const std::function<void(SimulatedProcess &)> &step)
    {
        auto &process = m_members[place].process;
        if (!process || process->number != number) {
            return;
        }
        if (process->pausedUntil > m_now) {
            schedule(process->pausedUntil - m_now, [this, place, number, step] { onProcess(place, number, step); });
            return;
        }
        step(*process);
        pump(place);
    }

    void pump(std::size_t place)
    {
        auto &process = *m_members[place].process;
        auto &node = *process.node;
        const auto now = localTime(process);
        node.tick(now);
        auto output = node.takeOutput(now);
        for (auto &message : output.messages) {
            deliver(place, std::move(message));
        }
        for (auto &write : output.writes) {
            process.writes.push_back(std::move(write));
        }
        startDisk(place);
        restore(process, output.restore);
        applyCommitted(process);
        noteLeadership(place, process);
        if (process.applied >= node.snapshotIndex() + m_snapshotEvery && !node.isCompacting() && !node.hasFailed()) {
            std::string state(sizeof(process.stateHash), '\0');
            std::memcpy(state.data(), &process.stateHash, sizeof(process.stateHash));
            state.resize(state.size() + m_random.between(0, 300), 'x');
            node.compact(process.applied, std::move(state));
            count("snapshot");
            pump(place);
            return;
        }
        scheduleWake(place, process);
    }

    void scheduleWake(std::size_t place, SimulatedProcess &process)
    {
        if (process.node->deadline() == TimePoint::max()) {
            return;
        }
        const auto time = std::max(m_now + 1, simulatedTime(process, process.node->deadline()));
        if (process.wake >= 0 && process.wake <= time) {
            return;
        }
        process.wake = time;
        schedule(time - m_now, [this, place, number = process.number, time] {
            onProcess(place, number, [time](SimulatedProcess &running) {
                if (running.wake == time) {
                    running.wake = -1;
                }
            });
        });
    }

    void startDisk(std::size_t place)
    {
        auto &process = *m_members[place].process;
        if (!process.group.empty() || process.writes.empty()) {
            return;
        }
        process.group.assign(std::make_move_iterator(process.writes.begin()), std::make_move_iterator(process.writes.end()));
        process.writes.clear();
        auto delay = static_cast<std::int64_t>(m_random.between(100, 8'000)) * 1000;
        if (m_faults && m_random.chance(0.005)) {
            delay = static_cast<std::int64_t>(m_random.between(100, 1500)) * millisecond;
            count("slow disk");
        }
        schedule(delay, [this, place, number = process.number] { finishDisk(place, number); });
    }

    void finishDisk(std::size_t place, std::uint64_t number)
    {
        auto &running = m_members[place].process;
        if (!running || running->number != number) {
            return;
        }
        StateResult<void> result = boost::outcome_v2::success();
        std::uint64_t sequence = 0;
        for (const auto &write : running->group) {
            sequence = write.sequence;
            if (result) {
                result = running->store->add(write);
            }
        }
        if (result) {
            result = running->store->sync();
        }
        if (!result) {
            count("disk error");
            running->node->fail();
            schedule(20 * millisecond, [this, place, number] {
                if (m_members[place].process && m_members[place].process->number == number) {
                    crash(place);
                    schedule(100 * millisecond, [this, place] { start(place); });
                }
            });
            return;
        }
        running->group.clear();
        onProcess(place, number, [sequence, this](SimulatedProcess &process) { process.node->stored(localTime(process), sequence); });
        if (running) {
            startDisk(place);
        }
    }

    /// The same steps as LogHost::maintainMembership().
    void upkeep(std::size_t place, std::uint64_t number)
    {
        onProcess(place, number, [this, place](SimulatedProcess &process) {
            auto &node = *process.node;
            auto &membership = *process.membership;
            const auto now = localTime(process);
            for (auto &request : membership.leaveRequests(node.log().membership())) {
                deliverJoin(std::move(request));
            }
            if (isEmpty(node) && membership.canBootstrap()) {
                count("new log formed");
                node.bootstrap(now, membership.initialMembership());
            } else if (membership.shouldJoin(node.log().membership(), node.leader() != 0)) {
                for (auto &request : membership.joinRequests()) {
                    deliverJoin(std::move(request));
                }
            } else if (node.role() == RaftNode::Role::Leader) {
                LogIndex index = 0;
                const auto change = membership.nextChange(
                    node.log().membership(), [&](MemberId id) { return node.isCaughtUp(now, id); }, [&](MemberId id) { return node.isActive(now, id); }, now);
                if (change && node.changeMembership(now, *change, index) == RaftChangeError::None) {
                    count("managed membership change " + std::to_string(static_cast<int>(change->kind)));
                    trace(std::string(raftChangeKindName(change->kind)) + " id " + std::to_string(change->id) + " at index " + std::to_string(index));
                    noteManagedChange(place, *change);
                }
            }
        });
        if (m_members[place].process && m_members[place].process->number == number) {
            schedule(200 * millisecond, [this, place, number] { upkeep(place, number); });
        }
    }

    void noteManagedChange(std::size_t leader, const RaftMembershipChange &change)
    {
        if (m_settled) {
            throw Violation("membership: a change was started although nothing had happened for " + std::to_string(membershipPhase / millisecond) + " ms");
        }
        if (!m_open || !m_faults || !m_random.chance(0.15)) {
            return;
        }
        const auto changed = std::find_if(m_members.begin(), m_members.end(), [&change](const auto &member) { return member.id == change.id; });
        const auto place = changed == m_members.end() || m_random.chance(0.4) ? leader : static_cast<std::size_t>(changed - m_members.begin());
        schedule(static_cast<std::int64_t>(m_random.between(0, 60)) * millisecond, [this, place] {
            if (m_faults && m_random.chance(0.4)) {
                loseDisk(place);
            } else if (m_faults) {
                stopForSeconds(place, "kill during a membership change");
            }
        });
    }

    static bool isEmpty(const RaftNode &node)
    {
        return node.term() == 0 && node.log().lastIndex() == 0;
    }

    void deliverJoin(LogMembership::AddressedPacket packet)
    {
        const auto place = std::stoul(packet.address);
        const auto from = std::stoul(packet.packet.from_address());
        if (m_faults && (m_cut.contains({from, place}) || m_random.chance(m_loss))) {
            return;
        }
        auto delay = static_cast<std::int64_t>(m_random.between(50'000, static_cast<std::uint64_t>(m_delay)));
        if (m_faults && m_random.chance(m_longDelay)) {
            delay = latePacketDelay(delay);
        }
        schedule(delay, [this, place, packet = std::move(packet.packet)] {
            if (m_members[place].process) {
                onProcess(place, m_members[place].process->number, [this, packet](SimulatedProcess &process) {
                    for (auto &reply : process.membership->receive(packet, process.node->log().membership(), isEmpty(*process.node), localTime(process))) {
                        deliverJoin(std::move(reply));
                    }
                });
            }
        });
    }

    // Network

    /// In open logs a late packet counts as a fault, so that it arrives before the faults end.
    std::int64_t latePacketDelay(std::int64_t delay)
    {
        const auto late = delay + static_cast<std::int64_t>(m_random.between(50, 3000)) * millisecond;
        return m_open ? std::max(delay, std::min(late, faultPhase - m_now)) : late;
    }

    void deliver(std::size_t from, wire::RaftMessage message)
    {
        const auto target = std::find_if(m_members.begin(), m_members.end(), [&message](const auto &member) { return member.id == message.to(); });
        if (target == m_members.end()) {
            return;
        }
        const auto place = static_cast<std::size_t>(target - m_members.begin());
        if (m_faults && (m_cut.contains({from, place}) || m_random.chance(m_loss))) {
            return;
        }
        const int copies = m_faults && m_random.chance(m_duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            auto delay = static_cast<std::int64_t>(m_random.between(50'000, static_cast<std::uint64_t>(m_delay)));
            if (m_faults && m_random.chance(m_longDelay)) {
                delay = latePacketDelay(delay);
            }
            schedule(delay, [this, place, message] { arrive(place, message); });
        }
    }

    void arrive(std::size_t place, const wire::RaftMessage &message)
    {
        if (m_members[place].process) {
            onProcess(place, m_members[place].process->number,
                      [this, message](SimulatedProcess &process) { process.node->receive(localTime(process), message); });
        }
    }

    // State machine

    void restore(SimulatedProcess &process, const std::shared_ptr<const RaftSnapshot> &snapshot)
    {
        if (!snapshot) {
            return;
        }
        wire::RaftSnapshot message;
        if (!message.ParseFromString(snapshot->encoded) || message.state().size() < sizeof(process.stateHash)) {
            throw Violation("a snapshot is not readable");
        }
        std::memcpy(&process.stateHash, message.state().data(), sizeof(process.stateHash));
        if (snapshot->index < process.applied) {
            throw Violation("a snapshot reverts the state machine");
        }
        process.applied = snapshot->index;
        if (snapshot->index > m_committed.size() || m_committed[snapshot->index - 1].stateHash != process.stateHash) {
            throw Violation("state machine safety: a snapshot differs from the committed entries");
        }
        ++m_result.counts["restored snapshot"];
    }

    void applyCommitted(SimulatedProcess &process)
    {
        auto &node = *process.node;
        const bool leads = node.role() == RaftNode::Role::Leader;
        while (process.applied < node.commitIndex()) {
            const auto index = ++process.applied;
            const auto &entry = node.log().at(index);
            const auto hash = entryHash(entry);
            process.stateHash = joinHash(process.stateHash, hash);
            if (index > m_committed.size()) {
                m_committed.push_back({entry.term, hash, process.stateHash, node.term()});
            } else if (m_committed[index - 1].term != entry.term || m_committed[index - 1].hash != hash) {
                throw Violation("state machine safety: two members applied different entries at index " + std::to_string(index));
            }
            if (entry.kind == wire::RAFT_ENTRY_KIND_MEMBERSHIP && index > m_committedMembershipIndex) {
                m_committedMembershipIndex = index;
                m_committedMembership.ParseFromString(entry.data);
            }
            const auto proposal = process.proposals.find(index);
            if (leads && proposal != process.proposals.end() && proposal->second == node.term()) {
                m_acknowledged = std::max(m_acknowledged, index);
                ++m_result.counts["acknowledged command"];
            }
            process.proposals.erase(index);
        }
        if (!leads) {
            process.proposals.clear();
        }
    }

    // Checks

    void noteLeadership(std::size_t place, SimulatedProcess &process)
    {
        auto &node = *process.node;
        if (node.role() != RaftNode::Role::Leader || process.leaderTerm == node.term()) {
            return;
        }
        process.leaderTerm = node.term();
        count("election");
        trace("member " + std::to_string(place) + " leads term " + std::to_string(node.term()));
        if (m_faults && m_random.chance(m_leaderCrash)) {
            schedule(static_cast<std::int64_t>(m_random.between(0, 60)) * millisecond, [this, place] { crashAndRestart(place, "crash of new leader"); });
        }
        const auto [known, inserted] = m_leaders.emplace(node.term(), node.id());
        if (!inserted) {
            throw Violation("election safety: two leaders in term " + std::to_string(node.term()));
        }
        for (LogIndex index = std::max<LogIndex>(node.log().baseIndex(), 1); index <= m_committed.size(); ++index) {
            // A paused member can still become leader of an old term; only leaders of later terms must hold the entry.
            if (m_committed[index - 1].commitTerm < node.term() && node.log().termAt(index) != m_committed[index - 1].term) {
                throw Violation("leader completeness: the leader of term " + std::to_string(node.term()) + " lacks entry " + std::to_string(index));
            }
        }
    }

    void checkReads()
    {
        for (const auto &member : m_members) {
            const auto &process = member.process;
            if (process && process->pausedUntil <= m_now && process->node->role() == RaftNode::Role::Leader && process->node->canRead(localTime(*process))) {
                ++m_result.counts["read check"];
                if (process->applied < m_acknowledged) {
                    throw Violation("stale read: member " + std::to_string(member.id) + " holds a lease but lacks entry " + std::to_string(m_acknowledged));
                }
            }
        }
    }

    void compareLogs() const
    {
        for (std::size_t a = 0; a < m_members.size(); ++a) {
            for (std::size_t b = a + 1; b < m_members.size(); ++b) {
                if (m_members[a].process && m_members[b].process) {
                    compareLogs(m_members[a].process->node->log(), m_members[b].process->node->log());
                }
            }
        }
    }

    static void compareLogs(const RaftLog &a, const RaftLog &b)
    {
        const auto base = std::max(a.baseIndex(), b.baseIndex());
        auto index = std::min(a.lastIndex(), b.lastIndex());
        while (index > base && a.at(index).term != b.at(index).term) {
            --index;
        }
        for (; index > base; --index) {
            if (entryHash(a.at(index)) != entryHash(b.at(index))) {
                throw Violation("log matching: two logs agree on the term of a later entry but differ at index " + std::to_string(index));
            }
        }
    }

    bool hasLivingMajority(const wire::RaftMembership &membership) const
    {
        const auto living = std::count_if(membership.members().begin(), membership.members().end(), [this](const auto &member) {
            return member.voter() && std::any_of(m_members.begin(), m_members.end(), [&member](const auto &place) { return place.id == member.id(); });
        });
        return static_cast<std::size_t>(living) > voterCount(membership) / 2;
    }

    bool hasOnlyPresentMembers(const wire::RaftMembership &membership) const
    {
        return std::all_of(membership.members().begin(), membership.members().end(), [this](const auto &member) {
            return std::any_of(m_members.begin(), m_members.end(), [&member](const auto &place) { return place.id == member.id(); });
        });
    }

    bool isRunning(MemberId id) const
    {
        return std::any_of(m_members.begin(), m_members.end(), [id](const auto &member) { return member.id == id && member.process; });
    }

    std::size_t runningVoters(const wire::RaftMembership &membership) const
    {
        return static_cast<std::size_t>(std::count_if(membership.members().begin(), membership.members().end(),
                                                      [this](const auto &member) { return member.voter() && isRunning(member.id()); }));
    }

    /// @param added voters that may be added although they don't run
    bool hasRunningMajority(std::size_t added = 0) const
    {
        const auto holds = [&](const wire::RaftMembership &membership) {
            return runningVoters(membership) > (voterCount(membership) + added) / 2;
        };
        return m_committedMembershipIndex != 0 && holds(m_committedMembership) && std::all_of(m_members.begin(), m_members.end(), [&](const auto &member) {
                   return !member.process || member.process->node->log().lastIndex() == 0 || holds(member.process->node->log().membership());
               });
    }

    std::vector<SimulatedMember>::const_iterator readyLeader() const
    {
        return std::find_if(m_members.begin(), m_members.end(), [this](const auto &member) {
            return member.process && member.process->node->role() == RaftNode::Role::Leader && member.process->node->canRead(localTime(*member.process));
        });
    }

    /// Open logs: the number of voters is the largest odd one, up to the one that bears the required losses, that the running
    /// members allow. Voters that don't run stay where no running member can replace them.
    void checkVoters()
    {
        if (!m_majorityRuns) {
            return;
        }
        const auto leader = readyLeader();
        if (leader == m_members.end()) {
            traceMembers();
            throw Violation("membership: no leader with a lease");
        }
        const auto &membership = leader->process->node->log().membership();
        const auto wanted = 2 * m_losses + 1;
        const auto voters = voterCount(membership);
        const auto running
            = static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [](const auto &member) { return member.process != nullptr; }));
        const auto votersThatRun = runningVoters(membership);
        const bool everyoneVotes = votersThatRun == running && (voters % 2 == 1 || voters == running);
        const bool largest = votersThatRun == voters && voters % 2 == 1 && (voters == wanted || running == voters + 1);
        if (voters > wanted || (!everyoneVotes && !largest) || (running >= wanted && votersThatRun != wanted)) {
            traceMembers();
            throw Violation("membership: " + std::to_string(votersThatRun) + " of " + std::to_string(voters) + " voters run, " + std::to_string(running)
                            + " members run, and " + std::to_string(wanted) + " voters are wanted");
        }
        count(running >= wanted ? "enough members at the end" : "too few members at the end");
    }

    void traceMembers() const
    {
        for (const auto &member : m_members) {
            if (!member.process) {
                continue;
            }
            const auto &node = *member.process->node;
            trace("member id " + std::to_string(member.id) + " role " + std::to_string(static_cast<int>(node.role())) + " term " + std::to_string(node.term())
                  + " last " + std::to_string(node.log().lastIndex()) + "/" + std::to_string(node.log().lastTerm()) + " commit "
                  + std::to_string(node.commitIndex()) + (node.hasFailed() ? " failed" : "") + " membership at " + std::to_string(node.log().membershipIndex())
                  + ": " + node.log().membership().ShortDebugString());
        }
    }

    void checkProgress()
    {
        bool expected = m_managed || (m_committedMembershipIndex != 0 && hasLivingMajority(m_committedMembership));
        expected = expected && (!m_open || m_majorityRuns);
        LogIndex last = 0;
        for (const auto &member : m_members) {
            expected
                = expected && (!member.process || hasLivingMajority(member.process->node->log().membership()) || member.process->node->log().lastIndex() == 0);
        }
        if (!expected) {
            count("majority lost for good");
            return;
        }
        const auto leader = readyLeader();
        if (leader == m_members.end()) {
            traceMembers();
            throw Violation("progress: no leader with a lease after all faults have ended");
        }
        if (m_managed && !m_open
            && (voterCount(leader->process->node->log().membership()) != m_members.size()
                || !hasOnlyPresentMembers(leader->process->node->log().membership()))) {
            traceMembers();
            throw Violation("progress: the members with lost disks were not replaced");
        }
        last = leader->process->node->commitIndex();
        for (const auto &member : m_members) {
            // Entries of the last moments may still be on their way.
            if (member.process && findMember(leader->process->node->log().membership(), member.id) != nullptr
                && member.process->applied + m_raft.maxInFlightEntries + 200 < last) {
                throw Violation("progress: member " + std::to_string(member.id) + " is still behind");
            }
        }
    }

    // Load and faults

    void scheduleProposal()
    {
        schedule(static_cast<std::int64_t>(m_random.exponential(m_proposalMean)) + 1, [this] {
            const auto place = m_random.between(0, m_members.size() - 1);
            if (const auto &process = m_members[place].process) {
                onProcess(place, process->number, [this](SimulatedProcess &running) {
                    const auto index = running.node->propose("command " + std::to_string(++m_lastCommand) + std::string(m_random.between(0, 60), '.'));
                    if (index) {
                        running.proposals[*index] = running.node->term();
                    }
                });
            }
            scheduleProposal();
        });
    }

    void scheduleFault()
    {
        schedule(static_cast<std::int64_t>(m_random.exponential(m_faultMean)) + 1, [this] {
            if (m_faults) {
                if (m_open) {
                    injectOpenFault();
                } else {
                    injectFault();
                }
                scheduleFault();
            }
        });
    }

    void injectFault()
    {
        const auto place = m_random.between(0, m_members.size() - 1);
        auto &member = m_members[place];
        switch (m_random.between(0, 11)) {
        case 0:
        case 1:
            crashAndRestart(place, "crash");
            break;
        case 2:
            for (std::size_t i = 0; i < m_members.size(); ++i) {
                crashAndRestart(i, "crash of all");
            }
            break;
        case 3:
            loseDisk(place);
            break;
        case 4:
        case 5:
            cutNetwork();
            break;
        case 6:
            if (member.process) {
                count("pause");
                member.process->pausedUntil = m_now + static_cast<std::int64_t>(m_random.between(10, 1500)) * millisecond;
            }
            break;
        case 7:
            if (m_random.chance(0.5)) {
                count("fsync error armed");
                member.disk->failSync = true;
            } else {
                count("disk full armed");
                member.disk->bytesLeft = m_random.between(0, 2000);
            }
            break;
        default:
            if (!m_managed) {
                changeMembership();
            }
            break;
        }
    }

    /// Kills, wipes, replaces and cuts off members of an open log.
    void injectOpenFault()
    {
        const auto place = m_random.between(0, m_members.size() - 1);
        switch (m_random.between(0, 12)) {
        case 11:
        case 12:
            stopAsPlanned(place);
            break;
        case 0:
        case 1:
        case 2:
            stopForSeconds(place, "kill");
            break;
        case 3:
            stopForSeconds(place, "kill of two");
            stopForSeconds(m_random.between(0, m_members.size() - 1), "kill of two");
            break;
        case 4:
        case 5:
            loseDisk(place);
            break;
        case 6:
            replace(place);
            break;
        case 7:
            for (std::size_t i = 0; i < m_members.size(); ++i) {
                crashAndRestart(i, "crash of all");
            }
            break;
        case 8:
            cutNetwork();
            break;
        case 9:
            if (m_members[place].process) {
                count("pause");
                m_members[place].process->pausedUntil = std::min(faultPhase, m_now + static_cast<std::int64_t>(m_random.between(10, 3000)) * millisecond);
            }
            break;
        default:
            crashAndRestart(place, "crash");
            break;
        }
    }

    void stopForSeconds(std::size_t place, const std::string &kind)
    {
        count(kind);
        crash(place, m_random.chance(0.5));
        schedule(static_cast<std::int64_t>(m_random.between(1, 6000)) * millisecond, [this, place] { start(place); });
    }

    /// A member announces its stop, and ends a second later for some seconds or for good.
    void stopAsPlanned(std::size_t place)
    {
        if (!m_members[place].process || m_now + drainTime >= faultPhase) {
            return;
        }
        count("planned stop");
        const auto number = m_members[place].process->number;
        m_members[place].process->membership->leave();
        schedule(drainTime, [this, place, number] {
            if (!m_members[place].process || m_members[place].process->number != number) {
                return;
            }
            if (m_random.chance(0.3) && mayLoseDisk(place)) {
                replace(place);
            } else {
                stopForSeconds(place, "end of a planned stop");
            }
        });
    }

    /// A member at a new address and with an empty disk takes the place of another one.
    void replace(std::size_t place)
    {
        if (!mayLoseDisk(place)) {
            return;
        }
        count("replacement");
        m_lostDisks[m_members[place].id] = m_now;
        crash(place);
        m_members[place].id = 0;
        m_members[place].gone = true;
        m_members.emplace_back();
        schedule(static_cast<std::int64_t>(m_random.between(1, 1000)) * millisecond, [this, added = m_members.size() - 1] { start(added); });
    }

    void crashAndRestart(std::size_t place, const std::string &kind)
    {
        count(kind);
        crash(place, m_random.chance(0.5));
        const auto longest = m_random.chance(0.5) ? 20 : 1500;
        schedule(static_cast<std::int64_t>(m_random.between(1, longest)) * millisecond, [this, place] { start(place); });
    }

    /// Without a majority of the old disks the log stops for good; such runs would test little.
    bool mayLoseDisk(std::size_t place)
    {
        const auto id = m_members[place].id;
        m_members[place].id = 0;
        bool majority = m_committedMembershipIndex != 0 && hasLivingMajority(m_committedMembership);
        for (const auto &member : m_members) {
            // A member that voted before the first membership reached it can neither form nor join a log on its own.
            majority = majority && (!m_managed || !member.process || member.process->node->log().lastIndex() != 0);
            majority
                = majority && (!member.process || member.process->node->log().lastIndex() == 0 || hasLivingMajority(member.process->node->log().membership()));
        }
        m_members[place].id = id;
        return majority && !m_members[place].gone && (!m_open || lostDisks() < std::min(m_losses, (voterCount(m_committedMembership) - 1) / 2));
    }

    /// Disks that were lost and count as losses that must be borne: the member that replaces them has had no time to catch up.
    std::size_t lostDisks() const
    {
        return static_cast<std::size_t>(std::count_if(m_lostDisks.begin(), m_lostDisks.end(), [this](const auto &item) {
            return m_now - item.second < membershipPhase || isVoter(m_committedMembership, item.first);
        }));
    }

    void loseDisk(std::size_t place)
    {
        if (mayLoseDisk(place)) {
            m_lostDisks[m_members[place].id] = m_now;
            crash(place);
            m_members[place].disk = std::make_unique<MemoryDisk>();
            m_members[place].id = 0;
            count("lost disk");
            schedule(static_cast<std::int64_t>(m_random.between(1, 1000)) * millisecond, [this, place] { start(place); });
        }
    }

    void cutNetwork()
    {
        if (!m_cut.empty() && m_random.chance(0.6)) {
            m_cut.clear();
            return;
        }
        count("network cut");
        if (m_random.chance(0.4)) {
            // Some links only: members that still reach others see different leaders.
            for (std::size_t a = 0; a < m_members.size(); ++a) {
                for (std::size_t b = 0; b < m_members.size(); ++b) {
                    if (a != b && m_random.chance(0.3)) {
                        m_cut.insert({a, b});
                        if (m_random.chance(0.7)) {
                            m_cut.insert({b, a});
                        }
                    }
                }
            }
            return;
        }
        const bool oneWay = m_random.chance(0.3);
        std::vector<bool> side(m_members.size());
        for (std::size_t i = 0; i < side.size(); ++i) {
            side[i] = m_random.chance(0.5);
        }
        for (std::size_t a = 0; a < side.size(); ++a) {
            for (std::size_t b = 0; b < side.size(); ++b) {
                if (side[a] != side[b] && (!oneWay || side[a])) {
                    m_cut.insert({a, b});
                }
            }
        }
    }

    void changeMembership()
    {
        for (std::size_t place = 0; place < m_members.size(); ++place) {
            auto &process = m_members[place].process;
            if (!process || process->node->role() != RaftNode::Role::Leader || process->pausedUntil > m_now) {
                continue;
            }
            onProcess(place, process->number, [this](SimulatedProcess &running) {
                const auto change = chooseChange(running.node->log().membership());
                LogIndex index = 0;
                const auto error = running.node->changeMembership(localTime(running), change, index);
                count("membership change " + std::to_string(static_cast<int>(change.kind)) + " " + std::string(raftChangeErrorName(error)));
            });
        }
    }

    RaftMembershipChange chooseChange(const wire::RaftMembership &membership)
    {
        using Kind = RaftMembershipChange::Kind;
        std::vector<RaftMembershipChange> choices;
        for (const auto &member : membership.members()) {
            const bool lost = std::none_of(m_members.begin(), m_members.end(), [&member](const auto &place) { return place.id == member.id(); });
            if (!member.voter()) {
                choices.insert(choices.end(), 3, {Kind::Promote, member.id(), {}});
            }
            choices.insert(choices.end(), lost ? 5 : 1, {Kind::Remove, member.id(), {}});
        }
        for (const auto &member : m_members) {
            if (member.id != 0 && findMember(membership, member.id) == nullptr) {
                choices.insert(choices.end(), 3, {Kind::AddLearner, member.id, {}});
            }
        }
        return choices[m_random.between(0, choices.size() - 1)];
    }

    void heal()
    {
        trace("faults end");
        m_cut.clear();
        for (std::size_t place = 0; place < m_members.size(); ++place) {
            auto &member = m_members[place];
            member.disk->failSync = false;
            member.disk->bytesLeft.reset();
            if (member.process) {
                member.process->pausedUntil = 0;
            }
            start(place);
        }
        if (m_open) {
            for (auto kept = m_random.between(0, 2); kept > 0; --kept) {
                keepStopped(m_random.between(0, m_members.size() - 1));
            }
            m_majorityRuns = hasRunningMajority(m_stoppedLearner ? 1 : 0);
        }
    }

    /// Stops a member for good unless the others would be no majority. A learner that stops may be about to become a voter.
    void keepStopped(std::size_t place)
    {
        auto &member = m_members[place];
        const auto id = std::exchange(member.id, 0);
        const bool stopsLearner = m_stoppedLearner || !isVoter(m_committedMembership, id);
        const bool possible = hasRunningMajority(stopsLearner ? 1 : 0);
        member.id = id;
        if (possible && member.process) {
            m_stoppedLearner = stopsLearner;
            count("stopped for good");
            crash(place);
            member.gone = true;
        }
    }

    Random m_random;
    bool m_trace;
    LogSimulationResult m_result;
    RaftOptions m_raft;
    LogIndex m_snapshotEvery = 0;
    double m_loss = 0;
    double m_duplication = 0;
    std::int64_t m_delay = 0;
    double m_longDelay = 0;
    double m_faultMean = 0;
    double m_proposalMean = 0;
    bool m_managed = false; ///< the members form the log and replace lost disks by LogMembership
    bool m_open = false; ///< managed runs in which members join from any address
    std::size_t m_losses = 1; ///< open only: losses of members to be borne
    std::map<MemberId, std::int64_t> m_lostDisks; ///< time of each loss, by the identity that was on the disk
    bool m_majorityRuns = false; ///< open only: a majority of the voters runs after the last fault
    bool m_stoppedLearner = false; ///< open only: a member that didn't vote was stopped for good
    bool m_settled = false; ///< open only: the voters have been checked
    double m_leaderCrash = 0; ///< probability that a new leader crashes within a few messages

    std::int64_t m_now = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_eventCount = 0;
    std::priority_queue<Event> m_events;
    bool m_faults = true;
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
    std::vector<SimulatedMember> m_members;
    MemberId m_lastId = 0;
    std::uint64_t m_lastProcess = 0;
    std::uint64_t m_lastCommand = 0;

    std::vector<CommittedEntry> m_committed;
    wire::RaftMembership m_committedMembership;
    LogIndex m_committedMembershipIndex = 0;
    LogIndex m_acknowledged = 0;
    std::map<LogTerm, MemberId> m_leaders;
};

} // namespace

LogSimulationResult simulateLog(const LogSimulationOptions &options)
{
    return LogSimulation(options).run();
}

} // namespace waxwing
