#pragma once

#include "log_entry.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::standin
{

enum class Role {
    Primary,
    Replica,
};

/// @brief Start of a term: it continues the log from a position.
struct TermStart
{
    std::uint64_t term = 0;
    std::uint64_t start = 0;
};

/// @brief Data and log of one group member, without sockets or time.
///
/// A replica reports the highest term up to whose start it holds the log, so that members compare by (term, position).
class Database
{
public:
    /// @brief Becomes primary of a term.
    /// @return false if a term at least as high has been seen; true also for a repetition
    bool promote(std::uint64_t term);

    /// @brief Becomes a replica in a term.
    /// @return false if a higher term has been seen, or this member is the primary of @p term
    bool follow(std::uint64_t term);

    /// @brief Appends a write of the primary.
    /// @param entry write; position and term are set here
    /// @return the entry as applied
    const LogEntry &write(LogEntry entry);

    /// @brief Appends a write received from the primary; its position must be the next one.
    void replicate(LogEntry entry);

    /// @brief Discards the entries after a position.
    void truncate(std::uint64_t position);

    /// @brief Takes over the terms of the primary once the log reaches the start of the newest one.
    void adoptTerms(const std::vector<TermStart> &terms);

    /// @brief Restores the state after a restart; the member is a replica then.
    /// @param fence highest term seen
    /// @param terms terms as last recorded
    void restore(std::uint64_t fence, std::vector<TermStart> terms);

    /// @brief Last position up to which a follower's log agrees with this one.
    /// @param runs runs of equal terms in the follower's log: term and first position
    /// @param position last position of the follower
    std::uint64_t commonPosition(std::span<const TermStart> runs, std::uint64_t position) const;

    /// @brief Runs of equal terms in the log: term and first position.
    std::vector<TermStart> runs() const;

    /// @brief Entries after a position.
    /// @param limit largest number of entries
    std::span<const LogEntry> entriesAfter(std::uint64_t position, std::size_t limit) const;

    /// @brief Value of a key, empty if it was never written.
    std::string value(std::string_view key) const;

    /// @brief All keys and values.
    const std::map<std::string, std::string, std::less<>> &data() const
    {
        return m_data;
    }

    Role role() const
    {
        return m_role;
    }

    /// @brief Term of the data, see above.
    std::uint64_t term() const
    {
        return m_terms.empty() ? 0 : m_terms.back().term;
    }

    /// @brief Position from which the term of the data continued.
    std::uint64_t termStart() const
    {
        return m_terms.empty() ? 0 : m_terms.back().start;
    }

    /// @brief Highest term that this member was told to lead or follow.
    std::uint64_t fence() const
    {
        return m_fence;
    }

    /// @brief Notes the term of a statement.
    void observe(std::uint64_t term)
    {
        m_highestSeen = std::max(m_highestSeen, term);
    }

    /// @brief Highest term seen, also in statements; lower ones are rejected.
    std::uint64_t highestSeen() const
    {
        return std::max(m_highestSeen, m_fence);
    }

    /// @brief Last applied position.
    std::uint64_t position() const
    {
        return m_log.size();
    }

    /// @brief All terms that the data went through.
    const std::vector<TermStart> &terms() const
    {
        return m_terms;
    }

private:
    std::vector<LogEntry> m_log;
    std::map<std::string, std::string, std::less<>> m_data;
    std::vector<TermStart> m_terms;
    std::uint64_t m_fence = 0;
    std::uint64_t m_highestSeen = 0;
    Role m_role = Role::Replica;
};

} // namespace waxwing::standin
