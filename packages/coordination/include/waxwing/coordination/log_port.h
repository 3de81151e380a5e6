#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Reason why a proposal to a replicated log, or a read, failed.
enum class LogFailure {
    None,
    NotLeader, ///< the command was not proposed
    Overloaded, ///< the command was not proposed
    Unknown, ///< leadership was lost before the commit; the command may still be applied
};

/// @brief Result of a proposal or a read.
struct LogReply
{
    LogFailure failure = LogFailure::None;
    std::vector<std::byte> result; ///< result of the state machine, if there was no failure
};

/// @brief Interface of a replicated log for programs, filled by makeLogPort() or by a test. For use on one thread.
struct LogPort
{
    using Handler = std::function<void(LogReply &&reply)>;

    std::function<void(std::vector<std::byte> command, Handler handler)> propose;
    /// Calls the handler without failure once the state machine is confirmed to be up to date.
    std::function<void(Handler handler)> read;
    std::function<bool()> isLeader;
    std::function<std::uint64_t()> term; ///< term of the log; increases with each new leader
    std::function<std::string()> leaderHint; ///< name of the leading member; empty if unknown
};

} // namespace waxwing
