#include "control_settings.h"

#include <waxwing/support/settings.h>

#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace waxwing::control
{

namespace
{

constexpr std::size_t maxMembers = 8;

} // namespace

ControlSettings ControlSettings::load(const std::string &path)
{
    ControlSettings result;
    auto settings = Settings::load(path);
    result.self.name = settings.text("control.name");
    result.self.linkAddress = settings.text("control.link");
    result.self.httpAddress = settings.text("control.http");
    result.failureDomain = settings.text("control.failure_domain");
    result.dataFolder = settings.text("control.data");
    result.tokenFile = settings.text("operator.token_file");
    result.keyFile = settings.text("link.key_file", {});
    result.logFile = settings.text("log.file", {});
    result.logLevel = settings.logLevel();
    const auto members = settings.texts("control.members");
    settings.refuseUnknownKeys();
    result.errors = settings.errors();
    for (const auto &line : members) {
        std::istringstream fields(line);
        ControlMember member;
        std::string rest;
        if (!(fields >> member.name >> member.linkAddress >> member.httpAddress) || fields >> rest) {
            result.errors.push_back(path + ": control.members: \"" + line + "\" must be \"NAME LINK-ADDRESS HTTP-ADDRESS\"");
            continue;
        }
        result.members.push_back(member);
    }
    if (result.members.empty() && members.empty()) {
        result.members.push_back(result.self);
    }
    const auto self = std::find_if(result.members.begin(), result.members.end(), [&](const ControlMember &member) { return member.name == result.self.name; });
    if (self == result.members.end()) {
        result.errors.push_back(path + ": control.members: expected an entry for control.name \"" + result.self.name + "\"");
    }
    if (result.members.size() > maxMembers) {
        result.errors.push_back(path + ": control.members: expected at most 8 members, got " + std::to_string(result.members.size()));
    }
    return result;
}

const ControlMember *ControlSettings::memberByLink(std::string_view linkAddress) const
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const ControlMember &member) { return member.linkAddress == linkAddress; });
    return found == members.end() ? nullptr : &*found;
}

std::string readSecret(const std::string &path, std::string &secret)
{
    struct stat status
    {
    };
    if (::stat(path.c_str(), &status) != 0) {
        return path + ": file not found or not accessible";
    }
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return path + ": file must not be accessible to group or others";
    }
    std::ifstream file(path);
    if (!std::getline(file, secret) || secret.empty()) {
        return path + ": expected the secret in the first line, which is missing or empty";
    }
    return {};
}

} // namespace waxwing::control
