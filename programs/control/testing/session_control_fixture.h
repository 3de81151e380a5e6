#pragma once

#include "../session_control.h"
#include "fake_database.h"

#include <waxwing/state/message_bytes.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::control::testing
{

/// @brief Test fixture: a leader of control whose log commits at once, fake databases on loopback, and a platform and proxies
/// that the test simulates. Runs on the thread of the test.
class SessionControlFixture
{
public:
    explicit SessionControlFixture(const SessionLeases::Options &leases = SessionLeases::Options(),
                                   PrimarySupervisor::Options primaries = {.name = "core-1", .ordersAreFenced = false, .lateOrderLimit = 15s})
        : control(context, {std::move(primaries), std::chrono::milliseconds(100), leases}, machine, ports())
    {
    }

    /// Runs until a condition holds.
    /// @return false if it does not hold within ten seconds
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = Clock::now() + 10s;
        while (!condition()) {
            if (Clock::now() >= deadline) {
                return false;
            }
            control.tick();
            context.restart();
            context.run_for(std::chrono::milliseconds(2));
        }
        return true;
    }

    /// Adds a database and sends its first heartbeat.
    waxwing::testing::FakeDatabase &addDatabase(const std::string &id, bool primary)
    {
        auto &database = databases.emplace_back(id, primary);
        sendHeartbeat(database, primary, false);
        return database;
    }

    /// @param born tells the runs of a database apart
    void sendHeartbeat(const waxwing::testing::FakeDatabase &database, bool primary, bool draining, std::uint64_t born = 1)
    {
        wire::PoolMember member;
        member.set_id(database.id());
        member.set_service("s");
        member.set_address(database.address());
        member.set_born_ms(born);
        member.set_sequence(++sequence);
        member.set_slots(3);
        member.set_primary(primary);
        member.set_draining(draining);
        control.heartbeat(member, [this](bool acknowledged) { heartbeats.push_back(acknowledged); });
    }

    /// Sends a database's notice that it ends.
    void deregister(const std::string &id)
    {
        wire::PoolMember member;
        member.set_id(id);
        member.set_born_ms(1);
        member.set_leaving(true);
        control.deregister(member, [this](bool recorded) { deregistrations.push_back(recorded); });
    }

    /// Ends the leadership of this member, and begins another one that has the same log.
    /// @return whether the member acts as leader again
    bool changeLeader()
    {
        leads = false;
        const bool ended = runUntil([this] { return !control.isActive(); });
        leads = true;
        return ended && runUntil([this] { return control.isActive(); });
    }

    /// Renews the lease of a proxy.
    /// @param unreachable the proxy reports the primary as unreachable
    void renewLease(const std::string &proxy, bool unreachable)
    {
        wire::PoolEnvelope message;
        auto &renewal = *message.mutable_renewal();
        renewal.set_sequence(++sequence);
        renewal.set_proxy(proxy);
        renewal.set_incarnation(1);
        if (const auto *record = machine.service("s"); unreachable && record != nullptr) {
            auto &report = *renewal.add_reports();
            report.set_service("s");
            report.set_epoch(record->epoch());
            report.set_unreachable(true);
        }
        control.handleMessage(proxy, message);
    }

    /// Confirms a withdrawal with the position that the proxy has acknowledged. If control asks for a position reported by the
    /// primary, it is the same one.
    void confirmWithdrawal(const std::string &proxy, const wire::PoolWithdraw &request, std::uint64_t term, std::uint64_t number)
    {
        wire::PoolEnvelope message;
        auto &withdrawn = *message.mutable_withdrawn();
        withdrawn.set_service("s");
        withdrawn.set_epoch(request.epoch());
        withdrawn.set_proxy(proxy);
        withdrawn.set_incarnation(1);
        withdrawn.mutable_acknowledged()->set_term(term);
        withdrawn.mutable_acknowledged()->set_number(number);
        withdrawn.set_closed(request.closes());
        withdrawn.set_round(request.round());
        if (certainPosition) {
            withdrawn.mutable_acknowledged_at_least()->set_term(certainPosition->term);
            withdrawn.mutable_acknowledged_at_least()->set_number(certainPosition->position);
        }
        if (replicatedPosition) {
            withdrawn.mutable_replicated()->set_term(replicatedPosition->term);
            withdrawn.mutable_replicated()->set_number(replicatedPosition->position);
        }
        if (request.evidence_ms() != 0) {
            *withdrawn.mutable_reported() = withdrawn.acknowledged();
        }
        control.handleMessage(proxy, message);
    }

    std::string primary() const
    {
        const auto *record = machine.service("s");
        return record == nullptr ? std::string() : record->primary();
    }

    struct Order
    {
        std::string database;
        std::uint64_t token = 0;
    };

    boost::asio::io_context context;
    SessionsMachine machine;
    std::uint64_t index = 0;
    std::uint64_t sequence = 0;
    bool leads = true;
    bool proposalsAreAccepted = true;
    std::string leader = "core-2"; ///< link address of the leader, as this member knows it
    std::list<waxwing::testing::FakeDatabase> databases;
    std::vector<bool> deregistrations; ///< whether each was recorded
    std::vector<bool> heartbeats; ///< whether each was acknowledged, in the order of the answers
    std::optional<TermPosition> certainPosition; ///< that proxies state in confirmWithdrawal()
    std::optional<TermPosition> replicatedPosition; ///< end of the primary's log with the last acknowledged commit, the same
    std::set<std::string> goingOn; ///< databases that don't learn of promotions
    std::vector<Order> orders; ///< in the order of arrival
    std::function<OrderAnswer(const Order &order)> answerOrder; ///< promotes the database if empty
    std::function<void(const std::string &proxy, const wire::PoolEnvelope &message)> onProxyMessage;
    std::vector<std::pair<std::string, wire::PoolEnvelope>> memberMessages; ///< to other members of control, by link address
    SessionControl control;

private:
    SessionControlPorts ports()
    {
        SessionControlPorts ports;
        ports.log.propose = [this](std::vector<std::byte> command, LogPort::Handler handler) {
            if (!proposalsAreAccepted) {
                handler({LogFailure::Unknown, {}});
                return;
            }
            auto result = machine.apply(++index, command);
            control.handleApplied();
            handler({LogFailure::None, std::move(result)});
        };
        ports.log.read = [this](LogPort::Handler handler) {
            handler({leads ? LogFailure::None : LogFailure::NotLeader, {}});
        };
        ports.log.isLeader = [this] {
            return leads;
        };
        ports.log.term = [] {
            return std::uint64_t(1);
        };
        ports.log.leaderHint = [this] {
            return leader;
        };
        ports.sendToProxy = [this](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (onProxyMessage) {
                onProxyMessage(proxy, message);
            }
        };
        ports.sendToMember = [this](const std::string &member, const wire::PoolEnvelope &message) {
            memberMessages.emplace_back(member, message);
        };
        ports.members = [] {
            return std::vector<std::string> {"core-1"};
        };
        ports.orderPromotion = [this](std::string, std::string database, std::uint64_t token, Duration) -> boost::asio::awaitable<OrderAnswer> {
            orders.push_back({database, token});
            if (answerOrder) {
                co_return answerOrder(orders.back());
            }
            promote(database);
            co_return OrderAnswer::Accepted;
        };
        return ports;
    }

public:
    /// Makes a database the primary of a new term, as the platform does when it carries out an order.
    void promote(const std::string &id)
    {
        for (auto &database : databases) {
            if (!goingOn.contains(database.id())) {
                database.beginTerm(database.id() == id);
            }
        }
    }
};

} // namespace waxwing::control::testing
