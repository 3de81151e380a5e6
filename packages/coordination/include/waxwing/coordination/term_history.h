#pragma once

#include <waxwing/coordination/term_position.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace waxwing
{

/// @brief Position from which a term continued the term before it.
struct TermStart
{
    std::uint64_t term = 0;
    std::uint64_t start = 0;

    bool operator==(const TermStart &other) const = default;
};

/// What became of a write, as seen from a later term.
enum class WriteFate {
    Kept, ///< the write is part of the current term
    Lost, ///< a change of primary discarded the write
    Undetermined, ///< a term between is no longer known
    FutureTerm, ///< the write is of a term that is not yet known here
};

/// @brief Recent terms of one group. A write of term t at position p is kept if p is at most the start of each later term.
class TermHistory
{
public:
    /// @brief Creates a history.
    /// @param terms terms known, oldest first
    /// @param capacity largest number of terms kept; the oldest are dropped
    explicit TermHistory(std::span<const TermStart> terms = {}, std::size_t capacity = 64);

    /// @brief Adds the next term; a term that is not higher than the current one is ignored.
    void add(TermStart term);

    /// @brief Current term; 0 without any.
    std::uint64_t currentTerm() const;

    /// @brief Tells what became of a write by the current term.
    WriteFate fate(TermPosition write) const;

    /// @brief Tells what became of a write by a given term.
    /// @param term a known term, at least that of the write
    WriteFate fateBy(TermPosition write, std::uint64_t term) const;

    /// @brief Tells whether a database that has applied @p applied contains the write.
    /// @param applied term and position that the database reported
    bool isSatisfied(TermPosition write, TermPosition applied) const;

    /// @brief Terms known, oldest first.
    std::span<const TermStart> terms() const;

private:
    std::vector<TermStart> m_terms;
    std::size_t m_capacity;
};

} // namespace waxwing
