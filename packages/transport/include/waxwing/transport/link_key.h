#pragma once

#include <waxwing/transport/transport_error.h>

#include <string>

namespace waxwing
{

/// @brief CURVE key pair that the processes of one deployment share; each key is 40 characters of Z85.
struct LinkKey
{
    std::string publicKey;
    std::string secretKey;

    /// @brief Tells whether the link runs without encryption, allowed for tests only.
    bool isEmpty() const
    {
        return publicKey.empty();
    }
};

/// @brief Reads a key file: the public key, then the secret key, one a line.
/// @param path path of the file
/// @return the key, or TransportError::KeyFileUnreadable, KeyFileExposed or KeyFileMalformed
TransportResult<LinkKey> loadLinkKey(const std::string &path);

/// @brief Creates a new key pair.
LinkKey makeLinkKey();

} // namespace waxwing
