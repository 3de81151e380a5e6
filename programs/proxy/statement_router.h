#pragma once

#include "control_client.h"
#include "statement_job.h"

#include <waxwing/coordination/retry_budget.h>
#include <waxwing/coordination/retry_policy.h>
#include <waxwing/state/outcome.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing
{

class Directory;
class ExplainRing;
class OwnedGroup;
class Random;

/// @brief Brings each statement of a caller of this proxy to the owner of its group, here or at a peer, and the answer back.
///
/// A statement that provably did not run is routed again within its deadline when the owner changes.
class StatementRouter
{
public:
    struct Options
    {
        std::string proxy; ///< name of this proxy
        std::uint64_t incarnation = 0; ///< of this process
        std::size_t maxWaiting = 10'000; ///< statements that wait for an owner
        Duration routeAgainAfter = 20ms; ///< pace at which a waiting statement is routed again
        Duration peerCheckAfter = 100ms; ///< age of a forwarded statement from which the link to its owner is checked
        Duration replyGrace = 50ms; ///< longest wait for the reply of the owner after the deadline
    };

    /// @brief Finds the group that takes a request on this proxy.
    /// @param ownerFailed the owner can't be reached
    /// @return nullptr if it is to be forwarded
    using LocalGroup = std::function<OwnedGroup *(const std::string &group, const wire::StatementRequest &request, bool ownerFailed)>;

    StatementRouter(Options options, const Directory &directory, ExplainRing &explain, Random &random, LinkSender sender, LocalGroup localGroup);

    /// @brief Takes a request of a caller.
    void submit(wire::StatementRequest &&request, TimePoint now, StatementJob::Responder respond);

    /// @brief Cancels a request that has not been sent to an endpoint.
    /// @return false if the request is not open here
    bool cancel(const std::string &requestId);

    /// @brief Takes the reply of an owner. One to a request of an earlier process is ignored.
    void onReply(wire::ForwardReply &&reply);

    /// @brief Takes a forwarded request that provably was not sent.
    void onNotSent(std::uint64_t correlation);

    /// @brief Notes that a peer can't be reached: what it has may have run.
    void onPeerLost(const std::string &address);

    /// @brief Routes again what waits; call after the directory changed.
    void onDirectoryChanged(TimePoint now);

    /// @brief Checks deadlines and links; call every few milliseconds.
    void tick(TimePoint now);

    /// @brief Number of requests not answered yet.
    std::size_t open() const
    {
        return m_entries.size();
    }

private:
    enum class Place {
        Waiting,
        Here,
        Forwarded,
    };
    struct Entry
    {
        std::uint64_t id = 0;
        std::shared_ptr<const wire::StatementRequest> request; // Shared with the group that runs it.
        TimePoint arrivedAt;
        TimePoint deadline;
        StatementJob::Responder respond;
        std::string group;
        Place place = Place::Waiting;
        std::string owner;
        std::string ownerAddress;
        std::uint64_t correlation = 0;
        TimePoint sentAt;
        TimePoint routeAt;
        std::size_t attempts = 0;
        bool ownerFailed = false;
        RefusalReason reason = RefusalReason::NoOwner; ///< why it waits
    };

    std::optional<RefusalReason> locate(Entry &entry) const;
    void route(Entry &entry, TimePoint now);
    void forward(Entry &entry, TimePoint now);
    void wait(Entry &entry, RefusalReason reason, TimePoint now);
    void onAnswer(std::uint64_t id, wire::StatementAnswer &&answer);
    void onOwnerLost(Entry &entry, TimePoint now);
    void answer(Entry &entry, wire::StatementAnswer &&answer);
    void answer(Entry &entry, const Outcome &outcome);
    Entry *find(std::uint64_t id);
    Entry *findForwarded(std::uint64_t correlation);

    Options m_options;
    const Directory &m_directory;
    ExplainRing &m_explain;
    Random &m_random;
    LinkSender m_sender;
    LocalGroup m_localGroup;
    RetryPolicy m_retries;
    std::map<std::string, TokenBudget, std::less<>> m_budgets; // by service
    std::uint64_t m_nextId = 0;
    std::uint64_t m_nextCorrelation = 0;
    std::size_t m_waiting = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Entry>> m_entries;
    std::unordered_map<std::uint64_t, std::uint64_t> m_forwarded; // correlation to entry
    std::unordered_map<std::string, std::uint64_t> m_byRequestId;
    std::map<std::string, TimePoint> m_checked; // links of owners, by address
};

} // namespace waxwing
