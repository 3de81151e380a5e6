#include <waxwing/coordination/session_token.h>
#include <waxwing/coordination/token_key_ring.h>

#include <openssl/evp.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// Layout: version, key id and number of services; for each service length and text of its name, term, position and flags;
// at the end the HMAC-SHA256.
constexpr std::uint8_t formatVersion = 1;
constexpr std::size_t signatureLength = 32;
constexpr std::uint8_t uncertainFlag = 1;
constexpr std::size_t maxTextLength = 32'768;

void appendNumber(std::string &out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t i = 0; i < bytes; ++i) {
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    }
}

class Reader
{
public:
    explicit Reader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    std::uint64_t number(std::size_t length)
    {
        std::uint64_t value = 0;
        const auto part = text(length);
        for (std::size_t i = 0; i < part.size(); ++i) {
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(part[i])) << (8 * i);
        }
        return value;
    }

    std::string_view text(std::size_t length)
    {
        if (length > m_bytes.size()) {
            m_failed = true;
            return {};
        }
        const auto part = m_bytes.substr(0, length);
        m_bytes.remove_prefix(length);
        return part;
    }

    bool isComplete() const
    {
        return !m_failed && m_bytes.empty();
    }

    bool hasFailed() const
    {
        return m_failed;
    }

private:
    std::string_view m_bytes;
    bool m_failed = false;
};

std::string toBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.empty() || text.size() % 4 != 0 || text.size() > maxTextLength) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0 || static_cast<std::size_t>(length) != bytes.size()) {
        return std::nullopt;
    }
    // EVP_DecodeBlock decodes padding to zero bytes.
    const auto padding = static_cast<std::size_t>(text.back() == '=') + static_cast<std::size_t>(text[text.size() - 2] == '=');
    bytes.resize(bytes.size() - padding);
    // The decoder ignores unused bits of the last character, so encode again to accept only the canonical text.
    return toBase64(bytes) == text ? std::optional(std::move(bytes)) : std::nullopt;
}

} // namespace

std::optional<SessionPosition> SessionToken::position(std::string_view service) const
{
    const auto found = m_positions.find(service);
    return found == m_positions.end() ? std::nullopt : std::optional(found->second);
}

SessionPosition *SessionToken::findOrCreate(std::string_view service)
{
    const auto found = m_positions.find(service);
    if (found != m_positions.end()) {
        return &found->second;
    }
    if (m_positions.size() >= maxServices || service.size() > maxServiceLength) {
        return nullptr;
    }
    return &m_positions.emplace(std::string(service), SessionPosition {}).first->second;
}

bool SessionToken::raise(std::string_view service, TermPosition seen)
{
    auto *position = findOrCreate(service);
    if (position == nullptr) {
        return false;
    }
    position->seen = std::max(position->seen, seen);
    return true;
}

bool SessionToken::confirm(std::string_view service, TermPosition seen)
{
    auto *position = findOrCreate(service);
    if (position == nullptr) {
        return false;
    }
    // A response of an earlier term than the one seen does not show whether the uncertain write has run.
    if (seen.term >= position->seen.term) {
        position->uncertain = false;
    }
    position->seen = std::max(position->seen, seen);
    return true;
}

bool SessionToken::markUncertain(std::string_view service)
{
    auto *position = findOrCreate(service);
    if (position == nullptr) {
        return false;
    }
    position->uncertain = true;
    return true;
}

void SessionToken::restart(std::string_view service, TermPosition seen)
{
    if (auto *position = findOrCreate(service)) {
        *position = {.seen = seen, .uncertain = false};
    }
}

void SessionToken::merge(const SessionToken &other)
{
    for (const auto &[service, otherPosition] : other.m_positions) {
        if (auto *ownPosition = findOrCreate(service)) {
            ownPosition->seen = std::max(ownPosition->seen, otherPosition.seen);
            ownPosition->uncertain = ownPosition->uncertain || otherPosition.uncertain;
        }
    }
}

std::size_t SessionToken::size() const
{
    return m_positions.size();
}

const SessionToken::Positions &SessionToken::positions() const
{
    return m_positions;
}

std::string encodeSessionToken(const SessionToken &token, const TokenKeyRing &keys)
{
    const auto key = keys.signingKey();
    if (!key) {
        return {};
    }
    std::string bytes;
    appendNumber(bytes, formatVersion, 1);
    appendNumber(bytes, *key, 4);
    appendNumber(bytes, token.size(), 1);
    for (const auto &[service, position] : token.positions()) {
        appendNumber(bytes, service.size(), 1);
        bytes += service;
        appendNumber(bytes, position.seen.term, 8);
        appendNumber(bytes, position.seen.position, 8);
        appendNumber(bytes, position.uncertain ? uncertainFlag : 0, 1);
    }
    bytes += keys.sign(*key, bytes).value_or(std::string());
    return toBase64(bytes);
}

std::optional<SessionToken> decodeSessionToken(std::string_view text, const TokenKeyRing &keys)
{
    const auto bytes = fromBase64(text);
    if (!bytes || bytes->size() < signatureLength) {
        return std::nullopt;
    }
    const auto content = std::string_view(*bytes).substr(0, bytes->size() - signatureLength);
    Reader reader(content);
    const auto version = reader.number(1);
    const auto key = static_cast<std::uint32_t>(reader.number(4));
    if (reader.hasFailed() || version != formatVersion || !keys.verify(key, content, std::string_view(*bytes).substr(content.size()))) {
        return std::nullopt;
    }
    SessionToken token;
    const auto count = reader.number(1);
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::string service(reader.text(reader.number(1)));
        const auto term = reader.number(8);
        const TermPosition seen {.term = term, .position = reader.number(8)};
        const bool uncertain = (reader.number(1) & uncertainFlag) != 0;
        if (reader.hasFailed() || !token.raise(service, seen)) {
            return std::nullopt;
        }
        if (uncertain) {
            token.markUncertain(service);
        }
    }
    return reader.isComplete() ? std::optional(std::move(token)) : std::nullopt;
}

} // namespace waxwing
