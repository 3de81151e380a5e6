#pragma once

#include <waxwing/support/log.h>

#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief One process of the control service.
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
    std::vector<ControlMember> members; ///< all processes, this one included
    std::string failureDomain;
    std::string dataFolder;
    std::string tokenFile;
    std::string keyFile; ///< empty: the link is not encrypted
    std::string logFile;
    log::Level logLevel = log::Level::Info;
    std::vector<std::string> errors; ///< one sentence each, with file and line

    /// @brief Loads and checks a settings file.
    static ControlSettings load(const std::string &path);

    /// @brief Finds a member by its link address; null if there is none.
    const ControlMember *memberByLink(std::string_view linkAddress) const;
};

/// @brief Reads a secret that only the owner of the file may read.
/// @param path file with the secret in its first line
/// @param secret receives the text
/// @return a problem, or an empty text
std::string readSecret(const std::string &path, std::string &secret);

} // namespace waxwing::control
