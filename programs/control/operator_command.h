#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief Operator command as given on the command line.
struct OperatorCommand
{
    std::string name; ///< apply, get, watch, status, check or explain
    std::vector<std::string> arguments;
    std::vector<std::string> addresses {"127.0.0.1:7500"}; ///< control processes
    std::string tokenFile; ///< may be empty for status
    std::string request; ///< request id for explain
    bool json = false;
    std::optional<std::uint64_t> from;
    std::optional<std::uint64_t> count;

    /// @brief Takes addresses separated by commas.
    void setAddresses(std::string_view list);

    /// @brief Takes the number of --from or --count.
    /// @return false if it is no whole number
    bool setNumber(bool isFrom, std::string_view text);
};

/// @brief Runs an operator command.
/// @return exit code: 0 success, 1 failure, 2 usage error
int runOperatorCommand(const OperatorCommand &command);

} // namespace waxwing::control
