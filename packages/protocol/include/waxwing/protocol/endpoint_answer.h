#pragma once

#include <cstdint>
#include <string>

namespace waxwing
{

/// @brief Response of an endpoint to a statement or a step of a transaction.
struct EndpointAnswer
{
    enum class Outcome {
        Done,
        Failed, ///< ran, the database reported an error
        Rejected, ///< did not run
    };

    std::string correlationId;
    Outcome outcome = Outcome::Done;
    std::string reason;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    std::string resultJson;
};

} // namespace waxwing
