#pragma once

#include <waxwing/coordination/session_token.h>
#include <waxwing/state/refusal_reason.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwing
{

struct GroupMember;
class HttpConnection;

/// @brief Identifier of a transaction: unique, and names the proxy and the group that have it.
struct TransactionName
{
    std::string proxy;
    std::string group;
};

/// @brief Creates a transaction identifier.
std::string makeTransactionId(std::string_view proxy, std::string_view group);

/// @brief Reads the proxy and group from a transaction identifier.
/// @return nothing if the text is no transaction identifier
std::optional<TransactionName> parseTransactionId(std::string_view id);

/// @brief One open transaction with its pinned connection.
struct Transaction
{
    std::string id;
    std::string service;
    std::string caller;
    GroupMember *member = nullptr;
    HttpConnection *connection = nullptr;
    std::uint64_t term = 0;
    TimePoint lastUsed {};
    bool isBusy = false; ///< a step is queued or running
    bool isBroken = false; ///< its running step can't be trusted any more; ends when that step does
    SessionToken token;
};

/// @brief Open transactions of one group, and why recent ones ended.
class TransactionTable
{
public:
    /// @brief Adds an open transaction.
    Transaction &add(Transaction &&transaction);

    /// @brief Finds an open transaction.
    Transaction *find(const std::string &id);

    /// @brief Removes a transaction.
    /// @param reason what later requests of it are told; BadTransaction after commit or rollback
    std::optional<Transaction> end(const std::string &id, RefusalReason reason);

    /// @brief Why a transaction is not open.
    RefusalReason whyEnded(const std::string &id) const;

    /// @brief Identifiers of the transactions that a predicate accepts.
    template<class Predicate>
    std::vector<std::string> select(Predicate predicate) const
    {
        std::vector<std::string> ids;
        for (const auto &[id, transaction] : m_open) {
            if (predicate(transaction)) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    std::size_t size() const
    {
        return m_open.size();
    }

private:
    // Ended transactions whose reason is remembered; their callers come back within the idle timeout.
    static constexpr std::size_t maxEnded = 10'000;

    std::unordered_map<std::string, Transaction> m_open;
    std::unordered_map<std::string, RefusalReason> m_ended;
    std::deque<std::string> m_endedOrder;
};

} // namespace waxwing
