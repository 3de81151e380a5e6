#include <waxwing/state/snapshot_file.h>

#include <xxhash.h>

#include <cstdint>
#include <cstring>

namespace waxwing
{

namespace
{

constexpr std::string_view magic = "WxSnap01";
constexpr std::size_t headerBytes = 24;

} // namespace

std::string encodeSnapshotFile(std::string_view payload)
{
    const std::uint64_t length = payload.size();
    const std::uint64_t checksum = XXH64(payload.data(), payload.size(), 0);
    std::string content(magic);
    content.append(reinterpret_cast<const char *>(&length), sizeof(length));
    content.append(reinterpret_cast<const char *>(&checksum), sizeof(checksum));
    content.append(payload);
    return content;
}

std::optional<std::string_view> decodeSnapshotFile(std::string_view content)
{
    if (content.size() < headerBytes || !content.starts_with(magic)) {
        return std::nullopt;
    }
    std::uint64_t length = 0;
    std::uint64_t checksum = 0;
    std::memcpy(&length, content.data() + magic.size(), sizeof(length));
    std::memcpy(&checksum, content.data() + magic.size() + sizeof(length), sizeof(checksum));
    const auto payload = content.substr(headerBytes);
    if (payload.size() != length || XXH64(payload.data(), payload.size(), 0) != checksum) {
        return std::nullopt;
    }
    return payload;
}

std::string folderOf(const std::string &path)
{
    const auto slash = path.rfind('/');
    return slash == std::string::npos ? std::string(".") : path.substr(0, slash);
}

} // namespace waxwing
