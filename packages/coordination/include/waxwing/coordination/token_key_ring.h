#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Keys for session tokens. The newest key signs; all keys verify, so that tokens stay valid after a rotation.
class TokenKeyRing
{
public:
    /// Minimum length of a secret, in bytes: the output size of SHA-256, below which HMAC loses strength.
    static constexpr std::size_t minSecretLength = 32;

    /// @brief Adds a key and signs with it from now on.
    /// @param id identifier contained in tokens; must not be in use by another key of the ring
    /// @param secret at least minSecretLength bytes
    /// @return false if the secret is too short or the identifier is in use
    bool rotate(std::uint32_t id, std::string secret);

    /// @brief Adds a key that only verifies, e.g. one that other proxies already sign with.
    /// @return false if the secret is too short or the identifier is in use
    bool addVerifying(std::uint32_t id, std::string secret);

    /// @brief Removes a key; tokens signed with it are no longer accepted.
    void retire(std::uint32_t id);

    /// @brief Identifier of the key that signs; nothing if the ring is empty.
    std::optional<std::uint32_t> signingKey() const;

    /// @brief Computes HMAC-SHA256 of a text.
    /// @return 32 bytes; nothing if the ring has no key @p id
    std::optional<std::string> sign(std::uint32_t id, std::string_view text) const;

    /// @brief Checks a signature in constant time.
    bool verify(std::uint32_t id, std::string_view text, std::string_view signature) const;

private:
    struct Key
    {
        std::uint32_t id;
        std::string secret;
    };

    bool isAcceptable(std::uint32_t id, std::string_view secret) const;

    std::vector<Key> m_keys; ///< the last one signs
};

} // namespace waxwing
