#include "epoch_withdrawal.h"

#include <algorithm>

namespace waxwing::control
{

namespace
{

constexpr Duration resendInterval = 100ms; // requests are repeated until they are confirmed

} // namespace

void EpochWithdrawal::start(std::uint64_t epoch)
{
    if (m_epoch != epoch) {
        m_epoch = epoch;
        m_confirmations.clear();
        m_closing = false;
        m_requestedAt = {};
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
    confirmation.acknowledgedAtLeast = {message.acknowledged_at_least().term(), message.acknowledged_at_least().number()};
    confirmation.replicated = {message.replicated().term(), message.replicated().number()};
    confirmation.unsettledCommits = message.has_unsettled_commits() ? std::optional(message.unsettled_commits()) : std::nullopt;
    confirmation.settlesDeparted = message.settles_departed();
    confirmation.closed = message.closed();
    confirmation.round = message.round();
    confirmation.reported.reset();
    if (message.has_reported()) {
        confirmation.reported = TermPosition {message.reported().term(), message.reported().number()};
    }
}

bool EpochWithdrawal::isConfirmed(const std::string &proxy, const SessionLeases::Proxy &lease) const
{
    const auto found = m_confirmations.find(proxy);
    return found != m_confirmations.end() && found->second.incarnation == lease.incarnation && (found->second.closed || !m_closing);
}

bool EpochWithdrawal::advance(const std::string &service, const SessionLeases &leases, TimePoint now, const Sender &send)
{
    const auto unknownUntil = leases.unleasedAcknowledgementsUntil();
    if (m_evidenceAfter != unknownUntil && now > unknownUntil) {
        // Another proxy may have acknowledged later commits, so that all are asked anew.
        m_evidenceAfter = unknownUntil;
        ++m_round;
        m_requestedAt = {};
    }
    const bool resend = now - m_requestedAt >= resendInterval;
    bool complete = leases.isComplete(now);
    for (const auto &[proxy, lease] : leases.proxies()) {
        if (lease.end <= now) {
            continue;
        }
        const bool confirmed = isConfirmed(proxy, lease);
        complete = complete && confirmed;
        const bool answered = confirmed && (!m_closing || m_confirmations.find(proxy)->second.round == m_round);
        if (resend && !answered) {
            wire::PoolEnvelope message;
            auto &withdraw = *message.mutable_withdraw();
            withdraw.set_service(service);
            withdraw.set_epoch(m_epoch - 1);
            withdraw.set_closes(m_closing);
            withdraw.set_round(m_round);
            if (now > unknownUntil) {
                withdraw.set_evidence_ms(static_cast<std::uint32_t>(toMilliseconds(now - unknownUntil).count()));
            }
            send(proxy, message);
        }
    }
    if (resend) {
        m_requestedAt = now;
    }
    return complete;
}

TermPosition EpochWithdrawal::acknowledgedAtLeast(const SessionLeases &leases, TimePoint now) const
{
    TermPosition highest;
    for (const auto &[proxy, confirmation] : m_confirmations) {
        highest = std::max(highest, confirmation.acknowledgedAtLeast);
    }
    // A replica had received all up to the last acknowledged commit, so that only commits without an outcome can follow it.
    const auto end = acknowledgedAtMost();
    if (const auto unsettled = unsettledCommits(leases, now); unsettled && end.position > *unsettled) {
        highest = std::max(highest, TermPosition {end.term, end.position - *unsettled});
    }
    return highest;
}

TermPosition EpochWithdrawal::acknowledgedAtMost() const
{
    TermPosition highest;
    for (const auto &[proxy, confirmation] : m_confirmations) {
        highest = std::max(highest, confirmation.replicated);
    }
    return highest;
}

std::optional<std::uint64_t> EpochWithdrawal::unsettledCommits(const SessionLeases &leases, TimePoint now) const
{
    if (!m_closing || !leases.isComplete(now) || m_evidenceAfter != leases.unleasedAcknowledgementsUntil()) {
        return std::nullopt;
    }
    std::uint64_t sum = 0;
    bool departedAreSettled = false;
    for (const auto &[proxy, lease] : leases.proxies()) {
        const auto found = m_confirmations.find(proxy);
        if (!isConfirmed(proxy, lease) || found->second.round != m_round || !found->second.unsettledCommits) {
            return std::nullopt;
        }
        sum += *found->second.unsettledCommits;
        departedAreSettled = departedAreSettled || found->second.settlesDeparted;
    }
    return departedAreSettled ? std::optional(sum) : std::nullopt;
}

std::optional<TermPosition> EpochWithdrawal::acknowledged(const SessionLeases &leases, TimePoint now) const
{
    if (!m_closing || !leases.isComplete(now) || m_evidenceAfter != leases.unleasedAcknowledgementsUntil()) {
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
        if (confirmation.round == m_round) {
            reported = std::max(reported, confirmation.reported);
        }
    }
    if (!reported) {
        return std::nullopt;
    }
    return std::max(highest, *reported);
}

} // namespace waxwing::control
