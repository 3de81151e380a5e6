#pragma once

#include <waxwing/coordination/work_class.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace waxwing
{

struct GroupMember;
class HttpConnection;

/// @brief One statement that an endpoint has, until it answers or its connection ends. It may outlive the answer to its caller.
struct StatementAttempt
{
    std::uint64_t run = 0;
    GroupMember *member = nullptr;
    HttpConnection *connection = nullptr;
    std::string correlation;
    std::uint64_t term = 0;
    std::uint64_t knownPosition = 0; ///< of the database when it was sent; an answer from before it shows lost data
    TimePoint startedAt {};
    bool holdsSlot = false;
    bool isPinned = false; ///< the connection belongs to a transaction
    std::string transaction; ///< identifier of that transaction
    bool isWrite = false;
    WorkClass workClass = WorkClass::Short;
    Duration predictedCost {};
    std::uint64_t fingerprint = 0;
    std::string service;
    std::string caller;
};

} // namespace waxwing
