#pragma once

#include <cstdint>
#include <string>

namespace waxwing::load
{

/// @brief One attempt of one step, from the caller history.
struct CallerRecord
{
    std::string operation; ///< identifies the operation over its steps and attempts
    std::string service;
    std::string step;
    std::string key;
    std::string value; ///< value that the statement writes
    std::string session;
    std::string freshness;
    std::int64_t maxAge = 0; ///< microseconds
    bool isWrite = false;
    bool isScan = false;
    std::int64_t sent = 0; ///< microseconds
    std::int64_t received = 0;
    std::string outcome;
    std::string reason;
    std::string result;
    std::string servedBy;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    std::uint64_t status = 0; ///< HTTP status, 0 without a response
};

} // namespace waxwing::load
