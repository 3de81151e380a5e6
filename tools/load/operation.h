#pragma once

#include "arrival.h"

#include <waxwing/support/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing::load
{

/// @brief One step of an operation: one request.
struct Step
{
    enum class Kind {
        Statement,
        Begin,
        TransactionStatement,
        Commit,
        Rollback,
    };

    Kind kind = Kind::Statement;
    std::string statement;
    std::string key; ///< key of the statement
    std::string value; ///< value that it writes, unique in the run
};

/// @brief One operation in progress, with its retries.
struct Operation
{
    std::uint64_t identifier = 0;
    std::size_t arrival = 0; ///< index in the schedule
    const OperationClass *operationClass = nullptr;
    std::string service;
    TimePoint planned;
    std::size_t session = 0; ///< index of the session
    std::string idempotencyKey;
    std::vector<Step> steps;
    std::size_t step = 0; ///< index of the step in progress
    std::string transaction; ///< id from the response to begin
    unsigned attempt = 0; ///< attempts of the step in progress
    std::size_t proxy = 0; ///< index of the proxy of the attempt
};

/// @brief Session of a caller.
struct Session
{
    std::string token;
    std::size_t proxy = 0;
    std::string lastKey; ///< key that the session wrote last
};

} // namespace waxwing::load
