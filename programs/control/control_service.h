#pragma once

#include "control_ports.h"
#include "control_state.h"
#include "promotion_runner.h"

#include <waxwing/coordination/directory_publisher.h>
#include <waxwing/coordination/log_port.h>
#include <waxwing/coordination/owner_assignment.h>
#include <waxwing/wire/machine.pb.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::control
{

/// @brief Intervals, timeouts and limits of the control service.
struct ControlServiceOptions
{
    LeaseOptions lease;
    EndpointDirectory::Options directory;
    FailureDetector::Options detector;
    PromotionRunnerOptions promotion;
    Duration assignmentInterval = 100ms; ///< between two checks of all owners; events that may change an owner trigger a check at once
    /// A new leader publishes a group without members until all of them have announced themselves again, or until this
    /// timeout; meanwhile proxies keep the members they know. Announcements arrive within 1.4 s.
    Duration memberCollectionTimeout = 2s;
    Duration proxyRetention = 600s; ///< a proxy without a lease for this long is removed from the log
    unsigned maxRemovalsPerSecond = 50;
};

/// @brief Manages leases, group owners, the directory, intents and operator changes of a control process. One thread.
///
/// Only the leader of the config log is active; the other processes redirect proxies to it.
class ControlService
{
public:
    using ChangeHandler = std::function<void(LogFailure failure, const wire::ConfigResult &result)>;

    /// @brief Creates the service.
    /// @param options intervals, timeouts and limits
    /// @param machine state machine of the config log; outlives the service
    /// @param configLog access to the config log
    /// @param intentLog access to the intents log
    /// @param ports connections to proxies and endpoints, and the clocks
    ControlService(const ControlServiceOptions &options, const ConfigMachine &machine, LogPort configLog, LogPort intentLog, ControlPorts ports);

    /// @brief Handles a message from a proxy.
    void handleMessage(const std::string &proxy, wire::Envelope &&message);

    /// @brief Called after an entry of the config log was applied; the next tick publishes the changes.
    void handleApplied();

    /// @brief Ends expired leases, advances promotions, assigns owners and publishes changes; called every few milliseconds.
    void tick();

    /// @brief Returns whether this process is the leader and its state is up to date.
    bool isActive() const
    {
        return m_active;
    }

    /// @brief Proposes a change of an operator.
    void change(wire::ConfigCommand command, ChangeHandler handler);

    /// @brief Calls a handler once the state machine is confirmed to be up to date.
    void read(std::function<void(LogFailure failure)> handler);

    /// @brief Starts a planned switchover; see PromotionRunner::switchover().
    void switchover(const std::string &group, const std::string &target, const std::string &changeId, PromotionRunner::SwitchoverHandler handler);

    /// @brief State reported in status replies.
    const ControlState &state() const
    {
        return m_state;
    }

    /// @brief Conditions of a group for operators.
    std::vector<std::string> conditions(const std::string &group) const
    {
        return m_promotions.conditions(group);
    }

    /// @brief Current time of the clock of the ports.
    TimePoint now() const
    {
        return m_ports.now();
    }

private:
    /// Message about a statement that must not repeat, as far as its answer names it.
    struct IntentRequest
    {
        std::string proxy;
        std::uint64_t incarnation = 0; ///< of the proxy
        std::uint64_t correlation = 0;
    };

    void updateLeadership();
    void activate();
    void deactivate();
    void propose(wire::ConfigCommand command, PromotionRunner::ProposeHandler handler);

    void handleRenewal(const std::string &proxy, const wire::Renewal &renewal);
    void recordAnnouncements(const wire::Renewal &renewal);
    void recordEvidence(const std::string &proxy, const wire::Renewal &renewal);
    bool isRegistered(const std::string &proxy, const ProxySession &session) const;
    void registerProxy(const std::string &proxy, std::uint64_t sequence);
    void grant(const std::string &proxy, std::uint64_t incarnation, std::uint64_t sequence);
    void fillConfig(std::uint64_t knownVersion, wire::Grant &grant) const;
    void fillPeers(wire::Grant &grant) const;
    void sendNotLeader(const std::string &proxy);

    void refreshGroups();
    bool areMembersComplete(const std::string &group) const;
    void refreshDirectory();
    void pushChanges();
    void assignOwners();
    void assignOwnerIfNeeded(const std::string &group, const std::vector<OwnerCandidate> &candidates, wire::AssignOwners &changes);
    void releaseHolders(const std::string &group, const wire::GroupRecord &record);
    void removeExpiredProxies();

    void handleIntent(const std::string &proxy, wire::Envelope &&message);
    void proposeIntent(const IntentRequest &request, wire::IntentCommand command);
    void answerIntent(const IntentRequest &request, const wire::IntentResult &result);

    ControlServiceOptions m_options;
    LogPort m_configLog;
    LogPort m_intentLog;
    ControlPorts m_ports;
    ControlState m_state;
    PromotionRunner m_promotions;
    DirectoryPublisher m_publisher;
    bool m_active = false;
    bool m_activating = false;
    std::uint64_t m_generation = 0; ///< incremented when leadership changes, to ignore answers to earlier requests
    std::uint64_t m_term = 0; ///< term of the config log in which this process leads
    TimePoint m_activeSince;
    bool m_collectingMembers = false; ///< a new leader has not yet received the announcements of all members
    bool m_directoryOutdated = false; ///< all groups must be compared with the published directory
    bool m_assignmentNeeded = false;
    bool m_assignmentRunning = false;
    std::uint64_t m_groupsVersion = 0; ///< configuration version from which m_state.groups was built
    std::set<std::string> m_changedGroups; ///< groups whose members changed since the directory was refreshed
    std::set<std::pair<std::string, std::uint64_t>> m_pendingReleases; ///< group and owner epoch of proposed holder releases
    std::map<std::string, TimePoint> m_lastLiveTimes; ///< last time that a proxy held a lease
    TimePoint m_lastAssignment;
    TimePoint m_lastRemoval;
};

} // namespace waxwing::control
