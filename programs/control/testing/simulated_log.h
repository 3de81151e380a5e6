#pragma once

#include "simulated_world.h"

#include <waxwing/coordination/log_port.h>
#include <waxwing/state/config_machine.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::control::testing
{

/// @brief Replicated log of several members whose leader the test changes; entries commit after a short delay.
class SimulatedLog
{
public:
    struct Member
    {
        ConfigMachine machine;
        std::size_t applied = 0;
        bool believesToLead = false;
        std::uint64_t term = 0;
    };

    SimulatedLog(SimulatedWorld &world, std::size_t count)
        : members(count)
        , m_world(world)
    {
    }

    /// @brief Ports of one member.
    LogPort port(std::size_t self)
    {
        LogPort port;
        port.propose = [this, self](std::vector<std::byte> command, LogPort::Handler handler) {
            propose(self, std::move(command), std::move(handler));
        };
        port.read = [this, self](LogPort::Handler handler) {
            // A member that was replaced never proves a read, also while it still believes to lead.
            m_world.after(m_world.random.upTo(1ms), [this, self, term = members[self].term, handler = std::move(handler)] {
                LogReply reply;
                if (leader != self || members[self].term != term) {
                    reply.failure = LogFailure::NotLeader;
                }
                handler(std::move(reply));
            });
        };
        port.isLeader = [this, self] {
            return members[self].believesToLead;
        };
        port.term = [this, self] {
            return members[self].term;
        };
        port.leaderHint = [] {
            return std::string();
        };
        return port;
    }

    /// @brief Ends the leadership; the old leader notices later, and another member leads after the election.
    void changeLeader()
    {
        const auto old = leader;
        leader = members.size();
        if (old < members.size()) {
            m_world.after(m_world.random.upTo(400ms), [this, old] {
                if (leader != old) {
                    members[old].believesToLead = false;
                }
            });
        }
        // The next election ends at the earliest when the read lease of the old leader has ended.
        m_world.after(10ms + m_world.random.upTo(600ms), [this] {
            leader = m_world.random.between(0, members.size() - 1);
            auto &member = members[leader];
            member.term = ++m_term;
            catchUp(member);
            member.believesToLead = true;
        });
    }

    /// @brief State after all committed entries.
    const ConfigMachine &reference() const
    {
        return m_reference;
    }

    std::vector<Member> members;
    std::size_t leader = 0; ///< number of members while there is none
    std::function<void(std::size_t member)> onApplied;
    std::function<void(const wire::ConfigCommand &command, const wire::ConfigResult &result)> onCommitted;

private:
    void propose(std::size_t self, std::vector<std::byte> command, LogPort::Handler handler)
    {
        const auto term = members[self].term;
        m_world.after(500us + m_world.random.upTo(5ms), [this, self, term, command = std::move(command), handler = std::move(handler)] {
            LogReply reply;
            if (leader != self || members[self].term != term) {
                // An entry that was sent to a majority before the change of leader is committed by the next one.
                if (leader == members.size() && m_world.random.chance(0.5)) {
                    append(command);
                }
                reply.failure = LogFailure::Unknown;
            } else {
                append(command);
                reply.result = catchUp(members[self]);
                onApplied(self);
            }
            handler(std::move(reply));
        });
    }

    void append(const std::vector<std::byte> &command)
    {
        m_entries.push_back(command);
        wire::ConfigCommand decoded;
        decoded.ParseFromArray(command.data(), static_cast<int>(command.size()));
        const auto result = m_reference.applyCommand(m_entries.size(), decoded);
        onCommitted(decoded, result);
    }

    std::vector<std::byte> catchUp(Member &member)
    {
        std::vector<std::byte> result;
        while (member.applied < m_entries.size()) {
            result = member.machine.apply(member.applied + 1, m_entries[member.applied]);
            ++member.applied;
        }
        return result;
    }

    SimulatedWorld &m_world;
    std::vector<std::vector<std::byte>> m_entries;
    ConfigMachine m_reference;
    std::uint64_t m_term = 0;
};

} // namespace waxwing::control::testing
