#include <waxwing/coordination/log_types.h>

#include <algorithm>

namespace waxwing
{

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

} // namespace waxwing
