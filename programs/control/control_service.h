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

/// @brief Times of the control service.
struct ControlServiceOptions
{
    LeaseOptions lease;
    EndpointDirectory::Options directory;
    FailureDetector::Options detector;
    PromotionRunnerOptions promotion;
    Duration assignmentInterval = 100ms; ///< owners are checked this often, and on each event that may change them
    /// A new leader shows a group without its members, so that proxies keep those they know, until all members have
    /// announced themselves again, or for this long. Announcements arrive within 1.4 s.
    Duration directoryCollection = 2s;
    Duration proxyRetention = 600s; ///< a proxy without a lease for this long is removed from the log
    unsigned removalsPerSecond = 50;
};

/// @brief The decisions of a control process: leases, owners, directory, intents and operator changes. One thread.
///
/// Only the leader of the config log acts; the others refer proxies to it.
class ControlService
{
public:
    using ChangeHandler = std::function<void(LogFailure failure, const wire::ConfigResult &result)>;

    /// @brief Creates the service.
    /// @param options times
    /// @param machine machine of the config log; outlives the service
    /// @param config config log
    /// @param intents intents log
    /// @param ports outer world
    ControlService(const ControlServiceOptions &options, const ConfigMachine &machine, LogPort config, LogPort intents, ControlPorts ports);

    /// @brief Takes a message of a proxy.
    void handleMessage(const std::string &proxy, wire::Envelope &&message);

    /// @brief Takes note of an applied entry of the config log.
    void handleApplied();

    /// @brief Does what is due; called every few milliseconds.
    void tick();

    /// @brief Tells whether this process leads and its state is up to date.
    bool isActive() const
    {
        return m_active;
    }

    /// @brief Proposes a change of an operator.
    void change(wire::ConfigCommand command, ChangeHandler handler);

    /// @brief Runs a handler once the machine is proven to be up to date.
    void read(std::function<void(LogFailure failure)> handler);

    /// @brief Starts a planned switchover.
    void switchover(const std::string &group, const std::string &target, const std::string &changeId, PromotionRunner::SwitchoverHandler handler);

    /// @brief State for status replies.
    const ControlState &state() const
    {
        return m_state;
    }

    /// @brief Conditions of a group for operators.
    std::vector<std::string> conditions(const std::string &group) const
    {
        return m_promotions.conditions(group);
    }

    /// @brief Present time of the ports.
    TimePoint now() const
    {
        return m_ports.now();
    }

private:
    void updateLeadership();
    void activate();
    void deactivate();
    void propose(wire::ConfigCommand command, PromotionRunner::ProposeHandler handler);

    void handleRenewal(const std::string &proxy, const wire::Renewal &renewal);
    void takeAnnouncements(const wire::Renewal &renewal);
    void takeEvidence(const std::string &proxy, const wire::Renewal &renewal);
    bool isRegistered(const std::string &proxy, const ProxySession &session) const;
    void registerProxy(const std::string &proxy, std::uint64_t sequence);
    void grant(const std::string &proxy, std::uint64_t incarnation, std::uint64_t sequence);
    void fillConfig(std::uint64_t readerVersion, wire::Grant &grant) const;
    void fillPeers(wire::Grant &grant) const;
    void sendNotLeader(const std::string &proxy);

    void refreshGroups();
    bool knowsMembers(const std::string &group) const;
    void refreshDirectory();
    void push();
    void assignOwners();
    void considerOwner(const std::string &group, const std::vector<OwnerCandidate> &candidates, wire::AssignOwners &changes);
    void releaseHolders(const std::string &group, const wire::GroupRecord &record);
    void removeOldProxies();

    void handleIntent(const std::string &proxy, wire::Envelope &&message);
    void proposeIntent(const std::string &proxy, wire::IntentCommand command, std::uint64_t correlation);
    void answerIntent(const std::string &proxy, std::uint64_t correlation, const wire::IntentResult &result);

    ControlServiceOptions m_options;
    LogPort m_config;
    LogPort m_intents;
    ControlPorts m_ports;
    ControlState m_state;
    PromotionRunner m_promotions;
    DirectoryPublisher m_publisher;
    bool m_active = false;
    bool m_activating = false;
    std::uint64_t m_epoch = 0; ///< distinguishes answers to requests of an earlier leadership
    std::uint64_t m_term = 0; ///< term of the config log in which this process leads
    TimePoint m_activeSince;
    bool m_collecting = false; ///< members may be missing because this process leads only since a moment ago
    bool m_applied = false; ///< entries were applied since the directory was compared
    bool m_assignmentDue = false;
    bool m_assignmentRunning = false;
    std::uint64_t m_groupsVersion = 0; ///< configuration version that m_state.groups shows
    std::set<std::string> m_changedGroups; ///< groups whose members changed
    std::set<std::pair<std::string, std::uint64_t>> m_releasing; ///< group and owner epoch
    std::map<std::string, TimePoint> m_lastLive;
    TimePoint m_lastAssignment;
    TimePoint m_lastRemoval;
};

} // namespace waxwing::control
