#pragma once

#include <waxwing/coordination/endpoint_directory.h>
#include <waxwing/coordination/promotion.h>
#include <waxwing/wire/machine.pb.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing::control
{

struct ControlPorts;
struct ControlState;
struct EndpointAnswer;

/// @brief Intervals, timeouts and limits of the promotions of a control leader.
struct PromotionRunnerOptions
{
    Promotion::Options promotion;
    Duration scanInterval = 20ms; ///< between two checks of all groups
    Duration cooldown = 5s; ///< minimum between a published primary and the next failover of the group; prevents flapping
    Duration endpointTimeout = 500ms; ///< per call to an endpoint
    Duration followInterval = 500ms; ///< between two follow calls to a member that does not follow the primary
    Duration leavingRetryInterval = 1s; ///< between two attempts to switch over from a primary that announces that it is leaving
    /// A replica that is behind and whose position has not changed for this long has probably restarted and lost its
    /// primary; it is called to follow again.
    Duration followStallTimeout = 1'500ms;
    /// Announcements are used to detect failed primaries and replicas only this long after a promotion, because earlier ones
    /// may describe the state before it.
    Duration announcementSettleTime = 2s;
    Duration withdrawalTimeout = 500ms; ///< a live owner that has not confirmed the withdrawal by then is granted no more leases
    unsigned maxStartsPerSecond = 50; ///< limits the load when a whole failure domain fails
};

/// @brief Outcome of a planned switchover.
struct SwitchoverResult
{
    bool accepted = false;
    std::string reason; ///< why the switchover was refused or aborted
    std::string primary;
    std::uint64_t term = 0;
};

/// @brief Runs the promotions of all groups on the control leader.
class PromotionRunner
{
public:
    using ProposeHandler = std::function<void(bool accepted)>;
    using Propose = std::function<void(wire::ConfigCommand command, ProposeHandler handler)>;
    using SwitchoverHandler = std::function<void(const SwitchoverResult &result)>;

    /// @brief Creates a runner without promotions.
    /// @param options limits
    /// @param state state of the leader; outlives the runner
    /// @param ports connections to proxies and endpoints; outlives the runner
    /// @param propose proposes a command to the config log
    PromotionRunner(const PromotionRunnerOptions &options, const ControlState &state, const ControlPorts &ports, Propose propose);

    /// @brief Drops all promotions after leadership was gained or lost; pending switchover requests are refused.
    void reset();

    /// @brief Advances the running promotions and starts one for each group whose primary has failed or is leaving.
    void tick();

    /// @brief Advances the promotion of a group, if one is running, e.g. after its record changed.
    void advance(const std::string &group);

    /// @brief Starts a planned switchover.
    /// @param target database that becomes the primary
    /// @param changeId identifies the request; a repetition joins the running switchover or reports the recorded result
    /// @param handler called once when the switchover has ended
    void switchover(const std::string &group, const std::string &target, const std::string &changeId, SwitchoverHandler handler);

    /// @brief Handles the confirmation of a proxy that it has withdrawn a term.
    void handleWithdrawn(const std::string &proxy, const wire::TermWithdrawn &message);

    /// @brief Handles the answer of an owner that holds back new writes.
    void handleWritesHeld(const std::string &proxy, const wire::WritesHeld &message);

    /// @brief Returns whether leases are denied to a proxy because it has not confirmed a withdrawal in time.
    bool blocksLease(const std::string &proxy) const;

    /// @brief Conditions of a group for operators, e.g. `Ready`.
    std::vector<std::string> conditions(const std::string &group) const;

private:
    struct Running
    {
        Promotion promotion;
        std::string changeId;
        std::vector<SwitchoverHandler> switchoverHandlers;
        bool reportedNoMajority = false;
    };

    /// State of a member that is expected to follow the primary.
    struct Follower
    {
        TimePoint lastCall;
        std::uint64_t confirmedTerm = 0; ///< last term that it agreed to follow
        std::uint64_t position = 0; ///< as last announced
        TimePoint positionSince; ///< when the position last changed
    };

    /// Detection of the first primary of a group.
    struct FirstPrimary
    {
        TimePoint detectedAt; ///< when a majority of the members had announced themselves
        TimePoint lastProposed; ///< when an announced primary was last proposed to the log
    };

    void startIfNeeded(const std::string &group);
    void establishFirstPrimary(const std::string &group, const wire::GroupRecord *record);
    bool hasFailed(const std::string &group, const wire::GroupRecord &record) const;
    bool areAnnouncementsCurrent(const std::string &group) const;
    void startPromotion(const std::string &group, Promotion promotion, std::string_view cause);
    void replaceLeavingPrimary(const std::string &group);
    void repairFollowers(const std::string &group);
    void advancePromotion(const std::string &group);
    void execute(const std::string &group, const PromotionAction &action);
    void finishPromotion(const std::string &group);
    PromotionInput promotionInput(const std::string &group) const;
    bool needsFollow(const wire::GroupRecord &record, const EndpointDirectory::Member &member, std::uint64_t primaryPosition, Follower &follower) const;
    void callFollow(const std::string &group, const PromotionMember &member, std::uint64_t term, const std::string &primaryAddress);
    template<class Input>
    void applyInput(const std::string &group, std::uint64_t generation, Input apply);

    PromotionRunnerOptions m_options;
    const ControlState &m_state;
    const ControlPorts &m_ports;
    Propose m_propose;
    std::uint64_t m_generation = 0; ///< incremented by reset(), to ignore late answers to dropped promotions
    std::map<std::string, Running> m_running;
    std::map<std::string, TimePoint> m_lastPublished;
    std::map<std::string, std::map<std::string, Follower>> m_followers; ///< by group and database
    std::map<std::string, FirstPrimary> m_firstPrimaries;
    std::map<std::string, TimePoint> m_lastLeavingAttempts;
    std::string m_advancingGroup; ///< group whose promotion is being advanced, to detect re-entrant calls
    wire::GroupRecord m_emptyRecord;
    TimePoint m_lastReset;
    TimePoint m_lastScan;
    TimePoint m_startWindowBegin;
    unsigned m_startsInWindow = 0;
};

} // namespace waxwing::control
