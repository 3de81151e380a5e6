#include <waxwing/coordination/majority_wait.h>

#include <algorithm>

namespace waxwing
{

MajorityWait::MajorityWait(std::size_t members)
    : m_majority(members / 2 + 1)
{
}

void MajorityWait::add(std::uint64_t id, std::string_view primary, TermPosition write, TimePoint deadline)
{
    m_writes.push_back({id, write, deadline});
    observe(primary, write);
}

void MajorityWait::observe(std::string_view member, TermPosition applied)
{
    const auto found = m_applied.find(member);
    if (found == m_applied.end()) {
        m_applied.emplace(std::string(member), applied);
    } else {
        found->second = std::max(found->second, applied);
    }
}

void MajorityWait::forget(std::string_view member)
{
    if (const auto found = m_applied.find(member); found != m_applied.end()) {
        m_applied.erase(found);
    }
}

bool MajorityWait::isConfirmed(const Write &write) const
{
    // A position of a higher term does not count: the promotion to that term may have discarded the write.
    const auto confirmations = std::count_if(m_applied.begin(), m_applied.end(), [&write](const auto &entry) {
        return entry.second.term == write.at.term && entry.second.position >= write.at.position;
    });
    return static_cast<std::size_t>(confirmations) >= m_majority;
}

template<class Predicate>
std::vector<std::uint64_t> MajorityWait::takeIf(Predicate predicate)
{
    std::vector<std::uint64_t> taken;
    std::erase_if(m_writes, [&](const Write &write) {
        if (predicate(write)) {
            taken.push_back(write.id);
            return true;
        }
        return false;
    });
    return taken;
}

std::vector<std::uint64_t> MajorityWait::takeConfirmed()
{
    return takeIf([this](const Write &write) { return isConfirmed(write); });
}

std::vector<std::uint64_t> MajorityWait::takeExpired(TimePoint now)
{
    return takeIf([now](const Write &write) { return write.deadline <= now; });
}

std::vector<std::uint64_t> MajorityWait::takeEnded(std::uint64_t term)
{
    return takeIf([term](const Write &write) { return write.at.term <= term; });
}

void MajorityWait::cancel(std::uint64_t id)
{
    std::erase_if(m_writes, [id](const Write &write) { return write.id == id; });
}

std::size_t MajorityWait::size() const
{
    return m_writes.size();
}

TimePoint MajorityWait::nextDeadline() const
{
    auto next = TimePoint::max();
    for (const auto &write : m_writes) {
        next = std::min(next, write.deadline);
    }
    return next;
}

} // namespace waxwing
