#pragma once

#include <waxwing/support/time.h>
#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace waxwing
{

/// @brief Statement that must run at most once, as control knows it.
struct IntentKey
{
    std::string service;
    std::string key;
    std::uint64_t attempt = 0; ///< chosen at random by the owner for each attempt
};

/// @brief Records of statements that must run at most once, kept by the control leader.
///
/// Messages are repeated until they are answered, since control applies each of them once.
class IntentClient
{
public:
    using Handler = std::function<void(wire::IntentState state, const wire::StatementAnswer &answer)>;

    struct Options
    {
        std::string proxy;
        std::uint64_t incarnation = 0;
        Duration repeatAfter = 200ms;
        Duration recordLimit = 30s; ///< how long finish and release are repeated
    };

    /// @brief Creates a client.
    /// @param send sends a message to the control leader
    IntentClient(Options options, std::function<bool(const wire::Envelope &message)> send);

    /// @brief Records that an attempt is about to start.
    /// @param handler called once, with UNAVAILABLE if control does not answer by the deadline
    void begin(const IntentKey &key, std::uint64_t statementHash, TimePoint now, TimePoint deadline, Handler handler);

    /// @brief Records the answer of an attempt.
    void finish(const IntentKey &key, const wire::StatementAnswer &answer, TimePoint now);

    /// @brief Records that an attempt provably did not run.
    void release(const IntentKey &key, TimePoint now);

    /// @brief Takes the reply of control.
    void onReply(const wire::IntentReply &reply);

    /// @brief Repeats what was not answered; call every few milliseconds.
    void tick(TimePoint now);

    /// @brief Number of messages that wait for a reply.
    std::size_t pending() const
    {
        return m_pending.size();
    }

private:
    struct Pending
    {
        wire::Envelope message;
        Handler handler; // only for begin
        TimePoint repeatAt;
        TimePoint expiresAt;
    };

    void add(wire::Envelope &&message, Handler handler, TimePoint now, TimePoint expiresAt);

    Options m_options;
    std::function<bool(const wire::Envelope &message)> m_send;
    std::uint64_t m_correlation = 0;
    std::map<std::uint64_t, Pending> m_pending;
};

} // namespace waxwing
