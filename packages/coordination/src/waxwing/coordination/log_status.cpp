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
    std::size_t present = 0;
    for (const auto &member : membership.members()) {
        if (member.voter()) {
            ++voters;
            present += static_cast<std::size_t>(std::count(active.begin(), active.end(), member.id()));
        }
    }
    const auto majority = voters / 2 + 1;
    return present > majority ? present - majority : 0;
}

} // namespace waxwing
