#include "content_delivery.h"

#include <algorithm>

namespace waxwing::control
{

ContentDelivery::ContentDelivery()
    : ContentDelivery(Options())
{
}

ContentDelivery::ContentDelivery(const Options &options)
    : m_options(options)
    , m_repetition(options.firstRepetition)
{
}

void ContentDelivery::reset()
{
    *this = ContentDelivery(m_options);
}

void ContentDelivery::confirm(std::uint64_t version)
{
    if (version <= m_held) {
        return;
    }
    m_held = version;
    m_repetition = m_options.firstRepetition;
}

void ContentDelivery::recordSent(std::uint64_t version, TimePoint now, std::uint64_t message)
{
    if (version > m_sent) {
        m_sent = version;
        m_copies = 0;
        m_losses = 0;
        m_firstSentAt = now;
    }
    ++m_copies;
    m_sentMessage = message;
    m_isLost = false;
    m_sentAt = now;
    m_repeatAt = now + m_repetition;
    m_repetition = std::min(2 * m_repetition, m_options.maxRepetition);
}

void ContentDelivery::recordReceived(std::uint64_t message, TimePoint now)
{
    const bool isSamePath = m_sentMessage >= m_firstOnPath;
    if (!isUnderWay() || m_isLost || m_sentMessage == 0 || message < (isSamePath ? m_sentMessage : m_firstOnPath)) {
        return;
    }
    m_isLost = true;
    Duration pause = Duration::zero();
    if (m_losses++ != 0) {
        // A copy on another path may still arrive, and a receiver that is reached on several paths in turn would get one for each change.
        pause = isSamePath ? m_options.refusedRepetition : m_options.firstRepetition;
    }
    m_repeatAt = std::min(m_repeatAt, std::max(now, m_sentAt + pause));
    m_repetition = m_options.firstRepetition;
}

void ContentDelivery::recordLost(std::uint64_t version, TimePoint now)
{
    if (version != m_sent || !isUnderWay()) {
        return;
    }
    m_repeatAt = std::min(m_repeatAt, now + m_options.lossRepetition);
    m_repetition = m_options.firstRepetition;
}

} // namespace waxwing::control
