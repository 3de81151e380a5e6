#include "announcement_book.h"

namespace waxwing
{

bool AnnouncementBook::add(const wire::Announcement &announcement)
{
    const auto known = m_latest.find(announcement.database());
    if (known == m_latest.end() && m_latest.size() >= maxDatabases) {
        return false;
    }
    bool isChanged = true;
    if (known != m_latest.end()) {
        auto before = known->second;
        before.set_position(announcement.position());
        isChanged = before.SerializeAsString() != announcement.SerializeAsString();
    }
    m_latest[announcement.database()] = announcement;
    m_pending[announcement.database()] = 0;
    return isChanged;
}

void AnnouncementBook::fill(wire::Renewal &renewal)
{
    for (auto &[database, sequence] : m_pending) {
        *renewal.add_announcements() = m_latest[database];
        sequence = renewal.sequence();
    }
}

void AnnouncementBook::confirm(std::uint64_t sequence)
{
    std::erase_if(m_pending, [sequence](const auto &entry) { return entry.second != 0 && entry.second <= sequence; });
}

} // namespace waxwing
