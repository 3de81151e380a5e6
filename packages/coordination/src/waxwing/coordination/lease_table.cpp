#include <waxwing/coordination/lease_table.h>

namespace waxwing
{

LeaseTable::LeaseTable(const LeaseOptions &options)
    : m_options(options)
{
}

void LeaseTable::clear()
{
    m_leases.clear();
}

void LeaseTable::assume(const ProxyIncarnation &holder, TimePoint now)
{
    m_leases[holder.proxy] = {holder.incarnation, now + m_options.guard(), true};
}

bool LeaseTable::grant(const ProxyIncarnation &holder, TimePoint now)
{
    auto &lease = m_leases[holder.proxy];
    if (lease.incarnation != holder.incarnation && lease.end > now) {
        return false;
    }
    lease = {holder.incarnation, now + m_options.guard(), false};
    return true;
}

bool LeaseTable::mayHold(const ProxyIncarnation &holder, TimePoint now) const
{
    const auto *lease = find(holder);
    return lease != nullptr && lease->end > now;
}

bool LeaseTable::isLive(const ProxyIncarnation &holder, TimePoint now) const
{
    const auto *lease = find(holder);
    return lease != nullptr && !lease->assumed && lease->end > now;
}

std::vector<ProxyIncarnation> LeaseTable::takeEnded(TimePoint now)
{
    std::vector<ProxyIncarnation> ended;
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.end <= now) {
            ended.push_back({lease->first, lease->second.incarnation});
            lease = m_leases.erase(lease);
        } else {
            ++lease;
        }
    }
    return ended;
}

TimePoint LeaseTable::end(const ProxyIncarnation &holder) const
{
    const auto *lease = find(holder);
    return lease == nullptr ? TimePoint {} : lease->end;
}

const LeaseTable::Lease *LeaseTable::find(const ProxyIncarnation &holder) const
{
    const auto lease = m_leases.find(holder.proxy);
    return lease == m_leases.end() || lease->second.incarnation != holder.incarnation ? nullptr : &lease->second;
}

} // namespace waxwing
