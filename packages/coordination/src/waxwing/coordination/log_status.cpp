#include <waxwing/coordination/log_types.h>

#include <algorithm>

namespace waxwing
{

std::string_view lossShortfallName(LossShortfall shortfall)
{
    switch (shortfall) {
    case LossShortfall::None:
        return "none";
    case LossShortfall::TooFewMembers:
        return "too-few-members";
    case LossShortfall::VoterSilent:
        return "voter-silent";
    case LossShortfall::ChangePending:
        return "change-pending";
    case LossShortfall::LearnerBehind:
        return "learner-behind";
    case LossShortfall::NotPromoted:
        return "not-promoted";
    }
    return "none";
}

std::optional<std::size_t> LogStatus::tolerableLosses() const
{
    if (role != RaftNode::Role::Leader) {
        return std::nullopt;
    }
    std::size_t voters = 0;
    std::size_t activeVoters = 0;
    for (const auto &member : membership.members()) {
        if (member.voter()) {
            ++voters;
            activeVoters += static_cast<std::size_t>(std::count(active.begin(), active.end(), member.id()));
        }
    }
    const auto majority = voters / 2 + 1;
    return activeVoters > majority ? activeVoters - majority : 0;
}

LossShortfall LogStatus::lossShortfall(std::size_t losses) const
{
    const auto borne = tolerableLosses();
    if (!borne || *borne >= losses) {
        return LossShortfall::None;
    }
    if (active.size() < 2 * losses + 1) {
        return LossShortfall::TooFewMembers;
    }
    bool learnerBehind = false;
    for (const auto &member : membership.members()) {
        const bool replies = std::count(active.begin(), active.end(), member.id()) != 0;
        if (member.voter() && !replies) {
            return LossShortfall::VoterSilent;
        }
        learnerBehind = learnerBehind || (!member.voter() && replies && std::count(caughtUp.begin(), caughtUp.end(), member.id()) == 0);
    }
    if (changePending) {
        return LossShortfall::ChangePending;
    }
    return learnerBehind ? LossShortfall::LearnerBehind : LossShortfall::NotPromoted;
}

} // namespace waxwing
