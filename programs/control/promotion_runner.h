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

/// @brief Limits of the promotions of one leader.
struct PromotionRunnerOptions
{
    Promotion::Options promotion;
    Duration scanInterval = 20ms; ///< between two looks at all groups
    Duration cooldown = 5s; ///< between a published promotion and the next one after a failure, against flapping
    Duration endpointTimeout = 500ms; ///< of one call to an endpoint
    Duration followInterval = 500ms; ///< between two calls to a member that does not follow the primary
    Duration leavingRetry = 1s; ///< between two attempts to switch over from a primary that leaves
    /// A replica that is behind and does not advance for this long was restarted and no longer knows its primary.
    Duration followStall = 1'500ms;
    /// A member is judged by its announcements only this long after a promotion, so that they are newer than it.
    Duration announcementSettle = 2s;
    Duration withdrawPatience = 500ms; ///< a live owner that has not confirmed by then gets no more leases
    unsigned startsPerSecond = 50; ///< when a whole failure domain is lost
};

/// @brief Outcome of a planned switchover.
struct SwitchoverResult
{
    bool accepted = false;
    std::string reason; ///< of a refusal
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
    /// @param ports outer world; outlives the runner
    /// @param propose proposes a command to the config log
    PromotionRunner(const PromotionRunnerOptions &options, const ControlState &state, const ControlPorts &ports, Propose propose);

    /// @brief Drops all promotions, because leadership was gained or lost; waiting operators are told.
    void reset();

    /// @brief Starts promotions where the evidence asks for it, and advances the running ones.
    void tick();

    /// @brief Advances one promotion, e.g. after its record changed.
    void advance(const std::string &group);

    /// @brief Starts a planned switchover.
    /// @param handler called once when it has ended
    void switchover(const std::string &group, const std::string &target, const std::string &changeId, SwitchoverHandler handler);

    /// @brief Takes the confirmation of a proxy.
    void handleWithdrawn(const std::string &proxy, const wire::TermWithdrawn &message);

    /// @brief Takes the answer of an owner that holds its writes.
    void handleWritesHeld(const std::string &proxy, const wire::WritesHeld &message);

    /// @brief Tells whether a proxy must get no lease, because it has not confirmed a withdrawal in time.
    bool blocksLease(const std::string &proxy) const;

    /// @brief Conditions of a group for operators, e.g. `Ready`.
    std::vector<std::string> conditions(const std::string &group) const;

private:
    struct Running
    {
        Promotion promotion;
        std::string changeId;
        std::vector<SwitchoverHandler> waiters;
        bool reportedNoMajority = false;
    };

    /// What is known of a member that shall follow the primary.
    struct Follower
    {
        TimePoint lastCall;
        std::uint64_t confirmedTerm = 0; ///< it accepted to follow this term
        std::uint64_t position = 0; ///< as last announced
        TimePoint positionSince;
    };

    /// A group that has never had a primary.
    struct FirstPrimary
    {
        TimePoint since;
        TimePoint proposed;
    };

    void considerStart(const std::string &group);
    void considerFirstPrimary(const std::string &group, const wire::GroupRecord *record);
    bool hasFailed(const std::string &group, const wire::GroupRecord &record) const;
    bool areAnnouncementsSettled(const std::string &group) const;
    void start(const std::string &group, Promotion promotion, std::string_view cause);
    void considerLeavingPrimary(const std::string &group);
    void repairFollowers(const std::string &group);
    void run(const std::string &group);
    void perform(const std::string &group, const PromotionAction &action);
    void end(const std::string &group);
    PromotionInput facts(const std::string &group) const;
    bool needsFollow(const wire::GroupRecord &record, const EndpointDirectory::Member &member, std::uint64_t primaryPosition, Follower &follower) const;
    void callFollow(const std::string &group, const PromotionMember &member, std::uint64_t term, const std::string &primaryAddress);
    template<class Input>
    void input(const std::string &group, std::uint64_t number, Input apply);

    PromotionRunnerOptions m_options;
    const ControlState &m_state;
    const ControlPorts &m_ports;
    Propose m_propose;
    std::uint64_t m_generation = 0; ///< distinguishes answers to a promotion that was dropped
    std::map<std::string, Running> m_running;
    std::map<std::string, TimePoint> m_published;
    std::map<std::string, std::map<std::string, Follower>> m_followers; ///< by group and database
    std::map<std::string, FirstPrimary> m_firstPrimaries;
    std::map<std::string, TimePoint> m_leavingAttempts;
    std::string m_inside; ///< group whose promotion is being advanced
    wire::GroupRecord m_emptyRecord;
    TimePoint m_resetAt;
    TimePoint m_lastScan;
    TimePoint m_startWindow;
    unsigned m_startsInWindow = 0;
};

} // namespace waxwing::control
