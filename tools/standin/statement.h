#pragma once

#include <waxwing/support/time.h>

#include <optional>
#include <string>
#include <string_view>

namespace waxwing::standin
{

/// @brief One parsed statement of the stand-in's language.
struct Statement
{
    enum class Verb {
        Write,
        Append,
        Read,
        Scan,
    };

    Verb verb = Verb::Read;
    std::string key; ///< the prefix for a scan
    std::string value; ///< for write and append
    std::optional<Duration> cost; ///< time on the database, if stated

    /// @brief Tells whether the statement changes data.
    bool isWrite() const
    {
        return verb == Verb::Write || verb == Verb::Append;
    }
};

/// @brief Parses `write KEY VALUE`, `append KEY VALUE`, `read KEY` or `scan PREFIX`, each with an optional `cost=MS`.
/// @param text the statement
/// @return the statement, or nothing if it is not valid
std::optional<Statement> parseStatement(std::string_view text);

} // namespace waxwing::standin
