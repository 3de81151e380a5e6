#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace waxwing
{

/// Why a replicated log did not answer a proposal or a read.
enum class LogFailure {
    None,
    NotLeader, ///< the command was not proposed
    Overloaded, ///< the command was not proposed
    Unknown, ///< leadership was lost before the commit; the command may still be applied
};

/// @brief Answer of a replicated log.
struct LogReply
{
    LogFailure failure = LogFailure::None;
    std::vector<std::byte> result; ///< result of the state machine, without a failure
};

/// @brief What a program needs of a replicated log; filled by makeLogPort() or by a test. One thread.
struct LogPort
{
    using Handler = std::function<void(LogReply &&reply)>;

    std::function<void(std::vector<std::byte> command, Handler handler)> propose;
    /// Calls the handler without failure once the machine is proven to be up to date.
    std::function<void(Handler handler)> read;
    std::function<bool()> isLeader;
    std::function<std::uint64_t()> term; ///< term of the log; grows with each leader
    std::function<std::string()> leaderHint; ///< name of the leading member; empty if unknown
};

} // namespace waxwing
