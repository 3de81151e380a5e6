#include <waxwing/coordination/epoch_lease.h>

#include <algorithm>

namespace waxwing
{

void EpochLease::renew(TimePoint sentAt, Duration duration, TimePoint now)
{
    if (!isValid(now)) {
        for (auto &[service, epoch] : m_epochs) {
            epoch.closed = std::max({epoch.closed, epoch.withdrawn, epoch.granted == 0 ? 0 : epoch.granted - 1});
        }
    }
    m_expiresAt = std::max(m_expiresAt, sentAt + duration - duration * driftPercent / 100);
}

void EpochLease::grantEpoch(std::string_view service, std::uint64_t epoch)
{
    auto &known = m_epochs[std::string(service)];
    if (epoch > known.withdrawn) {
        known.granted = std::max(known.granted, epoch);
    }
}

void EpochLease::withdraw(std::string_view service, std::uint64_t epoch)
{
    auto &known = m_epochs[std::string(service)];
    known.withdrawn = std::max(known.withdrawn, epoch);
}

void EpochLease::close(std::string_view service, std::uint64_t epoch)
{
    withdraw(service, epoch);
    auto &known = m_epochs[std::string(service)];
    known.closed = std::max(known.closed, epoch);
}

bool EpochLease::mayAcknowledge(std::string_view service, std::uint64_t epoch, TimePoint now) const
{
    const auto known = m_epochs.find(service);
    return isValid(now) && (known == m_epochs.end() || epoch > known->second.closed);
}

bool EpochLease::covers(std::string_view service, std::uint64_t epoch, TimePoint now) const
{
    const auto known = m_epochs.find(service);
    return isValid(now) && known != m_epochs.end() && known->second.granted == epoch && epoch > known->second.withdrawn;
}

} // namespace waxwing
