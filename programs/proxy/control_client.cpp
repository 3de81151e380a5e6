#include "control_client.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// Renewals whose grants may still arrive; a lease lasts for three intervals.
constexpr std::size_t maxSent = 64;
constexpr Duration minInterval = 100ms;
constexpr Duration maxInterval = 1s; // half of a lease
constexpr int averageWindow = 8; // grants; a leader that slows down is noticed within seconds
constexpr int grantTimeoutFactor = 4;

LinkPeer peerAt(const std::string &address)
{
    return {LinkPeer::Kind::Dialed, address};
}

} // namespace

ControlClient::ControlClient(Options options, LinkSender sender, MakeRenewal makeRenewal)
    : m_options(std::move(options))
    , m_addresses(m_options.addresses, m_options.seed)
    , m_sender(std::move(sender))
    , m_makeRenewal(std::move(makeRenewal))
    , m_searchPauses(2 * m_options.searchAfter, m_options.maxSearchPause, m_options.seed)
    , m_searchPause(m_options.searchAfter)
{
}

ControlAddresses::Change ControlClient::setMembers(std::span<const std::string> addresses)
{
    auto change = m_addresses.setMembers(addresses);
    std::erase_if(m_notConnected, [this](const std::string &address) { return !m_addresses.isKnown(address); });
    return change;
}

void ControlClient::setInterval(Duration interval)
{
    m_options.interval = std::clamp(interval, minInterval, maxInterval);
}

void ControlClient::tick(TimePoint now)
{
    m_lastTick = now;
    const bool isUnanswered = m_unansweredSince && now - *m_unansweredSince >= grantTimeout();
    if (isUnanswered && !m_leader.empty()) {
        Metrics::instance().counter("waxwing_control_searches_total").add();
        if (!m_relayed) {
            m_unreachable = m_leader;
        }
        m_relayed = false;
        m_leader.clear();
        renew(now);
        return;
    }
    const auto sinceLast = m_lastRenewal ? now - *m_lastRenewal : Duration::max();
    if (m_leader.empty()) {
        if (sinceLast >= m_searchPause) {
            renew(now);
        }
    } else if (sinceLast >= m_options.interval || (m_isUrgent && sinceLast >= m_options.urgentSpacing)) {
        renew(now);
    }
}

Duration ControlClient::grantTimeout() const
{
    return std::clamp(m_grantTime * grantTimeoutFactor, m_options.searchAfter, m_options.maxSearchAfter);
}

Duration ControlClient::searchPause()
{
    if (m_searchAttempts < m_addresses.size()) {
        return m_options.searchAfter;
    }
    const auto reached = m_addresses.size() - std::min(m_notConnected.size(), m_addresses.size());
    return m_searchPauses.next(m_options.maxSearchRound / static_cast<Duration::rep>(std::max<std::size_t>(reached, 1)));
}

void ControlClient::hurry()
{
    m_isUrgent = true;
}

void ControlClient::renew(TimePoint now)
{
    const auto message = m_makeRenewal(++m_sequence);
    m_isUrgent = false;
    m_lastRenewal = now;
    if (!m_unansweredSince) {
        m_unansweredSince = now;
    }
    m_sent.push_back({m_sequence, now});
    if (m_sent.size() > maxSent) {
        m_sent.pop_front();
    }
    if (m_leader.empty()) {
        ++m_searchAttempts;
        m_searchPause = searchPause();
        if (!m_asked.empty()) {
            m_notSentInARow = 0; // the attempt before was sent
        }
        if (m_asked = m_addresses.next(m_unreachable); !m_asked.empty()) {
            m_notConnected.erase(m_asked);
            m_sender(peerAt(m_asked), message);
        }
    } else {
        m_sender(peerAt(m_leader), message);
    }
    if (m_relayed && (!m_lastDirect || now - *m_lastDirect >= m_options.directInterval)) {
        m_lastDirect = now;
        m_sender(peerAt(m_unreachable), message);
    }
}

bool ControlClient::send(const wire::Envelope &message)
{
    if (!m_leader.empty()) {
        return m_sender(peerAt(m_leader), message);
    }
    bool isSent = false;
    for (const auto &address : m_addresses.all()) {
        isSent = m_sender(peerAt(address), message) || isSent;
    }
    return isSent;
}

std::optional<TimePoint> ControlClient::onGrant(const LinkPeer &from, const Answer &grant)
{
    // Control answers to the name of a proxy, and sequences begin anew with each process.
    if (grant.sequence == 0 || grant.incarnation != m_options.incarnation) {
        return std::nullopt;
    }
    if (!grant.relayed && m_relayed && from.kind == LinkPeer::Kind::Dialed && from.id == m_unreachable) {
        m_leader = from.id; // reached again, even if the relayed answer came first
        m_relayed = false;
        m_unreachable.clear();
    }
    const auto sent = std::find_if(m_sent.begin(), m_sent.end(), [&](const Sent &entry) { return entry.sequence == grant.sequence; });
    if (sent == m_sent.end()) {
        return std::nullopt;
    }
    const auto sentAt = sent->at;
    m_grantTime += (m_lastTick - sentAt - m_grantTime) / averageWindow;
    if (m_searchAttempts != 0) {
        m_addresses.startRound();
    }
    m_searchAttempts = 0;
    m_searchPauses.reset();
    m_searchPause = m_options.searchAfter;
    m_sent.erase(m_sent.begin(), std::next(sent));
    m_unansweredSince = m_sent.empty() ? std::nullopt : std::optional(m_sent.front().at);
    if (from.kind == LinkPeer::Kind::Dialed && m_addresses.isKnown(from.id)) {
        m_leader = from.id;
        m_relayed = grant.relayed;
        if (!grant.relayed) {
            m_unreachable.clear();
        }
    }
    return sentAt;
}

void ControlClient::onNotSent(const LinkPeer &to)
{
    if (!m_leader.empty()) {
        m_isUrgent = m_isUrgent || to.id == m_leader; // its link may be connected within moments
        return;
    }
    if (to.id != m_asked) {
        return;
    }
    m_asked.clear();
    m_notConnected.insert(to.id);
    // Nobody was asked, so that the next one may be asked at once. While no link is connected, trying costs the members nothing.
    const bool isRoundOver = ++m_notSentInARow >= m_addresses.size();
    m_searchPause = isRoundOver ? m_options.searchAfter : Duration::zero();
    if (isRoundOver) {
        m_notSentInARow = 0;
    }
}

void ControlClient::onNotLeader(const LinkPeer &from, const std::string &leader)
{
    if (!leader.empty()) {
        m_addresses.learn(leader); // the seeds are only some of the members
    }
    const bool isHelpful = !leader.empty() && m_addresses.isKnown(leader) && leader != m_leader;
    // Only the process that is believed to lead, or any while none is known, changes the belief: hints of others may be old.
    if (from.id == m_leader || m_leader.empty()) {
        m_leader = isHelpful ? leader : std::string();
        m_isUrgent = isHelpful;
        if (isHelpful) {
            m_unansweredSince.reset(); // this leader has not been asked yet
        }
    }
}

} // namespace waxwing
