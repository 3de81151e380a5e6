#include "transaction_table.h"

#include <waxwing/support/identifier.h>
#include <waxwing/support/utf8.h>

namespace waxwing
{

namespace
{

constexpr std::size_t uuidLength = 36;
constexpr char separator = ':';

} // namespace

std::string makeTransactionId(std::string_view proxy, std::string_view group)
{
    auto id = makeUuid7();
    id.append(1, separator).append(proxy).append(1, separator).append(group);
    return id;
}

std::optional<TransactionName> parseTransactionId(std::string_view id)
{
    if (id.size() <= uuidLength || id[uuidLength] != separator || !uuid7Time(id.substr(0, uuidLength)) || !isUtf8(id)) {
        return std::nullopt;
    }
    const auto rest = id.substr(uuidLength + 1);
    const auto place = rest.find(separator);
    if (place == std::string_view::npos) {
        return std::nullopt;
    }
    return TransactionName {std::string(rest.substr(0, place)), std::string(rest.substr(place + 1))};
}

Transaction &TransactionTable::add(Transaction &&transaction)
{
    auto id = transaction.id;
    return m_open.emplace(std::move(id), std::move(transaction)).first->second;
}

Transaction *TransactionTable::find(const std::string &id)
{
    const auto found = m_open.find(id);
    return found == m_open.end() ? nullptr : &found->second;
}

std::optional<Transaction> TransactionTable::end(const std::string &id, RefusalReason reason)
{
    auto node = m_open.extract(id);
    if (node.empty()) {
        return std::nullopt;
    }
    if (m_ended.emplace(id, reason).second) {
        m_endedOrder.push_back(id);
        if (m_endedOrder.size() > maxEnded) {
            m_ended.erase(m_endedOrder.front());
            m_endedOrder.pop_front();
        }
    }
    return std::move(node.mapped());
}

RefusalReason TransactionTable::whyEnded(const std::string &id) const
{
    const auto found = m_ended.find(id);
    // Unknown here: the proxy that had it restarted or lost the group.
    return found == m_ended.end() ? RefusalReason::TransactionLost : found->second;
}

} // namespace waxwing
