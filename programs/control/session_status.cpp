#include "session_status.h"

#include <waxwing/support/identifier.h>

#include <boost/json/array.hpp>

#include <algorithm>
#include <utility>

namespace waxwing::control
{

namespace
{

boost::json::array describeMembers(const LogStatus &log)
{
    boost::json::array members;
    for (const auto &member : log.membership.members()) {
        boost::json::object item {{"address", member.address()}, {"id", toHex(member.id())}, {"votes", member.voter()}};
        if (log.role == RaftNode::Role::Leader) {
            item["heard"] = std::count(log.active.begin(), log.active.end(), member.id()) != 0;
        }
        members.push_back(std::move(item));
    }
    return members;
}

boost::json::array describeDatabases(const PoolDirectory &directory, const std::string &service, TimePoint now)
{
    boost::json::array databases;
    for (const auto *entry : directory.members(service)) {
        databases.push_back({{"id", entry->member.id()},
                             {"address", entry->member.address()},
                             {"failure_domain", entry->member.failure_domain()},
                             {"says_primary", entry->member.primary()},
                             {"draining", entry->member.draining()},
                             {"heard_ms_ago", toMilliseconds(now - entry->lastHeartbeat).count()}});
    }
    return databases;
}

} // namespace

boost::json::object sessionStatus(const LogStatus &log, const SessionsMachine &machine, const PoolDirectory &directory, const SessionLeases &leases,
                                  bool active, TimePoint now)
{
    boost::json::object status {{"leader", log.leaderAddress}, {"term", log.term}, {"applied_index", log.appliedIndex}, {"version", machine.version()},
                                {"serving", log.serving},      {"leads", active},  {"members", describeMembers(log)}};
    if (const auto losses = log.tolerableLosses()) {
        status["losses_borne"] = *losses;
    }
    boost::json::array services;
    for (const auto &[name, record] : machine.services()) {
        boost::json::object service {{"service", name}, {"epoch", record.epoch()}, {"primary", record.primary()}, {"previous", record.previous()}};
        if (active) {
            service["databases"] = describeDatabases(directory, name, now);
        }
        services.push_back(std::move(service));
    }
    status["services"] = std::move(services);
    if (active) {
        boost::json::array proxies;
        for (const auto &[name, proxy] : leases.proxies()) {
            proxies.push_back({{"proxy", name},
                               {"config_version", proxy.configuration.held()},
                               {"directory_version", proxy.directoryVersion},
                               {"draining", proxy.draining},
                               {"demand", proxy.demand},
                               {"lease_left_ms", toMilliseconds(proxy.end - now).count()}});
        }
        status["proxies"] = std::move(proxies);
    }
    return status;
}

} // namespace waxwing::control
