#pragma once

#include "announcement_book.h"
#include "control_client.h"
#include "directory.h"
#include "explain_ring.h"
#include "group_context.h"
#include "intent_client.h"
#include "owned_group.h"
#include "primary_witness.h"
#include "statement_router.h"

#include <waxwing/coordination/term_lease.h>
#include <waxwing/coordination/token_key_ring.h>
#include <waxwing/support/random.h>
#include <waxwing/support/time.h>

#include <boost/asio/steady_timer.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief All decisions of a proxy: what happens to each request, which groups it owns, what control is told. One thread.
class Dispatcher
{
public:
    struct Options
    {
        std::string name;
        std::uint64_t incarnation = 0;
        std::string failureDomain;
        std::string linkAddress;
        std::string callerAddress;
        std::vector<std::string> controlAddresses;
        std::size_t explainCapacity = 4'096;
        std::size_t maxWaiting = 10'000;
        bool hedgesReads = true;
        std::uint64_t seed = 1;
    };

    /// Stores the directory; returns false if it could not be taken now and is to be offered again.
    using Storage = std::function<bool(wire::Grant &&full)>;

    /// @brief Creates a proxy without configuration.
    /// @param context runs all callbacks; one thread
    /// @param keys keys of session tokens
    /// @param sender sends to the link
    /// @param storage stores what is to survive a restart; may be empty
    Dispatcher(boost::asio::io_context &context, Options options, TokenKeyRing keys, LinkSender sender, Storage storage = {});
    ~Dispatcher();

    /// @brief Takes over what was stored before a restart.
    void restore(const wire::Grant &stored);

    /// @brief Starts the timer.
    void start();

    /// @brief Takes a request of a caller.
    void submit(wire::StatementRequest &&request, StatementJob::Responder respond);

    /// @brief Takes the announcement of an endpoint.
    void announce(const wire::Announcement &announcement);

    /// @brief Cancels a request that has not been sent to an endpoint.
    /// @return false if the request is not open here, or is running
    bool cancel(const std::string &requestId);

    /// @brief Decisions taken for a request, as JSON.
    std::optional<std::string> explain(const std::string &requestId) const;

    /// @brief Takes a message from the link.
    void receive(const LinkPeer &from, wire::Envelope &&message);

    /// @brief Takes a message that provably was not sent.
    void onNotSent(const LinkPeer &to, wire::Envelope &&message);

    /// @brief Begins a planned stop: hands ownership over.
    void drain();

    /// @brief Tells whether a planned stop can end: no request is open and ownership is handed over.
    bool isDrained() const;

    /// @brief Tells whether control has answered since the start.
    bool isReady() const
    {
        return m_isReady;
    }

    /// @brief Tells whether the lease is valid.
    bool hasLease() const;

    /// @brief Group that this proxy has; nullptr if it has none of this name.
    OwnedGroup *group(const std::string &name);

    const Directory &directory() const
    {
        return m_directory;
    }

private:
    /// Statement that a peer has forwarded to this proxy.
    struct ForwardKey
    {
        std::string peer;
        std::uint64_t incarnation = 0; ///< of the peer
        std::uint64_t correlation = 0;

        auto operator<=>(const ForwardKey &) const = default;
    };

    struct Owned
    {
        std::unique_ptr<OwnedGroup> group;
        std::uint64_t epoch = 0;
    };

    void schedule();
    void tick(TimePoint now);
    bool isIdle() const;
    void leaveIdle();
    void onGrant(const LinkPeer &from, const wire::Grant &grant);
    void onForward(const LinkPeer &from, wire::Forward &&forward);
    void onForwardCancel(const LinkPeer &from, const wire::ForwardCancel &cancel);
    void onTermWithdraw(const LinkPeer &from, const wire::TermWithdraw &withdraw);
    void onHoldWrites(const LinkPeer &from, const wire::HoldWrites &hold);
    void refreshOwnership(const std::string &name, TimePoint now);
    void refreshAll(TimePoint now);
    OwnedGroup *localGroup(const std::string &name, const wire::StatementRequest &request, bool ownerFailed);
    void fillRenewal(wire::Renewal &renewal);
    std::size_t unreachablePrimaries(TimePoint now);
    void store(TimePoint now);
    void reportGauges(TimePoint now);

    Options m_options;
    TokenKeyRing m_keys;
    LinkSender m_sender;
    Storage m_storage;
    Random m_random;
    boost::asio::steady_timer m_timer;
    Directory m_directory;
    TermLease m_lease;
    ExplainRing m_explain;
    AnnouncementBook m_announcements;
    PrimaryWitness m_witness;
    ControlClient m_control;
    IntentClient m_intents;
    GroupContext m_groupContext;
    StatementRouter m_router;
    std::map<std::string, Owned, std::less<>> m_groups;
    std::map<ForwardKey, std::pair<std::string, std::string>> m_forwardedHere; // to group and request id
    std::size_t m_unreachable = 0;
    bool m_isReady = false;
    bool m_isIdle = false; ///< the pending tick is at the longer interval
    bool m_hadLease = false;
    bool m_isStorePending = false;
    TimePoint m_storedAt {};
    TimePoint m_reportedAt {};
    std::optional<TimePoint> m_drainStarted;
};

} // namespace waxwing
