#include "control_state.h"

#include <algorithm>

namespace waxwing::control
{

std::vector<LiveProxy> ControlState::liveProxies(TimePoint now) const
{
    std::vector<LiveProxy> live;
    for (const auto &[name, session] : sessions) {
        if (leases.isLive({name, session.incarnation}, now)) {
            live.push_back({name, session.failureDomain});
        }
    }
    return live;
}

std::size_t ControlState::groupSize(std::string_view group) const
{
    const auto expected = groups.find(group);
    const auto *members = directory.members(group);
    return std::max(expected == groups.end() ? 0 : expected->second, members == nullptr ? 0 : members->size());
}

std::string ControlState::failureDomain(std::string_view group, std::string_view database) const
{
    const auto *member = directory.member(group, database);
    return member == nullptr ? std::string() : member->announcement.failure_domain();
}

} // namespace waxwing::control
