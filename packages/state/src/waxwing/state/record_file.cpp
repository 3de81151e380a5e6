#include <waxwing/state/record_file.h>

#include <xxhash.h>

#include <bit>
#include <cstring>

namespace waxwing
{

namespace
{

static_assert(std::endian::native == std::endian::little, "records are stored little-endian");

constexpr std::string_view magic = "WxR1";
constexpr std::size_t lengthOffset = 4;
constexpr std::size_t syncedOffsetOffset = 8;
constexpr std::size_t checksumOffset = 16;

struct Record
{
    std::string_view payload;
    std::uint64_t syncedOffset = 0;
};

template<class Number>
Number load(std::string_view bytes, std::size_t offset)
{
    Number number;
    std::memcpy(&number, bytes.data() + offset, sizeof(number));
    return number;
}

std::uint64_t checksum(std::string_view header, std::string_view payload, std::uint64_t offset)
{
    const auto seed = XXH64(header.data(), checksumOffset, offset);
    return XXH64(payload.data(), payload.size(), seed);
}

std::optional<Record> readRecord(std::string_view content, std::uint64_t offset)
{
    const auto rest = content.substr(offset);
    if (rest.size() < recordHeaderBytes || !rest.starts_with(magic)) {
        return std::nullopt;
    }
    const auto length = load<std::uint32_t>(rest, lengthOffset);
    if (length > recordPayloadLimit || length > rest.size() - recordHeaderBytes) {
        return std::nullopt;
    }
    const auto payload = rest.substr(recordHeaderBytes, length);
    if (load<std::uint64_t>(rest, checksumOffset) != checksum(rest, payload, offset)) {
        return std::nullopt;
    }
    return Record {payload, load<std::uint64_t>(rest, syncedOffsetOffset)};
}

bool wasDurable(std::string_view content, std::uint64_t offset)
{
    for (auto next = content.find(magic, offset + 1); next != std::string_view::npos; next = content.find(magic, next + 1)) {
        const auto record = readRecord(content, next);
        if (record && record->syncedOffset > offset) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string encodeRecord(std::string_view payload, std::uint64_t offset, std::uint64_t syncedOffset)
{
    std::string record(recordHeaderBytes, '\0');
    const auto length = static_cast<std::uint32_t>(payload.size());
    std::memcpy(record.data(), magic.data(), magic.size());
    std::memcpy(record.data() + lengthOffset, &length, sizeof(length));
    std::memcpy(record.data() + syncedOffsetOffset, &syncedOffset, sizeof(syncedOffset));
    const auto sum = checksum(record, payload, offset);
    std::memcpy(record.data() + checksumOffset, &sum, sizeof(sum));
    record += payload;
    return record;
}

RecordScan scanRecords(std::string_view content, const std::function<void(std::string_view payload)> &visit)
{
    RecordScan scan;
    while (scan.validBytes < content.size()) {
        const auto record = readRecord(content, scan.validBytes);
        if (!record) {
            if (wasDurable(content, scan.validBytes)) {
                scan.corruptOffset = scan.validBytes;
            }
            break;
        }
        visit(record->payload);
        scan.validBytes += recordHeaderBytes + record->payload.size();
        ++scan.records;
    }
    return scan;
}

} // namespace waxwing
