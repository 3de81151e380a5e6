#include <waxwing/coordination/replica_view.h>
#include <waxwing/support/invariant.h>

#include <algorithm>

namespace waxwing
{

ReplicaView::ReplicaView(ReplicaViewOptions options)
    : m_options(options)
{
    m_options.maxSamples = std::max<std::size_t>(m_options.maxSamples, 4);
}

void ReplicaView::setTerm(std::uint64_t term, std::string_view primary)
{
    if (term < m_term) {
        return;
    }
    if (term > m_term) {
        m_samples.clear();
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

void ReplicaView::record(PrimarySample sample)
{
    // Responses may arrive in a different order than their requests were sent. A sample is useful only if no other
    // sample is both later and at a lower or equal position.
    const auto next = std::upper_bound(m_samples.begin(), m_samples.end(), sample.position,
                                       [](std::uint64_t position, const PrimarySample &other) { return position < other.position; });
    if (next != m_samples.begin() && std::prev(next)->position == sample.position) {
        auto &same = *std::prev(next);
        same.sentAt = std::max(same.sentAt, sample.sentAt);
    } else if (next != m_samples.end()) {
        // A sample at a higher position exists already; one in between would improve the proven age too little.
        return;
    } else if (m_samples.empty() || sample.sentAt - m_samples.back().sentAt >= m_options.minSampleInterval) {
        m_samples.push_back(sample);
    }
    // A sample that is not later than the one before it, at a lower position, proves nothing more than that one.
    for (std::size_t i = m_samples.size(); i-- > 1;) {
        if (m_samples[i].sentAt <= m_samples[i - 1].sentAt) {
            m_samples.erase(m_samples.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    if (m_samples.size() > m_options.maxSamples) {
        std::vector<PrimarySample> kept;
        for (std::size_t i = 0; i < m_samples.size(); ++i) {
            if (i >= m_samples.size() / 2 || i % 2 == 0) {
                kept.push_back(m_samples[i]);
            }
        }
        m_samples = std::move(kept);
    }
    WAXWING_INVARIANT(m_samples.size() <= m_options.maxSamples, "replica-view-bounded");
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
    const auto next = std::upper_bound(m_samples.begin(), m_samples.end(), position->position,
                                       [](std::uint64_t value, const PrimarySample &sample) { return value < sample.position; });
    if (next == m_samples.begin()) {
        return std::nullopt;
    }
    return std::max<Duration>(now - std::prev(next)->sentAt, Duration::zero());
}

} // namespace waxwing
