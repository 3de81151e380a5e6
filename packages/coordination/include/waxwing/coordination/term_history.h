#pragma once

#include <waxwing/coordination/term_position.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace waxwing
{

/// @brief Position at which a term starts; writes of earlier terms beyond it were discarded.
struct TermStart
{
    std::uint64_t term = 0;
    std::uint64_t start = 0;

    bool operator==(const TermStart &other) const = default;
};

/// Whether a write is part of a later term.
enum class WriteFate {
    Kept, ///< the write is part of the current term
    Lost, ///< a change of primary discarded the write
    Undetermined, ///< a term in between is no longer in the history
    FutureTerm, ///< the term of the write is higher than the one it is compared to
};

/// @brief Recent terms of a group. A write of term t at position p is kept if no later term starts before p.
class TermHistory
{
public:
    /// @brief Creates a history.
    /// @param terms known terms, oldest first
    /// @param capacity maximum number of terms; the oldest ones are dropped
    explicit TermHistory(std::span<const TermStart> terms = {}, std::size_t capacity = 64);

    /// @brief Adds the next term; a term that is not higher than the current one is ignored.
    void add(TermStart term);

    /// @brief Current term; 0 if there is none.
    std::uint64_t currentTerm() const;

    /// @brief Returns whether a write is part of the current term.
    WriteFate fate(TermPosition write) const;

    /// @brief Returns whether a write is part of a given term.
    /// @param term a known term, at least that of the write
    WriteFate fateBy(TermPosition write, std::uint64_t term) const;

    /// @brief Returns whether a database that has applied @p applied contains the write.
    /// @param applied term and position that the database reported
    bool isSatisfied(TermPosition write, TermPosition applied) const;

    /// @brief Known terms, oldest first.
    std::span<const TermStart> terms() const;

private:
    std::vector<TermStart> m_terms;
    std::size_t m_capacity;
};

} // namespace waxwing
