#pragma once

#include "connection_holders.h"
#include "database_calls.h"
#include "epoch_withdrawal.h"
#include "session_control_ports.h"
#include "session_leases.h"

#include <waxwing/coordination/pool_directory.h>
#include <waxwing/coordination/primary_choice.h>
#include <waxwing/coordination/term_position.h>
#include <waxwing/state/sessions_machine.h>
#include <waxwing/support/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief Keeps a primary in each service: notices that one has failed or leaves, and replaces it. Acts on the leader only.
///
/// The order of the steps carries the guarantees: a new epoch is committed before the old one is withdrawn, every proxy
/// has given up its lease on the old epoch, or lost it, before a promotion is ordered, no replica receives while positions
/// are compared, and a primary is published only after an order with the epoch's own fencing token was confirmed.
class PrimaryKeeper
{
public:
    struct State
    {
        const SessionsMachine &machine;
        const PoolDirectory &directory;
        const SessionLeases &leases;
        const ConnectionHolders &holders;
    };

    /// @param publish called when the directory must be sent to the proxies
    PrimaryKeeper(boost::asio::io_context &context, State state, const SessionControlPorts &ports, std::string name, std::function<void()> publish);

    /// @brief Starts a leadership, or ends it; work of an earlier one stops at its next step.
    void reset(bool leads);

    /// @brief Takes the evidence of a proxy.
    void report(const std::string &proxy, const wire::PoolRenewal &renewal, TimePoint now);

    /// @brief Takes a proxy's word that it has given up an epoch.
    void withdrawn(const wire::PoolWithdrawn &message);

    /// @brief Takes note that a database was removed since its heartbeats ended; it may still hold commits.
    void noteSilent(const PoolDirectory::Entry &entry);

    /// @brief Starts what is due.
    /// @param collected every database has had the time to send a heartbeat
    void tick(TimePoint now, bool collected);

private:
    using Answers = std::map<std::string, DatabaseCalls::Answer>;

    struct Report
    {
        TimePoint at;
        bool unreachable = false;
        bool stalled = false;
        bool lagging = false;
    };

    struct Service
    {
        bool busy = false; ///< a check or a change runs
        unsigned suspicions = 0; ///< checks in a row that found something wrong without certainty
        TermPosition lastPosition; ///< of the primary, at the last check
        std::uint64_t term = 0; ///< highest term that a database or proxy told
        TimePoint nextCheck;
        TimePoint changedAt; ///< end of the last change
        std::uint64_t lastToken = 0; ///< fencing token of the last order
        TimePoint nextUnconfirmedLog;
        unsigned unanswered = 0; ///< orders in a row without an answer
        std::map<std::string, Report> reports; ///< by proxy, for the present epoch
        EpochWithdrawal withdrawal;
        std::map<std::string, PoolDirectory::Entry> silent; ///< databases that were removed without their word
    };

    bool isCurrent(std::uint64_t generation) const
    {
        return m_leads && generation == m_generation;
    }

    void considerFirst(const std::string &name, Service &service);
    void considerPresent(const std::string &name, Service &service, const wire::EpochRecord &record, TimePoint now, bool collected);
    boost::asio::awaitable<void> adopt(std::string name, wire::PoolMember member);
    void noteUnconfirmed(const std::string &name, const std::string &database, const std::string &reach);
    boost::asio::awaitable<void> check(std::string name, wire::PoolMember primary);
    std::string judge(const std::string &name, Service &service, const DatabaseCalls::Answer &answer) const;
    boost::asio::awaitable<bool> doReplicasLag(std::string name, std::string primary);
    std::size_t countReports(const Service &service, bool Report::*kind, TimePoint now) const;
    boost::asio::awaitable<void> change(std::string name, std::string cause);
    boost::asio::awaitable<bool> changeOnce(const std::string &name, std::uint64_t generation, bool primaryLost);
    boost::asio::awaitable<std::optional<std::uint64_t>> startEpoch(std::string name, std::uint64_t expected);
    boost::asio::awaitable<bool> setPrimary(std::string name, std::uint64_t epoch, std::string primary);
    bool advanceWithdrawal(const std::string &name);
    boost::asio::awaitable<std::string> chooseAfterLoss(const std::string &name, std::string previous, std::uint64_t generation);
    boost::asio::awaitable<std::string> choose(const std::string &name, std::string previous, std::uint64_t generation);
    void learnTerms(const std::string &name, const Answers &answers);
    PrimaryChoice makeChoice(const std::string &name, const std::string &previous, const Answers &answers) const;
    boost::asio::awaitable<std::string> chooseAmongStopped(const std::string &name, std::string previous, Answers answers, std::uint64_t generation);
    boost::asio::awaitable<void> awaitReplica(const std::string &name, std::string previous, Answers &answers, std::uint64_t generation);
    boost::asio::awaitable<bool> order(std::string name, std::string candidate, std::uint64_t epoch);
    boost::asio::awaitable<bool> awaitRole(wire::PoolMember member, std::uint64_t generation);
    boost::asio::awaitable<void> pause(Duration duration);
    boost::asio::awaitable<LogReply> propose(wire::SessionsCommand command);
    bool isReplaceable(const std::string &name) const;
    std::vector<wire::PoolMember> members(const std::string &name) const;

    boost::asio::io_context &m_context;
    State m_state;
    const SessionControlPorts &m_ports;
    std::function<void()> m_publish;
    DatabaseCalls m_calls;
    std::map<std::string, Service> m_services;
    std::uint64_t m_generation = 0;
    bool m_leads = false;
    bool m_collected = false; ///< every database has had the time to send a heartbeat
};

} // namespace waxwing::control
