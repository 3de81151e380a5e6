#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief Operator command with its options from the command line.
struct OperatorCommand
{
    std::string name; ///< apply, get, watch, status, check or explain
    std::vector<std::string> arguments;
    std::vector<std::string> addresses {"127.0.0.1:7500"}; ///< control processes
    std::string tokenFile; ///< may be empty for status
    std::string request; ///< request id for explain
    bool json = false;
    std::optional<std::uint64_t> from; ///< configuration version after which changes are watched
    std::optional<std::uint64_t> count; ///< number of changes after which watching stops

    /// @brief Sets the addresses from a list separated by commas.
    void setAddresses(std::string_view list);

    /// @brief Sets the number of --from or --count.
    /// @return false if the text is not a whole number
    bool setNumber(bool isFrom, std::string_view text);
};

/// @brief Runs an operator command.
/// @return exit code: 0 success, 1 failure, 2 usage error
int runOperatorCommand(const OperatorCommand &command);

} // namespace waxwing::control
