// Issues a session token, accepts it after a key rotation, and tells whether a write survived a change of primary.
#include <waxwing/coordination/session_token.h>
#include <waxwing/coordination/term_history.h>
#include <waxwing/coordination/token_key_ring.h>

#include <cstdio>

using namespace waxwing;

int main()
{
    TokenKeyRing keys;
    keys.rotate(1, "an example secret of at least 32 bytes");
    SessionToken token;
    token.raise("orders", {.term = 3, .position = 120});
    const auto text = encodeSessionToken(token, keys);
    keys.rotate(2, "another example secret of 32 or more bytes");
    const auto decoded = decodeSessionToken(text, keys);
    if (!decoded) {
        return 1;
    }
    TermHistory history;
    history.add({.term = 3, .start = 96});
    history.add({.term = 4, .start = 110});
    const bool isLost = history.fate(decoded->position("orders")->seen) == WriteFate::Lost;
    std::printf("the write at position 120 of term 3 is %s\n", isLost ? "lost" : "kept");
    return isLost ? 0 : 1;
}
