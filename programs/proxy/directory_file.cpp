#include "directory_file.h"

#include <waxwing/support/identifier.h>

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace waxwing
{

namespace
{

constexpr std::size_t checksumLength = 16;

std::string pathIn(const std::string &folder)
{
    return folder + "/directory.bin";
}

bool writeSynced(const std::string &path, const std::string &content)
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) {
        return false;
    }
    std::size_t written = 0;
    while (written < content.size()) {
        const auto size = ::write(file, content.data() + written, content.size() - written);
        if (size <= 0) {
            break;
        }
        written += static_cast<std::size_t>(size);
    }
    const bool isSynced = written == content.size() && ::fsync(file) == 0;
    return ::close(file) == 0 && isSynced;
}

bool syncFolder(const std::string &folder)
{
    const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0) {
        return false;
    }
    const bool isSynced = ::fsync(handle) == 0;
    ::close(handle);
    return isSynced;
}

} // namespace

bool storeDirectory(const std::string &folder, const wire::Grant &grant)
{
    const auto content = grant.SerializeAsString();
    const auto temporary = pathIn(folder) + ".new";
    return writeSynced(temporary, toHex(hash64(content)) + content) && std::rename(temporary.c_str(), pathIn(folder).c_str()) == 0 && syncFolder(folder);
}

std::optional<wire::Grant> loadDirectory(const std::string &folder)
{
    std::ifstream file(pathIn(folder), std::ios::binary);
    std::ostringstream out;
    out << file.rdbuf();
    const auto content = out.str();
    if (content.size() < checksumLength || toHex(hash64(std::string_view(content).substr(checksumLength))) != content.substr(0, checksumLength)) {
        return std::nullopt;
    }
    wire::Grant grant;
    if (!grant.ParseFromString(content.substr(checksumLength))) {
        return std::nullopt;
    }
    return grant;
}

} // namespace waxwing
