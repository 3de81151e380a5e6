#include <waxwing/sessions/connection_assignment.h>

#include <algorithm>
#include <map>

namespace waxwing::connection_assignment
{

namespace
{

// Statements of another workspace that may be served ahead of the first one because a connection of theirs is free. Opening a
// connection takes as long as about this many statements.
constexpr std::uint64_t maxTagsAhead = 4;

bool accepts(const Waiting &waiting, std::string_view workspace)
{
    return !waiting.workspace || *waiting.workspace == workspace;
}

} // namespace

std::optional<std::size_t> chooseWaiting(std::span<const Waiting> waiting, std::string_view workspace)
{
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        const bool soon = waiting[i].rank == waiting.front().rank && waiting[i].tag <= waiting.front().tag + maxTagsAhead;
        if (!soon) {
            break;
        }
        if (accepts(waiting[i], workspace)) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> chooseEvicted(std::span<const Idle> idle, std::string_view workspace)
{
    std::map<std::string_view, std::size_t> counts;
    for (const auto &connection : idle) {
        ++counts[connection.workspace];
    }
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < idle.size(); ++i) {
        if (idle[i].workspace == workspace) {
            continue;
        }
        const auto count = counts[idle[i].workspace];
        const auto chosenCount = chosen ? counts[idle[*chosen].workspace] : 0;
        if (!chosen || count > chosenCount || (count == chosenCount && idle[i].since < idle[*chosen].since)) {
            chosen = i;
        }
    }
    return chosen;
}

std::vector<std::string> missingConnections(std::span<const Waiting> waiting, std::span<const std::string> opening, std::string_view fallback)
{
    std::map<std::string_view, std::size_t> coming;
    for (const auto &workspace : opening) {
        ++coming[workspace];
    }
    std::vector<std::string> missing;
    for (const auto &one : waiting) {
        auto &count = coming[one.workspace.value_or(fallback)];
        if (count != 0) {
            --count;
        } else {
            missing.emplace_back(one.workspace.value_or(fallback));
        }
    }
    return missing;
}

} // namespace waxwing::connection_assignment
