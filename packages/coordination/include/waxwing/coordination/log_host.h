#pragma once

#include <waxwing/coordination/disk_writer.h>
#include <waxwing/coordination/log_membership.h>
#include <waxwing/coordination/log_types.h>
#include <waxwing/state/posix_file_system.h>
#include <waxwing/state/state_machine.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief Member of a replicated log: drives a RaftNode and applies committed commands to a state machine.
///
/// Runs on the thread of its context; writes to the disk run on a second thread. `propose`, `read`, `changeMembership` and
/// `receive` may be called on any thread, all other functions only on the context's thread, which also runs all handlers.
/// Handlers may call functions of the host. The host must be destroyed on the context's thread or after the context has
/// stopped; handlers of requests that are still pending are then not called.
template<StateMachine Machine, LogPeers Peers, FileSystem Files = PosixFileSystem>
class LogHost
{
public:
    /// @brief Creates a member that takes part only after start().
    /// @param context its thread runs the host; must outlive it
    /// @param peers sends packets to the other members; must outlive the host
    /// @param machine empty state machine, owned by the host
    LogHost(boost::asio::io_context &context, Peers &peers, Machine machine, LogHostOptions options, Files files = Files())
        : m_context(context)
        , m_peers(peers)
        , m_machine(std::move(machine))
        , m_options(std::move(options))
        , m_files(std::move(files))
        , m_timer(context)
        , m_membershipTimer(context)
        , m_members(m_options.address, m_options.initialMembers, m_options.membership)
    {
    }

    LogHost(const LogHost &) = delete;
    LogHost &operator=(const LogHost &) = delete;

    ~LogHost()
    {
        m_writer.reset();
    }

    /// @brief Reads the disk, restores the snapshot and starts to take part in the log.
    /// @return an error that names the file and, for a corrupt record, its offset; the process should then stop
    StateResult<void> start()
    {
        BOOST_OUTCOME_TRY(auto store, RaftStore<Files>::open(std::move(m_files), m_options.folder));
        if (store->truncatedBytes() != 0) {
            log::write(log::Level::Warning, "torn tail of the log truncated", {{"folder", m_options.folder}, {"bytes", store->truncatedBytes()}});
        }
        m_node.emplace(store->id(), m_options.raft, store->takeState(), randomIdentifier(), Clock::now());
        if (!restore(m_node->takeOutput(Clock::now()).restore)) {
            return StateError {StateErrorCode::Corrupt, m_options.folder + "/snapshot: the state machine rejected the stored snapshot"};
        }
        m_writer = std::make_unique<DiskWriter<Files>>(
            std::move(store), [this](std::uint64_t sequence) { post([this, sequence] { stored(sequence); }); },
            [this](StateError error) { post([this, error = std::move(error)] { fail(error); }); });
        m_members.start(m_node->id());
        log::write(log::Level::Info, "log member started",
                   {{"folder", m_options.folder}, {"member", toHex(m_node->id())}, {"term", m_node->term()}, {"last_index", m_node->log().lastIndex()}});
        maintainMembership();
        process();
        return boost::outcome_v2::success();
    }

    /// @brief Appends a command to the log.
    /// @param command passed to Machine::apply() once it is committed
    /// @param handler called once; on the calling thread if the outcome is Overloaded, else on the context's thread
    void propose(std::string command, ProposeHandler handler)
    {
        if (!admit()) {
            handler({LogOutcome::Overloaded, 0, {}, {}});
            return;
        }
        post([this, command = std::move(command), handler = std::move(handler)]() mutable {
            failPendingAfterLeadershipLoss();
            const auto index = m_node->propose(std::move(command));
            if (!index) {
                release();
                handler({LogOutcome::NotLeader, 0, {}, leaderAddress()});
                return;
            }
            m_proposals.emplace(*index, PendingRequest<ProposeHandler> {m_node->term(), std::move(handler)});
            scheduleProcess();
        });
    }

    /// @brief Linearizable read: calls the handler when the state machine includes every command that was acknowledged before
    /// the call.
    /// @param handler called once, and may use machine() if the outcome is Done; on the calling thread if it is Overloaded
    void read(ReadHandler handler)
    {
        if (!admit()) {
            handler({LogOutcome::Overloaded, 0, {}});
            return;
        }
        post([this, handler = std::move(handler)]() mutable {
            if (m_node->role() != RaftNode::Role::Leader) {
                release();
                handler({LogOutcome::NotLeader, 0, leaderAddress()});
                return;
            }
            m_reads.push_back(std::move(handler));
            scheduleProcess();
        });
    }

    /// @brief Adds, promotes or removes one member; only one membership change runs at a time.
    /// @param handler called once, with Done when the change is committed
    void changeMembership(RaftMembershipChange change, MembershipHandler handler)
    {
        post([this, change = std::move(change), handler = std::move(handler)]() mutable {
            failPendingAfterLeadershipLoss();
            LogIndex index = 0;
            const auto error = m_node->changeMembership(Clock::now(), change, index);
            if (error == RaftChangeError::NotLeader) {
                handler({LogOutcome::NotLeader, error, leaderAddress()});
            } else if (error != RaftChangeError::None) {
                handler({LogOutcome::Refused, error, {}});
            } else {
                m_changes.emplace(index, PendingRequest<MembershipHandler> {m_node->term(), std::move(handler)});
                scheduleProcess();
            }
        });
    }

    /// @brief Announces that this process is about to stop, so that in an open log a learner takes over its vote. That takes two commits,
    /// which are started at once and 200 ms later; the process may stop without waiting for them.
    void leave()
    {
        m_members.leave();
        maintainMembership();
    }

    /// @brief Handles a packet from another member.
    /// @param packet encoded RaftPacket
    void receive(std::string packet)
    {
        post([this, packet = std::move(packet)] { handlePacket(packet); });
    }

    /// @brief Adds a callback that is called with the applied index after each applied entry and each restored snapshot.
    void observeApplied(std::function<void(LogIndex index)> callback)
    {
        m_appliedObservers.push_back(std::move(callback));
    }

    /// @brief Adds a callback that is called with true when this member has become leader and its state machine is up to date,
    /// and with false when it no longer leads.
    void observeLeadership(std::function<void(bool leads, LogTerm term)> callback)
    {
        m_leadershipObservers.push_back(std::move(callback));
    }

    /// @brief Adds a callback that is called after a disk error or a snapshot that the state machine rejected. The member no
    /// longer takes part then, and the process should stop.
    void observeFailure(std::function<void(const StateError &error)> callback)
    {
        m_failureObservers.push_back(std::move(callback));
    }

    /// @brief Tells whether this member is leader with a valid lease, so that no other member can be leader now.
    bool isLeader() const
    {
        return m_node && m_leads && m_node->canRead(Clock::now());
    }

    /// @brief State machine with the applied commands. Guaranteed to be up to date only in a handler of read().
    const Machine &machine() const
    {
        return m_machine;
    }

    /// @brief Current state of this member.
    LogStatus status() const
    {
        LogStatus status;
        status.address = m_options.address;
        if (m_node) {
            status.id = m_node->id();
            status.role = m_node->role();
            status.term = m_node->term();
            status.leader = m_node->leader();
            status.leaderAddress = leaderAddress();
            status.commitIndex = m_node->commitIndex();
            status.appliedIndex = m_appliedIndex;
            status.snapshotIndex = m_node->snapshotIndex();
            status.membership = m_node->log().membership();
            status.ready = isLeader();
            status.failed = m_node->hasFailed();
            const auto &members = status.membership.members();
            const bool votes = std::any_of(members.begin(), members.end(), [&](const auto &member) { return member.id() == status.id && member.voter(); });
            status.serving = votes && !status.failed && status.leader != 0 && status.commitIndex != 0 && status.appliedIndex == status.commitIndex;
            if (status.role == RaftNode::Role::Leader) {
                const auto now = Clock::now();
                for (const auto &member : members) {
                    if (member.id() == status.id || m_node->isActive(now, member.id())) {
                        status.active.push_back(member.id());
                    }
                    if (!member.voter() && m_node->isCaughtUp(now, member.id())) {
                        status.caughtUp.push_back(member.id());
                    }
                }
                status.changePending = m_node->log().membershipIndex() > m_node->commitIndex();
            }
        }
        return status;
    }

private:
    template<class Handler>
    struct PendingRequest
    {
        LogTerm term = 0; ///< term in which the entry was appended
        Handler handler;
    };

    template<class Function>
    void post(Function function)
    {
        boost::asio::post(m_context, [alive = std::weak_ptr<int>(m_alive), function = std::move(function)]() mutable {
            if (!alive.expired()) {
                function();
            }
        });
    }

    bool admit()
    {
        if (m_pendingCount.fetch_add(1) < m_options.maxPendingRequests) {
            return true;
        }
        release();
        Metrics::instance().counter("waxwing_log_refusals_total", "reason", "overloaded").add();
        return false;
    }

    void release()
    {
        m_pendingCount.fetch_sub(1);
    }

    std::string leaderAddress() const
    {
        return m_node->leader() == 0 ? std::string() : m_members.address(m_node->leader());
    }

    void handlePacket(const std::string &bytes)
    {
        wire::RaftPacket packet;
        if (!m_node || !packet.ParseFromString(bytes)) {
            Metrics::instance().counter("waxwing_log_refusals_total", "reason", "unreadable-packet").add();
            return;
        }
        if (packet.has_message()) {
            m_members.learnAddress(packet.message().from(), packet.from_address());
            m_node->receive(Clock::now(), packet.message());
            scheduleProcess();
        } else {
            sendPackets(m_members.receive(packet, m_node->log().membership(), m_node->term() == 0 && m_node->log().lastIndex() == 0, Clock::now()));
        }
    }

    void stored(std::uint64_t sequence)
    {
        m_writer->pushOverflow();
        m_node->stored(Clock::now(), sequence);
        scheduleProcess();
    }

    void fail(const StateError &error)
    {
        log::write(log::Level::Error, "log member stopped after a disk error", {{"folder", m_options.folder}, {"error", error.message}});
        Metrics::instance().counter("waxwing_log_disk_failures_total").add();
        m_node->fail();
        process();
        for (const auto &observer : m_failureObservers) {
            observer(error);
        }
    }

    /// Runs process() once for all events that are queued on the context, so that their entries share messages and fsyncs.
    void scheduleProcess()
    {
        if (!std::exchange(m_processScheduled, true)) {
            post([this] { process(); });
        }
    }

    void process()
    {
        m_processScheduled = false;
        const auto now = Clock::now();
        m_node->tick(now);
        auto output = m_node->takeOutput(now);
        for (const auto &message : output.messages) {
            sendMessage(message);
        }
        for (auto &write : output.writes) {
            m_writer->add(std::move(write));
        }
        if (!restore(output.restore)) {
            fail({StateErrorCode::Corrupt, m_options.folder + ": the state machine rejected the snapshot that the leader sent"});
            return;
        }
        applyCommitted();
        failPendingAfterLeadershipLoss();
        answerReads();
        updateLeadership();
        if (m_appliedIndex >= m_node->snapshotIndex() + m_options.snapshotIntervalEntries && !m_node->isCompacting()) {
            const auto state = m_machine.snapshot();
            m_node->compact(m_appliedIndex, std::string(reinterpret_cast<const char *>(state.data()), state.size()));
            scheduleProcess();
        }
        armTimer();
    }

    bool restore(const std::shared_ptr<const RaftSnapshot> &snapshot)
    {
        if (!snapshot) {
            return true;
        }
        wire::RaftSnapshot message;
        if (!message.ParseFromString(snapshot->encoded) || !m_machine.restore(std::as_bytes(std::span(message.state())))) {
            return false;
        }
        m_appliedIndex = snapshot->index;
        notifyAppliedObservers();
        return true;
    }

    void notifyAppliedObservers()
    {
        for (const auto &observer : m_appliedObservers) {
            observer(m_appliedIndex);
        }
    }

    void applyCommitted()
    {
        while (m_appliedIndex < m_node->commitIndex()) {
            const auto &entry = m_node->log().at(m_appliedIndex + 1);
            const auto term = entry.term;
            std::vector<std::byte> result;
            if (entry.kind == wire::RAFT_ENTRY_KIND_COMMAND) {
                result = m_machine.apply(m_appliedIndex + 1, std::as_bytes(std::span(entry.data)));
            }
            ++m_appliedIndex;
            notifyAppliedObservers();
            // If the terms differ, another entry has replaced the one that the handler waits for; failPendingAfterLeadershipLoss() answers the request.
            if (const auto proposal = m_proposals.find(m_appliedIndex); proposal != m_proposals.end() && proposal->second.term == term) {
                auto handler = std::move(proposal->second.handler);
                m_proposals.erase(proposal);
                release();
                handler({LogOutcome::Done, m_appliedIndex, std::move(result), {}});
            } else if (const auto change = m_changes.find(m_appliedIndex); change != m_changes.end() && change->second.term == term) {
                auto handler = std::move(change->second.handler);
                m_changes.erase(change);
                handler({LogOutcome::Done, RaftChangeError::None, {}});
            }
        }
    }

    /// Answers all pending requests once this member has lost the leadership of their term: their entries may be replaced.
    void failPendingAfterLeadershipLoss()
    {
        if (m_node->role() == RaftNode::Role::Leader && m_node->term() == m_pendingTerm) {
            return;
        }
        m_pendingTerm = m_node->term();
        for (auto &[index, pending] : std::exchange(m_proposals, {})) {
            release();
            pending.handler({LogOutcome::Unknown, 0, {}, leaderAddress()});
        }
        for (auto &[index, pending] : std::exchange(m_changes, {})) {
            pending.handler({LogOutcome::Unknown, RaftChangeError::None, leaderAddress()});
        }
        for (auto &handler : std::exchange(m_reads, {})) {
            release();
            handler({LogOutcome::NotLeader, 0, leaderAddress()});
        }
    }

    void answerReads()
    {
        while (!m_reads.empty() && m_node->canRead(Clock::now())) {
            auto handler = std::move(m_reads.front());
            m_reads.pop_front();
            release();
            handler({LogOutcome::Done, m_appliedIndex, {}});
        }
    }

    void updateLeadership()
    {
        const bool leads = m_node->role() == RaftNode::Role::Leader && (m_node->canRead(Clock::now()) || (m_leads && m_leadTerm == m_node->term()));
        if (leads == m_leads && (!leads || m_leadTerm == m_node->term())) {
            return;
        }
        const bool changedTerm = leads && m_leads;
        m_leads = leads;
        m_leadTerm = m_node->term();
        log::write(log::Level::Info, leads ? "log member leads" : "log member no longer leads", {{"folder", m_options.folder}, {"term", m_leadTerm}});
        for (const auto &observer : m_leadershipObservers) {
            if (changedTerm) {
                observer(false, m_leadTerm);
            }
            observer(leads, m_leadTerm);
        }
    }

    void sendMessage(const wire::RaftMessage &message)
    {
        const auto address = m_members.addressOf(message.to(), m_node->log().membership());
        if (address.empty()) {
            return;
        }
        wire::RaftPacket packet;
        packet.set_from_address(m_options.address);
        *packet.mutable_message() = message;
        m_peers.send(address, packet.SerializeAsString());
    }

    void sendPackets(const std::vector<LogMembership::AddressedPacket> &packets)
    {
        for (const auto &[address, packet] : packets) {
            m_peers.send(address, packet.SerializeAsString());
        }
    }

    void armTimer()
    {
        const auto deadline = m_node->deadline();
        if (deadline == TimePoint::max() || (m_timerDeadline && *m_timerDeadline <= deadline)) {
            return;
        }
        m_timerDeadline = deadline;
        m_timer.expires_after(deadline - Clock::now());
        m_timer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](const boost::system::error_code &error) {
            if (!error && !alive.expired()) {
                m_timerDeadline.reset();
                process();
            }
        });
    }

    void startManagedChange(TimePoint now, const RaftMembershipChange &change)
    {
        failPendingAfterLeadershipLoss();
        LogIndex index = 0;
        const auto error = m_node->changeMembership(now, change, index);
        if (error != RaftChangeError::None) {
            Metrics::instance().counter("waxwing_log_membership_changes_total", "result", raftChangeErrorName(error)).add();
            return;
        }
        const std::string kind(raftChangeKindName(change.kind));
        const auto member = toHex(change.id);
        log::write(log::Level::Info, "log membership change started", {{"folder", m_options.folder}, {"change", kind}, {"member", member}, {"index", index}});
        m_changes.emplace(index,
                          PendingRequest<MembershipHandler> {
                              m_node->term(), [this, kind, member, index](const MembershipResult &result) {
                                  const bool done = result.outcome == LogOutcome::Done;
                                  const auto *outcome = done ? "done" : "unknown";
                                  Metrics::instance().counter("waxwing_log_membership_changes_total", "result", outcome).add();
                                  log::write(done ? log::Level::Info : log::Level::Warning, "log membership change ended",
                                             {{"folder", m_options.folder}, {"change", kind}, {"member", member}, {"index", index}, {"result", outcome}});
                              }});
        scheduleProcess();
    }

    /// Forms or joins a log; while this member leads, starts the next membership change that is needed. Runs periodically.
    void maintainMembership()
    {
        const bool empty = m_node->term() == 0 && m_node->log().lastIndex() == 0;
        sendPackets(m_members.leaveRequests(m_node->log().membership()));
        if (empty && m_members.canBootstrap()) {
            m_node->bootstrap(Clock::now(), m_members.initialMembership());
            scheduleProcess();
        } else if (m_members.shouldJoin(m_node->log().membership(), m_node->leader() != 0)) {
            sendPackets(m_members.joinRequests());
        } else if (m_options.manageMembers && m_leads) {
            const auto now = Clock::now();
            if (auto change = m_members.nextChange(
                    m_node->log().membership(), [&](MemberId id) { return m_node->isCaughtUp(now, id); },
                    [&](MemberId id) { return m_node->isActive(now, id); }, now)) {
                startManagedChange(now, *change);
            }
        }
        m_membershipTimer.expires_after(m_options.joinInterval);
        m_membershipTimer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](const boost::system::error_code &error) {
            if (!error && !alive.expired()) {
                maintainMembership();
            }
        });
    }

    boost::asio::io_context &m_context;
    Peers &m_peers;
    Machine m_machine;
    LogHostOptions m_options;
    Files m_files;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_membershipTimer;
    std::optional<TimePoint> m_timerDeadline;
    LogMembership m_members;
    std::optional<RaftNode> m_node;
    std::unique_ptr<DiskWriter<Files>> m_writer;

    LogIndex m_appliedIndex = 0;
    bool m_processScheduled = false;
    std::atomic<std::size_t> m_pendingCount {0};
    std::map<LogIndex, PendingRequest<ProposeHandler>> m_proposals;
    std::map<LogIndex, PendingRequest<MembershipHandler>> m_changes;
    std::deque<ReadHandler> m_reads;
    LogTerm m_pendingTerm = 0;
    bool m_leads = false;
    LogTerm m_leadTerm = 0;
    std::vector<std::function<void(LogIndex)>> m_appliedObservers;
    std::vector<std::function<void(bool, LogTerm)>> m_leadershipObservers;
    std::vector<std::function<void(const StateError &)>> m_failureObservers;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); // shared so that posted handlers can detect that the host was destroyed
};

} // namespace waxwing
