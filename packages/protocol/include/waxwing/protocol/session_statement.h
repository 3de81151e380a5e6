#pragma once

#include <string>

namespace waxwing
{

/// @brief One statement of a session, decoded.
struct SessionStatement
{
    enum class Kind {
        Begin,
        BeginReadOnly,
        Commit,
        Rollback,
        Read,
        Write,
        SetValue,
        Prepare,
        Execute,
        Deallocate,
        Unreadable,
    };

    Kind kind = Kind::Unreadable;
    std::string id; ///< request id of the caller
    std::string text; ///< as the caller sent it
    std::string name; ///< SetValue: name of the value; Prepare, Execute, Deallocate: the caller's name of the statement
    std::string value; ///< SetValue
    bool writes = false; ///< Prepare: the statement writes
    std::string shape; ///< Prepare: what the statement does
    std::string arguments; ///< Execute: the text after the name, with the blank before it
};

} // namespace waxwing
