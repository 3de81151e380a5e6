#pragma once

#include "database_event.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::load
{

/// @brief What really happened in one group: all applied writes, and which of them each term continued.
class GroupTruth
{
public:
    /// @brief Adds an event of a member of the group.
    void add(const DatabaseEvent &event);

    /// @brief Orders what was added; call before the queries.
    void finish();

    /// @brief Write at a position as the log of a term has it.
    /// @return null if the log does not reach the position
    const DatabaseEvent *at(std::uint64_t term, std::uint64_t position) const;

    /// @brief Tells whether the log of a term contains a write.
    bool contains(std::uint64_t term, const DatabaseEvent &write) const;

    /// @brief Value of a key in the log of a term up to a position.
    std::string value(std::uint64_t term, std::uint64_t position, std::string_view key) const;

    /// @brief Writes that named a value.
    const std::vector<const DatabaseEvent *> &written(std::string_view value) const;

    /// @brief Highest term that has a primary.
    std::uint64_t lastTerm() const;

    /// @brief Time at which the first primary of a term higher than @p term was promoted.
    std::optional<std::int64_t> replacedAt(std::uint64_t term) const;

    /// @brief Last position up to which the log of a term, cut at @p position, agrees with that of the last term.
    std::uint64_t agreement(std::uint64_t term, std::uint64_t position) const;

    /// @brief Time of the first read that a member evaluated at a position, in a span of time.
    std::optional<std::int64_t> evaluatedAt(const std::string &database, const std::string &key, std::uint64_t position, std::int64_t from,
                                            std::int64_t to) const;

    /// @brief Writes applied twice at one place of the log, and rejections with reason `leaving`.
    const std::vector<std::string> &problems() const
    {
        return m_problems;
    }

    /// @brief All applied writes.
    const std::vector<DatabaseEvent> &applied() const
    {
        return m_applied;
    }

    /// @brief Rejections by reason.
    const std::map<std::string, std::uint64_t> &rejections() const
    {
        return m_rejections;
    }

private:
    struct Promotion
    {
        std::vector<std::pair<std::uint64_t, std::uint64_t>> terms;
        std::int64_t time = 0;
    };

    std::uint64_t termAt(std::uint64_t term, std::uint64_t position) const;

    std::vector<DatabaseEvent> m_applied;
    std::vector<DatabaseEvent> m_reads;
    std::map<std::uint64_t, Promotion> m_promotions; // By term.
    std::map<std::pair<std::uint64_t, std::uint64_t>, const DatabaseEvent *> m_byPlace; // By position and term.
    std::map<std::string, std::vector<const DatabaseEvent *>, std::less<>> m_byKey; // In order of position.
    std::map<std::string, std::vector<const DatabaseEvent *>, std::less<>> m_byValue;
    std::map<std::string, std::vector<const DatabaseEvent *>, std::less<>> m_readsByKey; // In order of time.
    std::map<std::string, std::uint64_t> m_rejections;
    std::vector<std::string> m_problems;
};

} // namespace waxwing::load
