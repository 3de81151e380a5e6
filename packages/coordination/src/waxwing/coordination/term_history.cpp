#include <waxwing/coordination/term_history.h>

namespace waxwing
{

TermHistory::TermHistory(std::span<const TermStart> terms, std::size_t capacity)
    : m_capacity(capacity > 0 ? capacity : 1)
{
    for (const auto &term : terms) {
        add(term);
    }
}

void TermHistory::add(TermStart term)
{
    if (term.term <= currentTerm()) {
        return;
    }
    if (m_terms.size() == m_capacity) {
        m_terms.erase(m_terms.begin());
    }
    m_terms.push_back(term);
}

std::uint64_t TermHistory::currentTerm() const
{
    return m_terms.empty() ? 0 : m_terms.back().term;
}

WriteFate TermHistory::fate(TermPosition write) const
{
    return fateBy(write, currentTerm());
}

WriteFate TermHistory::fateBy(TermPosition write, std::uint64_t term) const
{
    if (write.term > term) {
        return WriteFate::FutureTerm;
    }
    if (write.term == term) {
        return WriteFate::Kept;
    }
    for (const auto &later : m_terms) {
        if (later.term > write.term && later.term <= term && write.position > later.start) {
            return WriteFate::Lost;
        }
    }
    // If terms between that of the write and the oldest known one were dropped, one of them may have discarded the write.
    const bool isEachTermKnown = !m_terms.empty() && m_terms.front().term <= write.term + 1 && term <= currentTerm();
    return isEachTermKnown ? WriteFate::Kept : WriteFate::Undetermined;
}

bool TermHistory::isSatisfied(TermPosition write, TermPosition applied) const
{
    return applied.position >= write.position && fateBy(write, applied.term) == WriteFate::Kept;
}

std::span<const TermStart> TermHistory::terms() const
{
    return m_terms;
}

} // namespace waxwing
