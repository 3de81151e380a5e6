#include <waxwing/coordination/term_lease.h>

#include <algorithm>

namespace waxwing
{

TermLease::TermLease(TermLeaseOptions options)
    : m_options(options)
{
}

void TermLease::renew(TimePoint sentAt, Duration duration)
{
    const auto shortened = std::chrono::duration_cast<Duration>(duration * (1.0 - m_options.driftMargin));
    m_expiresAt = std::max(m_expiresAt, sentAt + shortened);
}

void TermLease::release()
{
    m_expiresAt = TimePoint::min();
}

bool TermLease::isValid(TimePoint now) const
{
    return now < m_expiresAt;
}

TimePoint TermLease::expiresAt() const
{
    return m_expiresAt;
}

TermLease::GroupTerm &TermLease::groupTerm(std::string_view group)
{
    const auto found = m_groups.find(group);
    return found != m_groups.end() ? found->second : m_groups.emplace(std::string(group), GroupTerm {}).first->second;
}

void TermLease::grantTerm(std::string_view group, std::uint64_t term)
{
    auto &entry = groupTerm(group);
    if (term > entry.withdrawn) {
        entry.granted = std::max(entry.granted, term);
    }
}

void TermLease::withdrawTerm(std::string_view group, std::uint64_t term)
{
    auto &entry = groupTerm(group);
    entry.withdrawn = std::max(entry.withdrawn, term);
    if (entry.granted <= entry.withdrawn) {
        entry.granted = 0;
    }
}

std::uint64_t TermLease::term(std::string_view group) const
{
    const auto found = m_groups.find(group);
    return found != m_groups.end() ? found->second.granted : 0;
}

Acknowledgement TermLease::acknowledgement(std::string_view group, std::uint64_t term, TimePoint now) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return Acknowledgement::TermUnknown;
    }
    if (term <= found->second.withdrawn || term < found->second.granted) {
        return Acknowledgement::TermWithdrawn;
    }
    if (term != found->second.granted) {
        return Acknowledgement::TermUnknown;
    }
    return isValid(now) ? Acknowledgement::Allowed : Acknowledgement::LeaseExpired;
}

} // namespace waxwing
