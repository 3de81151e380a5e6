#include "statement.h"

#include <charconv>
#include <vector>

namespace waxwing::standin
{

namespace
{

constexpr std::string_view costPrefix = "cost=";
constexpr double maxCostMilliseconds = 600'000;

std::vector<std::string_view> splitWords(std::string_view text)
{
    std::vector<std::string_view> words;
    std::size_t begin = 0;
    while ((begin = text.find_first_not_of(' ', begin)) != std::string_view::npos) {
        const auto end = std::min(text.find(' ', begin), text.size());
        words.push_back(text.substr(begin, end - begin));
        begin = end;
    }
    return words;
}

std::optional<Duration> parseCost(std::string_view word)
{
    double milliseconds = 0;
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), milliseconds);
    if (error != std::errc() || end != word.data() + word.size() || !(milliseconds >= 0 && milliseconds <= maxCostMilliseconds)) {
        return std::nullopt;
    }
    return Duration(static_cast<Duration::rep>(milliseconds * 1e6));
}

std::optional<Statement::Verb> parseVerb(std::string_view word)
{
    if (word == "write") {
        return Statement::Verb::Write;
    }
    if (word == "append") {
        return Statement::Verb::Append;
    }
    if (word == "read") {
        return Statement::Verb::Read;
    }
    if (word == "scan") {
        return Statement::Verb::Scan;
    }
    return std::nullopt;
}

} // namespace

std::optional<Statement> parseStatement(std::string_view text)
{
    auto words = splitWords(text);
    Statement statement;
    if (!words.empty() && words.back().starts_with(costPrefix)) {
        statement.cost = parseCost(words.back().substr(costPrefix.size()));
        if (!statement.cost) {
            return std::nullopt;
        }
        words.pop_back();
    }
    if (words.size() < 2) {
        return std::nullopt;
    }
    const auto verb = parseVerb(words[0]);
    if (!verb) {
        return std::nullopt;
    }
    statement.verb = *verb;
    statement.key = words[1];
    if (words.size() != (statement.isWrite() ? 3U : 2U)) {
        return std::nullopt;
    }
    if (statement.isWrite()) {
        statement.value = words[2];
    }
    return statement;
}

} // namespace waxwing::standin
