#include "epoch_withdrawal.h"

#include <algorithm>

namespace waxwing::control
{

namespace
{

constexpr Duration spacing = 100ms; // the request is repeated until it is confirmed

} // namespace

void EpochWithdrawal::start(std::uint64_t epoch)
{
    if (m_epoch != epoch) {
        m_epoch = epoch;
        m_confirmations.clear();
        m_closes = false;
        m_sentAt = {};
    }
}

void EpochWithdrawal::confirm(const wire::PoolWithdrawn &message)
{
    if (message.epoch() + 1 < m_epoch) {
        return;
    }
    auto &confirmation = m_confirmations[message.proxy()];
    confirmation.incarnation = message.incarnation();
    confirmation.acknowledged = {message.acknowledged().term(), message.acknowledged().number()};
    confirmation.closed = message.closed();
    if (message.has_reported()) {
        confirmation.reported = TermPosition {message.reported().term(), message.reported().number()};
    }
}

bool EpochWithdrawal::isConfirmed(const std::string &proxy, const SessionLeases::Proxy &lease) const
{
    const auto found = m_confirmations.find(proxy);
    return found != m_confirmations.end() && found->second.incarnation == lease.incarnation && (found->second.closed || !m_closes);
}

bool EpochWithdrawal::advance(const std::string &service, const SessionLeases &leases, TimePoint now, const Sender &send)
{
    const bool due = now - m_sentAt >= spacing;
    bool complete = leases.isComplete(now);
    for (const auto &[proxy, lease] : leases.proxies()) {
        if (lease.end <= now || isConfirmed(proxy, lease)) {
            continue;
        }
        complete = false;
        if (due) {
            wire::PoolEnvelope message;
            auto &withdraw = *message.mutable_withdraw();
            withdraw.set_service(service);
            withdraw.set_epoch(m_epoch - 1);
            withdraw.set_closes(m_closes);
            if (now > leases.acknowledgedElsewhereUntil()) {
                withdraw.set_evidence_ms(static_cast<std::uint32_t>(toMilliseconds(now - leases.acknowledgedElsewhereUntil()).count()));
            }
            send(proxy, message);
        }
    }
    if (due) {
        if (m_elsewhereUntil != leases.acknowledgedElsewhereUntil()) {
            m_elsewhereUntil = leases.acknowledgedElsewhereUntil();
            for (auto &[proxy, confirmation] : m_confirmations) {
                confirmation.reported.reset(); // it may be older than what another proxy acknowledged since
            }
        }
        m_sentAt = now;
    }
    return complete;
}

std::optional<TermPosition> EpochWithdrawal::acknowledged(const SessionLeases &leases, TimePoint now) const
{
    if (!m_closes || !leases.isComplete(now) || m_elsewhereUntil != leases.acknowledgedElsewhereUntil()) {
        return std::nullopt;
    }
    TermPosition highest;
    std::optional<TermPosition> reported;
    for (const auto &[proxy, lease] : leases.proxies()) {
        if (!isConfirmed(proxy, lease)) {
            return std::nullopt;
        }
        const auto &confirmation = m_confirmations.find(proxy)->second;
        highest = std::max(highest, confirmation.acknowledged);
        reported = std::max(reported, confirmation.reported);
    }
    if (!reported) {
        return std::nullopt;
    }
    return std::max(highest, *reported);
}

} // namespace waxwing::control
