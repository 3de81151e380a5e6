#include "group_truth.h"

#include <algorithm>

namespace waxwing::load
{

void GroupTruth::add(const DatabaseEvent &event)
{
    if (event.event == "apply") {
        m_applied.push_back(event);
    } else if (event.event == "read") {
        m_reads.push_back(event);
    } else if (event.event == "reject") {
        ++m_rejections[event.reason];
        if (event.reason == "leaving") {
            m_problems.push_back("leaving: " + event.database + " was sent work more than 2 s after it announced that it leaves");
        }
    } else if (event.event == "promote" && !event.terms.empty()) {
        const auto [entry, isNew] = m_promotions.emplace(event.terms.back().first, Promotion {.terms = event.terms, .time = event.time});
        if (!isNew) {
            m_problems.push_back("fencing: term " + std::to_string(entry->first) + " has two primaries");
        }
    }
}

void GroupTruth::finish()
{
    for (const auto &write : m_applied) {
        if (!m_byPlace.emplace(std::pair(write.position, write.term), &write).second) {
            m_problems.push_back("fencing: term " + std::to_string(write.term) + " applied two writes at position " + std::to_string(write.position));
        }
        m_byKey[write.key].push_back(&write);
        m_byValue[write.written].push_back(&write);
    }
    for (auto &[key, writes] : m_byKey) {
        std::sort(writes.begin(), writes.end(), [](const auto *left, const auto *right) { return left->position < right->position; });
    }
    for (const auto &read : m_reads) {
        m_readsByKey[read.key].push_back(&read);
    }
    for (auto &[key, reads] : m_readsByKey) {
        std::sort(reads.begin(), reads.end(), [](const auto *left, const auto *right) { return left->time < right->time; });
    }
}

const DatabaseEvent *GroupTruth::at(std::uint64_t term, std::uint64_t position) const
{
    const auto entry = m_byPlace.find({position, termAt(term, position)});
    return entry == m_byPlace.end() ? nullptr : entry->second;
}

bool GroupTruth::contains(std::uint64_t term, const DatabaseEvent &write) const
{
    return termAt(term, write.position) == write.term;
}

std::string GroupTruth::value(std::uint64_t term, std::uint64_t position, std::string_view key) const
{
    const auto entry = m_byKey.find(key);
    if (entry == m_byKey.end()) {
        return {};
    }
    const auto &writes = entry->second;
    auto write
        = std::upper_bound(writes.begin(), writes.end(), position, [](std::uint64_t limit, const auto *candidate) { return limit < candidate->position; });
    while (write != writes.begin()) {
        --write;
        if (contains(term, **write)) {
            return (*write)->value;
        }
    }
    return {};
}

const std::vector<const DatabaseEvent *> &GroupTruth::written(std::string_view value) const
{
    static const std::vector<const DatabaseEvent *> none;
    const auto entry = m_byValue.find(value);
    return entry == m_byValue.end() ? none : entry->second;
}

std::uint64_t GroupTruth::lastTerm() const
{
    return m_promotions.empty() ? 0 : m_promotions.rbegin()->first;
}

std::optional<std::int64_t> GroupTruth::replacedAt(std::uint64_t term) const
{
    std::optional<std::int64_t> time;
    for (auto entry = m_promotions.upper_bound(term); entry != m_promotions.end(); ++entry) {
        time = std::min(time.value_or(entry->second.time), entry->second.time);
    }
    return time;
}

std::uint64_t GroupTruth::agreement(std::uint64_t term, std::uint64_t position) const
{
    while (position > 0 && termAt(term, position) != termAt(lastTerm(), position)) {
        --position;
    }
    return position;
}

std::optional<std::int64_t> GroupTruth::evaluatedAt(const std::string &database, const std::string &key, std::uint64_t position, std::int64_t from,
                                                    std::int64_t to) const
{
    const auto entry = m_readsByKey.find(key);
    if (entry == m_readsByKey.end()) {
        return std::nullopt;
    }
    const auto &reads = entry->second;
    for (auto read = std::lower_bound(reads.begin(), reads.end(), from, [](const auto *candidate, std::int64_t time) { return candidate->time < time; });
         read != reads.end() && (*read)->time <= to; ++read) {
        if ((*read)->database == database && (*read)->position == position) {
            return (*read)->time;
        }
    }
    return std::nullopt;
}

std::uint64_t GroupTruth::termAt(std::uint64_t term, std::uint64_t position) const
{
    const auto promotion = m_promotions.find(term);
    if (promotion == m_promotions.end()) {
        return 0;
    }
    std::uint64_t found = 0;
    for (const auto &[candidate, start] : promotion->second.terms) {
        if (start < position) {
            found = candidate;
        }
    }
    return found;
}

} // namespace waxwing::load
