#pragma once

#include <waxwing/protocol/session_statement.h>

#include <string>

namespace waxwing
{

/// @brief One message of a caller.
struct SessionRequest
{
    enum class Kind {
        Start,
        Statement,
        Terminate,
        Malformed,
    };

    Kind kind = Kind::Malformed;
    std::string database; ///< Start
    std::string key; ///< Start; API key of the caller, empty if it stated none
    SessionStatement statement; ///< Statement
};

} // namespace waxwing
