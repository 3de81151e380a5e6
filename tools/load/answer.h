#pragma once

#include <cstdint>
#include <string>

namespace waxwing::load
{

/// @brief Outcome of one request as the caller sees it.
struct Answer
{
    std::string outcome = "none"; ///< `done`, `failed`, `not-run`, `unknown`, or `none` without a readable response
    std::string reason;
    std::string value; ///< result of a read
    std::string session; ///< new session token
    std::string transaction; ///< id of a new transaction
    std::string servedBy;
    std::string role;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    unsigned status = 0; ///< HTTP status
};

} // namespace waxwing::load
