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

/// @brief Replicated log with several members; the test changes its leader, and entries are committed after a short delay.
class SimulatedLog
{
public:
    struct Member
    {
        ConfigMachine machine;
        std::size_t applied = 0;
        bool believesToBeLeader = false;
        std::uint64_t term = 0;
    };

    SimulatedLog(SimulatedWorld &world, std::size_t count)
        : members(count)
        , m_world(world)
    {
    }

    /// @brief Access to the log through one member.
    LogPort port(std::size_t memberIndex)
    {
        LogPort port;
        port.propose = [this, memberIndex](std::vector<std::byte> command, LogPort::Handler handler) {
            propose(memberIndex, std::move(command), std::move(handler));
        };
        port.read = [this, memberIndex](LogPort::Handler handler) {
            // A replaced leader cannot confirm reads, even while it still believes to be the leader.
            m_world.after(m_world.random.upTo(1ms), [this, memberIndex, term = members[memberIndex].term, handler = std::move(handler)] {
                LogReply reply;
                if (leader != memberIndex || members[memberIndex].term != term) {
                    reply.failure = LogFailure::NotLeader;
                }
                handler(std::move(reply));
            });
        };
        port.isLeader = [this, memberIndex] {
            return members[memberIndex].believesToBeLeader;
        };
        port.term = [this, memberIndex] {
            return members[memberIndex].term;
        };
        port.leaderHint = [] {
            return std::string();
        };
        return port;
    }

    /// @brief Ends the leadership; the old leader notices this later, and a random member is elected after a delay.
    void changeLeader()
    {
        const auto old = leader;
        leader = members.size();
        if (old < members.size()) {
            m_world.after(m_world.random.upTo(400ms), [this, old] {
                if (leader != old) {
                    members[old].believesToBeLeader = false;
                }
            });
        }
        // The election cannot end before the read lease of the old leader has ended.
        m_world.after(10ms + m_world.random.upTo(600ms), [this] {
            leader = m_world.random.between(0, members.size() - 1);
            auto &member = members[leader];
            member.term = ++m_term;
            catchUp(member);
            member.believesToBeLeader = true;
        });
    }

    /// @brief State after the last committed entry.
    const ConfigMachine &committedState() const
    {
        return m_committedState;
    }

    std::vector<Member> members;
    std::size_t leader = 0; ///< index of the leader; the number of members while there is none
    std::function<void(std::size_t member)> onApplied;
    std::function<void(const wire::ConfigCommand &command, const wire::ConfigResult &result)> onCommitted;

private:
    void propose(std::size_t memberIndex, std::vector<std::byte> command, LogPort::Handler handler)
    {
        const auto term = members[memberIndex].term;
        m_world.after(500us + m_world.random.upTo(5ms), [this, memberIndex, term, command = std::move(command), handler = std::move(handler)] {
            LogReply reply;
            if (leader != memberIndex || members[memberIndex].term != term) {
                // An entry that reached a majority before the change of leader is committed by the next leader.
                if (leader == members.size() && m_world.random.chance(0.5)) {
                    append(command);
                }
                reply.failure = LogFailure::Unknown;
            } else {
                append(command);
                reply.result = catchUp(members[memberIndex]);
                onApplied(memberIndex);
            }
            handler(std::move(reply));
        });
    }

    void append(const std::vector<std::byte> &command)
    {
        m_entries.push_back(command);
        wire::ConfigCommand decoded;
        decoded.ParseFromArray(command.data(), static_cast<int>(command.size()));
        const auto result = m_committedState.applyCommand(m_entries.size(), decoded);
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
    ConfigMachine m_committedState;
    std::uint64_t m_term = 0;
};

} // namespace waxwing::control::testing
