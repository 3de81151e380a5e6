#include <waxwing/state/compression.h>

#include <zlib.h>

#include <array>
#include <utility>

namespace waxwing
{

namespace
{

constexpr int gzipWindowBits = MAX_WBITS + 16; // 16 selects the gzip format
constexpr int memoryLevel = 8; // the default of zlib
constexpr std::size_t chunkBytes = std::size_t(64) << 10;

// zlib does not write to its input, but its interface lacks the const.
Bytef *inputOf(std::string_view data)
{
    return reinterpret_cast<Bytef *>(const_cast<char *>(data.data()));
}

} // namespace

std::string compress(std::string_view data)
{
    z_stream stream {};
    std::string result;
    if (deflateInit2(&stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, gzipWindowBits, memoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
        return result;
    }
    result.resize(deflateBound(&stream, data.size()));
    stream.next_in = inputOf(data);
    stream.avail_in = static_cast<uInt>(data.size());
    stream.next_out = reinterpret_cast<Bytef *>(result.data());
    stream.avail_out = static_cast<uInt>(result.size());
    const bool isComplete = deflate(&stream, Z_FINISH) == Z_STREAM_END;
    result.resize(isComplete ? stream.total_out : 0);
    deflateEnd(&stream);
    return result;
}

std::optional<std::string> decompress(std::string_view data, std::size_t limit)
{
    z_stream stream {};
    if (inflateInit2(&stream, gzipWindowBits) != Z_OK) {
        return std::nullopt;
    }
    stream.next_in = inputOf(data);
    stream.avail_in = static_cast<uInt>(data.size());
    std::string result;
    std::array<char, chunkBytes> chunk;
    int status = Z_OK;
    while (status == Z_OK) {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = inflate(&stream, Z_NO_FLUSH);
        const auto size = chunk.size() - stream.avail_out;
        if (size > limit - result.size()) {
            status = Z_BUF_ERROR;
        } else {
            result.append(chunk.data(), size);
        }
    }
    inflateEnd(&stream);
    // Without Z_STREAM_END the input is cut or damaged: the checksum behind the data was not verified.
    return status == Z_STREAM_END ? std::optional(std::move(result)) : std::nullopt;
}

} // namespace waxwing
