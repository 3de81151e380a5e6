#include <waxwing/coordination/fingerprint.h>
#include <waxwing/support/identifier.h>

namespace waxwing
{

namespace
{

// Longer statements are truncated, so that a large statement does not result in a large fingerprint.
constexpr std::size_t maxStatementLength = 4096;

bool isSpace(char character)
{
    return character == ' ' || character == '\t' || character == '\n' || character == '\r';
}

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/// Returns the index after the word or quoted string that starts at @p start.
std::size_t endOfWord(std::string_view text, std::size_t start)
{
    std::size_t i = start;
    while (i < text.size() && !isSpace(text[i])) {
        if (text[i] == '\'' || text[i] == '"') {
            const auto closingQuote = text.find(text[i], i + 1);
            i = closingQuote == std::string_view::npos ? text.size() : closingQuote + 1;
        } else {
            ++i;
        }
    }
    return i;
}

void appendWord(std::string &out, std::string_view word)
{
    for (std::size_t i = 0; i < word.size();) {
        if (word[i] == '\'' || word[i] == '"') {
            const auto closingQuote = word.find(word[i], i + 1);
            i = closingQuote == std::string_view::npos ? word.size() : closingQuote + 1;
            out.push_back('?');
        } else if (isDigit(word[i])) {
            while (i < word.size() && isDigit(word[i])) {
                ++i;
            }
            out.push_back('?');
        } else {
            out.push_back(word[i]);
            ++i;
        }
    }
}

} // namespace

std::string fingerprintText(std::string_view statement)
{
    statement = statement.substr(0, maxStatementLength);
    std::string out;
    std::size_t wordCount = 0;
    for (std::size_t i = 0; i < statement.size();) {
        if (isSpace(statement[i])) {
            ++i;
            continue;
        }
        const auto end = endOfWord(statement, i);
        if (wordCount > 0) {
            out.push_back(' ');
        }
        if (wordCount < 2) {
            appendWord(out, statement.substr(i, end - i));
        } else {
            out.push_back('?');
        }
        ++wordCount;
        i = end;
    }
    return out;
}

std::uint64_t fingerprint(std::string_view statement)
{
    return hash64(fingerprintText(statement));
}

} // namespace waxwing
