#pragma once

#include <waxwing/coordination/term_position.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing
{

class TokenKeyRing;

/// @brief Latest write that a session has seen in one service.
struct SessionPosition
{
    TermPosition seen {};
    bool uncertain = false; ///< a write of the session may have run; only the primary may serve its reads

    bool operator==(const SessionPosition &other) const = default;
};

/// @brief What a session has seen, per service. Positions only rise.
class SessionToken
{
public:
    using Positions = std::map<std::string, SessionPosition, std::less<>>;

    /// Largest number of services in a token; bounds its size.
    static constexpr std::size_t maxServices = 64;
    /// Longest name of a service, in bytes.
    static constexpr std::size_t maxServiceLength = 255;

    /// @brief Position in a service; nothing if the session has seen none.
    std::optional<SessionPosition> position(std::string_view service) const;

    /// @brief Raises the position of a service; a lower one is ignored. The flag `uncertain` stays.
    /// @return false if the token is full or the name of the service is too long
    bool raise(std::string_view service, TermPosition seen);

    /// @brief Raises the position to that of a response of the primary in a valid term, and clears `uncertain`.
    /// @return false if the token is full or the name of the service is too long
    bool confirm(std::string_view service, TermPosition seen);

    /// @brief Notes that a write of the session may have run.
    /// @return false if the token is full or the name of the service is too long
    bool markUncertain(std::string_view service);

    /// @brief Restarts the session in the current term, after it was told that its write is lost.
    void restart(std::string_view service, TermPosition seen);

    /// @brief Takes over what another token has seen; each position only rises, `uncertain` of either token stays.
    void merge(const SessionToken &other);

    /// @brief Number of services.
    std::size_t size() const;

    /// @brief Positions by service.
    const Positions &positions() const;

    bool operator==(const SessionToken &other) const = default;

private:
    SessionPosition *entry(std::string_view service);

    Positions m_positions;
};

/// @brief Encodes and signs a token.
/// @return base64 text, or an empty text if the ring has no key
std::string encodeSessionToken(const SessionToken &token, const TokenKeyRing &keys);

/// @brief Verifies and decodes a token.
/// @return nothing if the text is malformed or not signed by a key of the ring
std::optional<SessionToken> decodeSessionToken(std::string_view text, const TokenKeyRing &keys);

} // namespace waxwing
