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
    bool uncertain = false; ///< a write with an unknown outcome may have run, so only the primary may serve reads

    bool operator==(const SessionPosition &other) const = default;
};

/// @brief Latest write that a session has seen in each service, so that its reads include it. Positions only rise.
class SessionToken
{
public:
    using Positions = std::map<std::string, SessionPosition, std::less<>>;

    /// Maximum number of services in a token; bounds its size.
    static constexpr std::size_t maxServices = 64;
    /// Maximum length of the name of a service, in bytes.
    static constexpr std::size_t maxServiceLength = 255;

    /// @brief Position in a service; nothing if the session has not seen any.
    std::optional<SessionPosition> position(std::string_view service) const;

    /// @brief Raises the position of a service; a lower one is ignored. Does not change `uncertain`.
    /// @return false if the token is full or the name of the service is too long
    bool raise(std::string_view service, TermPosition seen);

    /// @brief Raises the position to that of a response from the primary in a valid term, and clears `uncertain`.
    /// @return false if the token is full or the name of the service is too long
    bool confirm(std::string_view service, TermPosition seen);

    /// @brief Records that a write with an unknown outcome may have run.
    /// @return false if the token is full or the name of the service is too long
    bool markUncertain(std::string_view service);

    /// @brief Resets the position to the current term, after the caller was informed that a write of the session is lost.
    void restart(std::string_view service, TermPosition seen);

    /// @brief Merges another token: keeps the higher position of each service, and `uncertain` if either token has it set.
    void merge(const SessionToken &other);

    /// @brief Number of services with a position.
    std::size_t size() const;

    /// @brief Positions by service.
    const Positions &positions() const;

    bool operator==(const SessionToken &other) const = default;

private:
    SessionPosition *findOrCreate(std::string_view service);

    Positions m_positions;
};

/// @brief Encodes and signs a token.
/// @return base64 text; empty if the ring has no key
std::string encodeSessionToken(const SessionToken &token, const TokenKeyRing &keys);

/// @brief Verifies and decodes a token.
/// @return the token, or nothing if the text is malformed or not signed with a key of the ring
std::optional<SessionToken> decodeSessionToken(std::string_view text, const TokenKeyRing &keys);

} // namespace waxwing
