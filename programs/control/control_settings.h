#pragma once

#include <waxwing/support/log.h>

#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief Name and addresses of one process of the control service.
struct ControlMember
{
    std::string name;
    std::string linkAddress; ///< IP:port of the ZeroMQ link
    std::string httpAddress; ///< IP:port of the operator API
};

/// @brief Settings of `waxwing-control serve`.
struct ControlSettings
{
    ControlMember self;
    std::vector<ControlMember> members; ///< all processes, including this one
    std::string failureDomain;
    std::string dataFolder;
    std::string tokenFile; ///< contains the bearer token of the operators
    std::string keyFile; ///< empty: the link is not encrypted
    std::string logFile;
    log::Level logLevel = log::Level::Info;
    std::vector<std::string> errors; ///< one sentence each, with file and line

    /// @brief Loads and checks a settings file.
    static ControlSettings load(const std::string &path);

    /// @brief Finds a member by its link address; null if there is none.
    const ControlMember *memberByLink(std::string_view linkAddress) const;
};

/// @brief Reads a secret from a file that must be accessible only to its owner.
/// @param path file with the secret in its first line
/// @param secret receives the secret
/// @return an error message; empty on success
std::string readSecret(const std::string &path, std::string &secret);

} // namespace waxwing::control
