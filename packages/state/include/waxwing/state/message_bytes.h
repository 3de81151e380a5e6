#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace waxwing
{

/// @brief Encodes a protobuf message.
/// @param message any generated message
template<class Message>
std::vector<std::byte> encodeMessage(const Message &message)
{
    std::vector<std::byte> bytes(message.ByteSizeLong());
    message.SerializeWithCachedSizesToArray(reinterpret_cast<unsigned char *>(bytes.data()));
    return bytes;
}

/// @brief Decodes a protobuf message.
/// @param bytes encoded message
/// @param message receives the content
/// @return false if the bytes are not such a message
template<class Message>
bool decodeMessage(std::span<const std::byte> bytes, Message &message)
{
    return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace waxwing
