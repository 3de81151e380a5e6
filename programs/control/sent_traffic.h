#pragma once

#include <waxwing/support/time.h>
#include <waxwing/wire/waxwing.pb.h>

#include <array>
#include <cstddef>
#include <string_view>

namespace waxwing
{
class Counter;
}

namespace waxwing::control
{

/// @brief Counts the messages that a member of control sends, by kind, and logs the totals periodically. Single-threaded.
class SentTraffic
{
public:
    enum class Kind {
        Document, ///< configuration within a grant
        Directory, ///< services within a grant
        Grant, ///< the rest of a grant
        Withdraw,
        Referral,
        Relay, ///< message for a proxy through another member, with all that it contains
        Heartbeat,
        Raft,
        Other,
    };
    static constexpr std::size_t kindCount = static_cast<std::size_t>(Kind::Other) + 1;

    /// @param interval between log lines
    explicit SentTraffic(Duration interval = 5s);

    /// @brief Counts a message that is handed to the link. A grant counts once for each part that it contains.
    void add(const wire::Envelope &message);

    /// @brief Logs what was sent since the last report, one line for each kind; does nothing before the interval has passed.
    void report(TimePoint now);

    /// @return messages of a kind so far, whether reported or not
    std::size_t messages(Kind kind) const;

    /// @return payload bytes of a kind so far, whether reported or not
    std::size_t bytes(Kind kind) const;

private:
    struct Total
    {
        std::size_t messages = 0;
        std::size_t bytes = 0;
        std::size_t reportedMessages = 0;
        std::size_t reportedBytes = 0;
        Counter *messageCounter = nullptr;
        Counter *byteCounter = nullptr;
    };

    static std::string_view name(Kind kind);
    void add(Kind kind, std::size_t bytes);
    void addPool(const wire::PoolEnvelope &message);

    Duration m_interval;
    TimePoint m_reportedAt;
    std::array<Total, kindCount> m_totals;
};

} // namespace waxwing::control
