#pragma once

#include "statement.h"
#include "transaction.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing::standin
{

struct Member;

/// @brief Request to the endpoint API that runs or controls a statement.
struct ExecuteRequest
{
    boost::json::value correlation;
    std::uint64_t term = 0;
    std::string statement;
    bool isWrite = false; ///< declared kind
    bool isInTransaction = false;
    std::uint64_t connection = 0;
};

/// @brief Runs statements and transactions against the database; without sockets or timers.
class Executor
{
public:
    /// @brief Binds to a member, which must outlive this object.
    explicit Executor(Member &member);

    /// @brief Decides whether a statement may start, and takes a slot for it.
    /// @param request the request
    /// @param statement receives the parsed statement
    /// @return the rejection, or nothing if the statement started; finish() must follow after its cost
    std::optional<boost::json::object> start(const ExecuteRequest &request, Statement &statement);

    /// @brief Ends a statement that start() admitted: applies it and frees the slot.
    /// @return the response
    boost::json::object finish(const ExecuteRequest &request, const Statement &statement);

    /// @brief Opens a transaction on a connection.
    boost::json::object begin(const ExecuteRequest &request);

    /// @brief Applies the writes of the transaction of a connection.
    boost::json::object commit(const ExecuteRequest &request);

    /// @brief Discards the transaction of a connection.
    boost::json::object rollback(const ExecuteRequest &request);

    /// @brief Discards what belongs to a connection that ended.
    void connectionClosed(std::uint64_t connection);

private:
    boost::json::object response(const ExecuteRequest &request, std::string_view outcome) const;
    boost::json::object reject(const ExecuteRequest &request, std::string_view reason) const;
    std::optional<std::string_view> refusalReason(const ExecuteRequest &request, bool needsPrimary) const;
    void applyWrite(const ExecuteRequest &request, const Statement &statement, Transaction *transaction);
    std::string readResult(const Statement &statement, const Transaction *transaction, std::uint64_t &rows) const;
    Transaction *transactionOf(const ExecuteRequest &request);

    Member &m_member;
    std::map<std::uint64_t, Transaction> m_transactions; // By connection.
    std::uint64_t m_nextTransaction = 1;
};

} // namespace waxwing::standin
