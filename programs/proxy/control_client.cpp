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
// At most 8 VMs serve control; replaced ones add their addresses.
constexpr std::size_t maxAddresses = 64;

LinkPeer peerAt(const std::string &address)
{
    return {LinkPeer::Kind::Dialed, address};
}

} // namespace

ControlClient::ControlClient(Options options, LinkSender sender, MakeRenewal makeRenewal)
    : m_options(std::move(options))
    , m_sender(std::move(sender))
    , m_makeRenewal(std::move(makeRenewal))
{
}

void ControlClient::learn(const std::string &address)
{
    if (!isKnown(address) && m_options.addresses.size() < maxAddresses) {
        m_options.addresses.push_back(address);
    }
}

bool ControlClient::isKnown(const std::string &address) const
{
    return std::find(m_options.addresses.begin(), m_options.addresses.end(), address) != m_options.addresses.end();
}

void ControlClient::tick(TimePoint now)
{
    const bool isUnanswered = m_unansweredSince && now - *m_unansweredSince >= m_options.searchAfter;
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
    const bool isSearching = m_leader.empty() && sinceLast >= m_options.searchAfter;
    if (sinceLast >= m_options.interval || isSearching || (m_isUrgent && sinceLast >= m_options.urgentSpacing)) {
        renew(now);
    }
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
    send(message);
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
    for (const auto &address : m_options.addresses) {
        isSent = m_sender(peerAt(address), message) || isSent;
    }
    return isSent;
}

std::optional<TimePoint> ControlClient::onGrant(const LinkPeer &from, std::uint64_t sequence, bool relayed)
{
    if (sequence == 0) {
        return std::nullopt;
    }
    if (!relayed && m_relayed && from.kind == LinkPeer::Kind::Dialed && from.id == m_unreachable) {
        m_leader = from.id; // reached again, even if the relayed answer came first
        m_relayed = false;
        m_unreachable.clear();
    }
    const auto sent = std::find_if(m_sent.begin(), m_sent.end(), [&](const Sent &entry) { return entry.sequence == sequence; });
    if (sent == m_sent.end()) {
        return std::nullopt;
    }
    const auto sentAt = sent->at;
    m_sent.erase(m_sent.begin(), std::next(sent));
    m_unansweredSince = m_sent.empty() ? std::nullopt : std::optional(m_sent.front().at);
    if (from.kind == LinkPeer::Kind::Dialed && isKnown(from.id)) {
        m_leader = from.id;
        m_relayed = relayed;
        if (!relayed) {
            m_unreachable.clear();
        }
    }
    return sentAt;
}

void ControlClient::onNotLeader(const LinkPeer &from, const std::string &leader)
{
    if (!leader.empty()) {
        learn(leader); // the seeds are only some of the members
    }
    const bool isHelpful = !leader.empty() && isKnown(leader) && leader != m_leader;
    // Only the process that is believed to lead, or any while none is known, changes the belief: hints of others may be old.
    if (from.id == m_leader || m_leader.empty()) {
        m_leader = isHelpful ? leader : std::string();
        m_isUrgent = isHelpful;
    }
}

} // namespace waxwing
