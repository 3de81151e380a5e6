#include "property.h"

#include <waxwing/coordination/session_token.h>
#include <waxwing/coordination/token_key_ring.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

namespace
{

TokenKeyRing ringWithKey(std::uint32_t id)
{
    TokenKeyRing ring;
    CPPUNIT_ASSERT(ring.rotate(id, std::string(32, static_cast<char>('a' + id))));
    return ring;
}

SessionToken tokenFrom(const std::vector<std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, bool>> &entries)
{
    SessionToken token;
    for (const auto &[service, term, position, uncertain] : entries) {
        const auto name = "service-" + std::to_string(service % 8);
        token.raise(name, {term, position});
        if (uncertain) {
            token.markUncertain(name);
        }
    }
    return token;
}

using Entries = std::vector<std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, bool>>;

} // namespace

class SessionTokenTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionTokenTest);
    CPPUNIT_TEST(encodingRoundTrips);
    CPPUNIT_TEST(changedTokenIsRefused);
    CPPUNIT_TEST(rotationKeepsOldTokensUntilRetired);
    CPPUNIT_TEST(mergeOnlyRaises);
    CPPUNIT_TEST(uncertainUntilThePrimaryResponds);
    CPPUNIT_TEST(tokenIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stale read because a position, or the flag `uncertain`, is lost when a token is encoded and decoded.
    void encodingRoundTrips()
    {
        const auto ring = ringWithKey(1);
        checkProperty("decode(encode(token)) is the token", [&ring](const Entries &entries) {
            const auto token = tokenFrom(entries);
            RC_ASSERT(decodeSessionToken(encodeSessionToken(token, ring), ring) == token);
        });
    }

    // Guards against stale reads with a forged or corrupted token that is accepted.
    void changedTokenIsRefused()
    {
        const auto ring = ringWithKey(1);
        checkProperty("a changed token is refused", [&ring](const Entries &entries, std::uint32_t index, char other) {
            auto text = encodeSessionToken(tokenFrom(entries), ring);
            auto &character = text[index % text.size()];
            RC_PRE(character != other);
            character = other;
            const auto decoded = decodeSessionToken(text, ring);
            RC_ASSERT(!decoded.has_value());
        });
        checkProperty("any text is refused", [&ring](const std::string &text) { RC_ASSERT(!decodeSessionToken(text, ring)); });
        CPPUNIT_ASSERT(!decodeSessionToken("", ring));
        CPPUNIT_ASSERT(!decodeSessionToken("====", ring));
    }

    // Guards against a key rotation that invalidates the tokens of callers, and against a retired key that is still accepted.
    void rotationKeepsOldTokensUntilRetired()
    {
        auto ring = ringWithKey(1);
        const auto token = tokenFrom({{1, 3, 120, false}});
        const auto old = encodeSessionToken(token, ring);
        CPPUNIT_ASSERT(ring.rotate(2, std::string(32, 'z')));
        CPPUNIT_ASSERT(!ring.rotate(2, std::string(32, 'y')));
        CPPUNIT_ASSERT(!ring.rotate(3, "short"));
        CPPUNIT_ASSERT(ring.signingKey() == 2U);
        CPPUNIT_ASSERT(decodeSessionToken(old, ring) == token);
        CPPUNIT_ASSERT(encodeSessionToken(token, ring) != old);
        ring.retire(1);
        CPPUNIT_ASSERT(!decodeSessionToken(old, ring));
        CPPUNIT_ASSERT(encodeSessionToken(token, TokenKeyRing()).empty());
    }

    // Guards against a merge that lowers a position, so that a read returns older data than the session has seen.
    void mergeOnlyRaises()
    {
        checkProperty("merge yields the higher position and either flag", [](const Entries &first, const Entries &second) {
            const auto a = tokenFrom(first);
            const auto b = tokenFrom(second);
            auto merged = a;
            merged.merge(b);
            auto reversed = b;
            reversed.merge(a);
            RC_ASSERT(merged == reversed);
            for (const auto *part : {&a, &b}) {
                for (const auto &[service, position] : part->positions()) {
                    RC_ASSERT(merged.position(service)->seen >= position.seen);
                    RC_ASSERT(merged.position(service)->uncertain || !position.uncertain);
                }
            }
        });
    }

    // Guards against a stale read: after the response to a write is lost, a replica without that write serves the session.
    void uncertainUntilThePrimaryResponds()
    {
        SessionToken token;
        token.raise("orders", {3, 100});
        token.markUncertain("orders");
        token.raise("orders", {3, 110});
        CPPUNIT_ASSERT(token.position("orders")->uncertain);
        token.confirm("orders", {2, 500});
        CPPUNIT_ASSERT(token.position("orders")->uncertain);
        token.confirm("orders", {3, 105});
        CPPUNIT_ASSERT(!token.position("orders")->uncertain);
        CPPUNIT_ASSERT(token.position("orders")->seen == (TermPosition {3, 110}));
    }

    // Guards against tokens that grow without limit as a session uses more services.
    void tokenIsBounded()
    {
        SessionToken token;
        for (std::size_t i = 0; i < SessionToken::maxServices; ++i) {
            CPPUNIT_ASSERT(token.raise(std::to_string(i), {1, 1}));
        }
        CPPUNIT_ASSERT(!token.raise("one more", {1, 1}));
        CPPUNIT_ASSERT(!token.raise(std::string(256, 'x'), {1, 1}));
        CPPUNIT_ASSERT_EQUAL(SessionToken::maxServices, token.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTokenTest);
