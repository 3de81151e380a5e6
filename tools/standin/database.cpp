#include "database.h"

#include <algorithm>

namespace waxwing::standin
{

namespace
{

std::uint64_t termAt(std::span<const TermStart> runs, std::uint64_t position)
{
    std::uint64_t term = 0;
    for (const auto &run : runs) {
        if (run.start > position) {
            break;
        }
        term = run.term;
    }
    return term;
}

} // namespace

bool Database::promote(std::uint64_t term)
{
    if (m_role == Role::Primary && term == this->term() && term == m_fence) {
        return true;
    }
    if (term <= m_fence) {
        return false;
    }
    m_fence = term;
    m_role = Role::Primary;
    m_terms.push_back({.term = term, .start = position()});
    return true;
}

bool Database::follow(std::uint64_t term)
{
    if (term < m_fence || (m_role == Role::Primary && term == this->term())) {
        return false;
    }
    m_fence = term;
    m_role = Role::Replica;
    return true;
}

const LogEntry &Database::write(LogEntry entry)
{
    entry.position = position() + 1;
    entry.term = term();
    replicate(std::move(entry));
    return m_log.back();
}

void Database::replicate(LogEntry entry)
{
    m_data.insert_or_assign(entry.key, entry.value);
    m_log.push_back(std::move(entry));
}

void Database::truncate(std::uint64_t position)
{
    if (position >= m_log.size()) {
        return;
    }
    m_log.resize(position);
    std::erase_if(m_terms, [position](const TermStart &start) { return start.start > position; });
    m_data.clear();
    for (const auto &entry : m_log) {
        m_data.insert_or_assign(entry.key, entry.value);
    }
}

void Database::adoptTerms(const std::vector<TermStart> &terms)
{
    if (!terms.empty() && position() >= terms.back().start) {
        m_terms = terms;
    }
}

void Database::restore(std::uint64_t fence, std::vector<TermStart> terms)
{
    m_fence = fence;
    m_terms = std::move(terms);
    m_role = Role::Replica;
}

std::uint64_t Database::commonPosition(std::span<const TermStart> runs, std::uint64_t position) const
{
    const auto own = this->runs();
    auto common = std::min(position, this->position());
    while (common > 0 && termAt(own, common) != termAt(runs, common)) {
        --common;
    }
    return common;
}

std::vector<TermStart> Database::runs() const
{
    std::vector<TermStart> runs;
    std::size_t index = 0;
    while (index < m_log.size()) {
        const auto term = m_log[index].term;
        runs.push_back({.term = term, .start = index + 1});
        // Terms never fall along the log.
        const auto next = std::partition_point(m_log.begin() + static_cast<std::ptrdiff_t>(index), m_log.end(),
                                               [term](const LogEntry &entry) { return entry.term <= term; });
        index = static_cast<std::size_t>(next - m_log.begin());
    }
    return runs;
}

std::span<const LogEntry> Database::entriesAfter(std::uint64_t position, std::size_t limit) const
{
    if (position >= m_log.size()) {
        return {};
    }
    return std::span(m_log).subspan(position, std::min(limit, m_log.size() - position));
}

std::string Database::value(std::string_view key) const
{
    const auto entry = m_data.find(key);
    return entry == m_data.end() ? std::string() : entry->second;
}

} // namespace waxwing::standin
