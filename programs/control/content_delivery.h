#pragma once

#include <waxwing/support/time.h>

#include <cstdint>

namespace waxwing::control
{

/// @brief Decides when versioned content is sent to one receiver, which states the version that it holds from time to time. No I/O.
///
/// Content that was sent counts as under way until the receiver states its version, or that a later message has arrived without it, or
/// a time has passed. The time doubles with each repetition, so that a receiver behind a slow link gets a bounded number of copies.
class ContentDelivery
{
public:
    struct Options
    {
        Duration firstRepetition = 2s; ///< content may have been lost with its connection; newer content waits no longer than this
        Duration maxRepetition = 8s;
        Duration lossRepetition = 400ms; ///< content is known not to have left this process
        Duration refusedRepetition = 1s; ///< several copies did not take effect although later messages have arrived
    };

    ContentDelivery();
    explicit ContentDelivery(const Options &options);

    /// @brief Forgets everything: the receiver is another process.
    void reset();

    /// @brief Records a version that the receiver states. A lower one than before is ignored, since messages may overtake each other.
    void confirm(std::uint64_t version);

    /// @brief Records that content was sent.
    /// @param version number of the content
    /// @param message number of the message that carried it; 0 if messages are not numbered
    void recordSent(std::uint64_t version, TimePoint now, std::uint64_t message = 0);

    /// @brief Records that messages take another path from now on. One path keeps their order, two don't.
    /// @param message number of the first message on the new path
    void recordPath(std::uint64_t message)
    {
        m_firstOnPath = message;
    }

    /// @brief Records the highest number of a message that the receiver has got. Call it after confirm() for the same statement.
    void recordReceived(std::uint64_t message, TimePoint now);

    /// @brief Tells whether the latest copy counts as lost: the receiver has got a later message, but not the content.
    bool isLost() const
    {
        return isUnderWay() && m_isLost;
    }

    /// @brief Records that content which recordSent() counted as under way was not sent after all.
    void recordLost(std::uint64_t version, TimePoint now);

    /// @brief Returns whether content must be sent: the receiver lacks it and nothing is under way.
    /// @param version number of the latest content
    bool isDue(std::uint64_t version, TimePoint now) const
    {
        const bool isNewer = version > m_sent && (m_isLost || now >= m_sentAt + m_options.firstRepetition);
        return m_held < version && (!isUnderWay() || now >= m_repeatAt || isNewer);
    }

    /// @brief Latest version that the receiver stated; 0 for none.
    std::uint64_t held() const
    {
        return m_held;
    }

    /// @brief Latest version that was sent; 0 for none.
    std::uint64_t sent() const
    {
        return m_sent;
    }

    /// @brief Copies of the latest version that were sent.
    unsigned copies() const
    {
        return m_copies;
    }

    /// @brief When the first copy of the latest version was sent.
    TimePoint firstSentAt() const
    {
        return m_firstSentAt;
    }

    const Options &options() const
    {
        return m_options;
    }

private:
    bool isUnderWay() const
    {
        return m_held < m_sent;
    }

    Options m_options;
    std::uint64_t m_held = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_sentMessage = 0; ///< that carried the latest copy; 0 if unknown
    std::uint64_t m_firstOnPath = 0; ///< see recordPath()
    bool m_isLost = false; ///< see isLost()
    unsigned m_copies = 0; ///< see copies()
    TimePoint m_firstSentAt; ///< see firstSentAt()
    Duration m_repetition;
    TimePoint m_sentAt; ///< of the latest copy
    unsigned m_losses = 0; ///< copies of the latest version that count as lost
    TimePoint m_repeatAt;
};

} // namespace waxwing::control
