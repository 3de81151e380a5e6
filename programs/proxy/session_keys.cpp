#include "session_keys.h"

#include <sys/stat.h>

#include <charconv>
#include <fstream>

namespace waxwing
{

std::variant<TokenKeyRing, std::string> loadSessionKeys(const std::string &path)
{
    struct stat status = {};
    std::ifstream file(path);
    if (!file || ::stat(path.c_str(), &status) != 0) {
        return path + ": can't open the session key file";
    }
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return path + ": the session key file must not be accessible to group or others";
    }
    TokenKeyRing keys;
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        if (line.empty()) {
            continue;
        }
        std::uint32_t id = 0;
        const auto *end = line.data() + line.size();
        const auto parsed = std::from_chars(line.data(), end, id);
        const bool isSeparated = parsed.ec == std::errc() && parsed.ptr != end && *parsed.ptr == ' ';
        if (!isSeparated || !keys.rotate(id, std::string(parsed.ptr + 1, end))) {
            return path + ":" + std::to_string(number) + ": must be a unique number and a secret of at least " + std::to_string(TokenKeyRing::minSecretLength)
                + " bytes, separated by a space";
        }
    }
    if (!keys.signingKey()) {
        return path + ": the session key file holds no key";
    }
    return keys;
}

} // namespace waxwing
