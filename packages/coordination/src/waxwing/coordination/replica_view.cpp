#include <waxwing/coordination/replica_view.h>
#include <waxwing/support/invariant.h>

#include <algorithm>

namespace waxwing
{

ReplicaView::ReplicaView(ReplicaViewOptions options)
    : m_options(options)
{
    m_options.maxMarks = std::max<std::size_t>(m_options.maxMarks, 4);
}

void ReplicaView::setTerm(std::uint64_t term, std::string_view primary)
{
    if (term < m_term) {
        return;
    }
    if (term > m_term) {
        m_marks.clear();
    }
    m_term = term;
    m_primary = primary;
}

void ReplicaView::observe(std::string_view database, TermPosition applied, TimePoint sentAt)
{
    const auto found = m_applied.find(database);
    if (found == m_applied.end()) {
        m_applied.emplace(std::string(database), applied);
    } else {
        found->second = std::max(found->second, applied);
    }
    if (applied.term == m_term && !m_primary.empty() && database == m_primary) {
        record({applied.position, sentAt});
    }
}

void ReplicaView::record(Mark mark)
{
    // Responses may arrive in another order than their requests were sent. A mark is of use only if no other mark is
    // both later and at a lower or equal position.
    const auto next
        = std::upper_bound(m_marks.begin(), m_marks.end(), mark.position, [](std::uint64_t position, const Mark &other) { return position < other.position; });
    if (next != m_marks.begin() && std::prev(next)->position == mark.position) {
        auto &same = *std::prev(next);
        same.sentAt = std::max(same.sentAt, mark.sentAt);
    } else if (next != m_marks.end()) {
        // A later mark at a higher position exists; the spacing is not worth a closer one.
        return;
    } else if (m_marks.empty() || mark.sentAt - m_marks.back().sentAt >= m_options.markSpacing) {
        m_marks.push_back(mark);
    }
    // An entry at a lower position whose time is not after that of its predecessor proves nothing more.
    for (std::size_t i = m_marks.size(); i-- > 1;) {
        if (m_marks[i].sentAt <= m_marks[i - 1].sentAt) {
            m_marks.erase(m_marks.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    if (m_marks.size() > m_options.maxMarks) {
        std::vector<Mark> kept;
        for (std::size_t i = 0; i < m_marks.size(); ++i) {
            if (i >= m_marks.size() / 2 || i % 2 == 0) {
                kept.push_back(m_marks[i]);
            }
        }
        m_marks = std::move(kept);
    }
    WAXWING_INVARIANT(m_marks.size() <= m_options.maxMarks, "replica-view-bounded");
}

void ReplicaView::forget(std::string_view database)
{
    if (const auto found = m_applied.find(database); found != m_applied.end()) {
        m_applied.erase(found);
    }
}

std::uint64_t ReplicaView::term() const
{
    return m_term;
}

const std::string &ReplicaView::primary() const
{
    return m_primary;
}

std::optional<TermPosition> ReplicaView::applied(std::string_view database) const
{
    const auto found = m_applied.find(database);
    return found == m_applied.end() ? std::nullopt : std::optional(found->second);
}

std::optional<Duration> ReplicaView::provenAge(std::string_view database, TimePoint now) const
{
    const auto position = applied(database);
    if (!position || position->term != m_term) {
        return std::nullopt;
    }
    const auto next
        = std::upper_bound(m_marks.begin(), m_marks.end(), position->position, [](std::uint64_t value, const Mark &mark) { return value < mark.position; });
    if (next == m_marks.begin()) {
        return std::nullopt;
    }
    return std::max<Duration>(now - std::prev(next)->sentAt, Duration::zero());
}

} // namespace waxwing
