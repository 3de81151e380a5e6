#include "executor.h"

#include "member.h"

#include <waxwing/support/identifier.h>

#include <boost/json/serialize.hpp>

namespace waxwing::standin
{

namespace json = boost::json;

namespace
{

constexpr std::size_t maxScanRows = 100;

std::string valueInTransaction(const Database &database, const Transaction *transaction, const std::string &key)
{
    if (transaction != nullptr) {
        for (auto write = transaction->writes.rbegin(); write != transaction->writes.rend(); ++write) {
            if (write->key == key) {
                return write->value;
            }
        }
    }
    return database.value(key);
}

} // namespace

Executor::Executor(Member &member)
    : m_member(member)
{
}

std::optional<json::object> Executor::start(const ExecuteRequest &request, Statement &statement)
{
    m_member.database.observe(request.term);
    const auto parsed = parseStatement(request.statement);
    if (!parsed || parsed->isWrite() != request.isWrite) {
        return reject(request, "unknown-statement");
    }
    statement = *parsed;
    if (const auto reason = refusalReason(request, statement.isWrite() || request.isInTransaction)) {
        return reject(request, *reason);
    }
    if (request.isInTransaction && transactionOf(request) == nullptr) {
        return reject(request, "no-transaction");
    }
    if (m_member.running >= m_member.options.slots) {
        return reject(request, "no-slot");
    }
    ++m_member.running;
    return std::nullopt;
}

json::object Executor::finish(const ExecuteRequest &request, const Statement &statement)
{
    --m_member.running;
    if (const auto reason = refusalReason(request, statement.isWrite() || request.isInTransaction); reason && *reason != "leaving") {
        return reject(request, *reason);
    }
    auto *transaction = request.isInTransaction ? transactionOf(request) : nullptr;
    if (request.isInTransaction && transaction == nullptr) {
        return reject(request, "no-transaction");
    }
    std::string result;
    std::uint64_t rows = 0;
    if (statement.isWrite()) {
        applyWrite(request, statement, transaction);
        rows = 1;
    } else {
        result = readResult(statement, transaction, rows);
        m_member.history.record("read",
                                {{"key", statement.key},
                                 {"position", m_member.database.position()},
                                 {"term", m_member.database.term()},
                                 {"scan", statement.verb == Statement::Verb::Scan},
                                 {"transaction", transaction != nullptr ? transaction->identifier : 0},
                                 {"correlation", json::serialize(request.correlation)}});
    }
    auto answer = response(request, "done");
    answer["rows"] = rows;
    answer["checksum"] = toHex(hash64(result));
    answer["result"] = result;
    return answer;
}

json::object Executor::begin(const ExecuteRequest &request)
{
    if (const auto reason = refusalReason(request, true)) {
        return reject(request, *reason);
    }
    if (m_transactions.contains(request.connection)) {
        return reject(request, "in-transaction");
    }
    m_transactions.emplace(request.connection, Transaction {.identifier = m_nextTransaction++, .term = request.term, .writes = {}});
    return response(request, "done");
}

json::object Executor::commit(const ExecuteRequest &request)
{
    const auto entry = m_transactions.find(request.connection);
    if (entry == m_transactions.end()) {
        return reject(request, "no-transaction");
    }
    auto transaction = std::move(entry->second);
    m_transactions.erase(entry);
    if (const auto reason = refusalReason(request, true); reason && *reason != "leaving") {
        return reject(request, *reason);
    }
    std::vector<LogEntry> applied;
    for (auto &write : transaction.writes) {
        applied.push_back(m_member.database.write(std::move(write)));
    }
    m_member.history.recordEntries("apply", applied);
    return response(request, "done");
}

json::object Executor::rollback(const ExecuteRequest &request)
{
    return m_transactions.erase(request.connection) > 0 ? response(request, "done") : reject(request, "no-transaction");
}

void Executor::connectionClosed(std::uint64_t connection)
{
    m_transactions.erase(connection);
}

json::object Executor::response(const ExecuteRequest &request, std::string_view outcome) const
{
    return {{"correlation_id", request.correlation},    {"outcome", outcome}, {"reason", ""}, {"term", m_member.database.term()},
            {"position", m_member.database.position()}, {"result", ""},       {"rows", 0},    {"checksum", toHex(hash64(""))}};
}

json::object Executor::reject(const ExecuteRequest &request, std::string_view reason) const
{
    m_member.history.record("reject", {{"reason", reason}, {"statement", request.statement}, {"correlation", json::serialize(request.correlation)}});
    auto answer = response(request, "rejected");
    answer["reason"] = reason;
    return answer;
}

std::optional<std::string_view> Executor::refusalReason(const ExecuteRequest &request, bool needsPrimary) const
{
    const auto &database = m_member.database;
    if (request.term < database.highestSeen() || (needsPrimary && request.term != database.term())) {
        return "wrong-term";
    }
    if (needsPrimary && database.role() != Role::Primary) {
        return "not-primary";
    }
    if (m_member.isLeaving) {
        return "leaving";
    }
    return std::nullopt;
}

void Executor::applyWrite(const ExecuteRequest &request, const Statement &statement, Transaction *transaction)
{
    LogEntry entry {.key = statement.key, .value = statement.value, .written = statement.value, .correlation = json::serialize(request.correlation)};
    if (statement.verb == Statement::Verb::Append) {
        const auto before = valueInTransaction(m_member.database, transaction, statement.key);
        entry.value = before.empty() ? statement.value : before + "," + statement.value;
    }
    if (transaction != nullptr) {
        entry.transaction = transaction->identifier;
        transaction->writes.push_back(std::move(entry));
        return;
    }
    const auto applied = m_member.database.write(std::move(entry));
    m_member.history.recordEntries("apply", {&applied, 1});
}

std::string Executor::readResult(const Statement &statement, const Transaction *transaction, std::uint64_t &rows) const
{
    if (statement.verb == Statement::Verb::Read) {
        auto value = valueInTransaction(m_member.database, transaction, statement.key);
        rows = value.empty() ? 0 : 1;
        return value;
    }
    std::string result;
    const auto &data = m_member.database.data();
    for (auto row = data.lower_bound(statement.key); row != data.end() && row->first.starts_with(statement.key) && rows < maxScanRows; ++row, ++rows) {
        result += row->first + "=" + row->second + ";";
    }
    return result;
}

Transaction *Executor::transactionOf(const ExecuteRequest &request)
{
    const auto entry = m_transactions.find(request.connection);
    return entry == m_transactions.end() || entry->second.term != request.term ? nullptr : &entry->second;
}

} // namespace waxwing::standin
