#include <waxwing/coordination/token_key_ring.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace waxwing
{

bool TokenKeyRing::isAcceptable(std::uint32_t id, std::string_view secret) const
{
    const bool isUsed = std::any_of(m_keys.begin(), m_keys.end(), [id](const Key &key) { return key.id == id; });
    return secret.size() >= minSecretLength && !isUsed;
}

bool TokenKeyRing::rotate(std::uint32_t id, std::string secret)
{
    if (!isAcceptable(id, secret)) {
        return false;
    }
    m_keys.push_back({id, std::move(secret)});
    return true;
}

bool TokenKeyRing::addVerifying(std::uint32_t id, std::string secret)
{
    if (!isAcceptable(id, secret)) {
        return false;
    }
    m_keys.insert(m_keys.begin(), {id, std::move(secret)});
    return true;
}

void TokenKeyRing::retire(std::uint32_t id)
{
    std::erase_if(m_keys, [id](const Key &key) { return key.id == id; });
}

std::optional<std::uint32_t> TokenKeyRing::signingKey() const
{
    return m_keys.empty() ? std::nullopt : std::optional(m_keys.back().id);
}

std::optional<std::string> TokenKeyRing::sign(std::uint32_t id, std::string_view text) const
{
    const auto key = std::find_if(m_keys.begin(), m_keys.end(), [id](const Key &candidate) { return candidate.id == id; });
    if (key == m_keys.end()) {
        return std::nullopt;
    }
    std::string signature(EVP_MAX_MD_SIZE, '\0');
    unsigned length = 0;
    const auto *result = HMAC(EVP_sha256(), key->secret.data(), static_cast<int>(key->secret.size()), reinterpret_cast<const unsigned char *>(text.data()),
                              text.size(), reinterpret_cast<unsigned char *>(signature.data()), &length);
    if (result == nullptr) {
        return std::nullopt;
    }
    signature.resize(length);
    return signature;
}

bool TokenKeyRing::verify(std::uint32_t id, std::string_view text, std::string_view signature) const
{
    const auto expected = sign(id, text);
    return expected && expected->size() == signature.size() && CRYPTO_memcmp(expected->data(), signature.data(), signature.size()) == 0;
}

} // namespace waxwing
