#pragma once

#include <waxwing/coordination/log_port.h>
#include <waxwing/state/state_machine.h>

#include <functional>
#include <utility>

namespace waxwing
{

/// @brief Log of one process that applies each command at once and keeps nothing. For tests and trials.
template<StateMachine Machine>
class MemoryLog
{
public:
    /// @brief Creates an empty log.
    /// @param machine machine to drive; outlives the log
    explicit MemoryLog(Machine &machine)
        : m_machine(machine)
    {
    }

    /// @brief Calls back after each applied command.
    void observeApplied(std::function<void(LogIndex)> callback)
    {
        m_observer = std::move(callback);
    }

    /// @brief Ports of this log; valid as long as the log.
    LogPort port()
    {
        LogPort port;
        port.propose = [this](std::vector<std::byte> command, LogPort::Handler handler) {
            LogReply reply;
            reply.result = m_machine.apply(++m_index, command);
            if (m_observer) {
                m_observer(m_index);
            }
            handler(std::move(reply));
        };
        port.read = [](LogPort::Handler handler) {
            handler(LogReply {});
        };
        port.isLeader = [] {
            return true;
        };
        port.term = [] {
            return std::uint64_t(1);
        };
        port.leaderHint = [] {
            return std::string();
        };
        return port;
    }

private:
    Machine &m_machine;
    LogIndex m_index = 0;
    std::function<void(LogIndex)> m_observer;
};

} // namespace waxwing
