#include <waxwing/support/invariant.h>
#include <waxwing/support/memory_budget.h>

#include <algorithm>

namespace waxwing
{

namespace
{

constexpr std::string_view balancedInvariant = "memory-budget-balanced";

/// Subtracts released bytes; a sum that would become negative fails the invariant and ends at 0.
void release(std::size_t &sum, std::size_t bytes)
{
    sum -= WAXWING_INVARIANT(bytes <= sum, balancedInvariant) ? bytes : sum;
}

} // namespace

MemoryBudget::~MemoryBudget()
{
    WAXWING_INVARIANT(m_used == 0 && m_accounts.empty(), balancedInvariant);
}

std::size_t MemoryBudget::usedByGroup(std::string_view group) const
{
    const auto found = m_groups.find(std::string(group));
    return found == m_groups.end() ? 0 : found->second.used;
}

MemoryBudget::Account *MemoryBudget::largest() const
{
    Account *result = nullptr;
    for (const auto &[account, group] : m_accounts) {
        if (account->m_used != 0 && !account->m_isExcluded
            && (result == nullptr || std::pair(group->used, account->m_used) > std::pair(result->m_group->used, result->m_used))) {
            result = account;
        }
    }
    return result;
}

std::string_view MemoryBudget::name(Kind kind)
{
    switch (kind) {
    case Kind::ReadBuffer:
        return "read-buffer";
    case Kind::Message:
        return "message";
    case Kind::Answer:
        return "answer";
    case Kind::SessionState:
        return "session-state";
    case Kind::Forwarded:
        break;
    }
    return "forwarded";
}

void MemoryBudget::change(Account &account, Kind kind, std::size_t from, std::size_t to)
{
    auto &group = *account.m_group;
    const bool wasActive = group.used != 0;
    auto &byKind = m_byKind.at(static_cast<std::size_t>(kind));
    for (auto *sum : {&m_used, &byKind, &group.used, &account.m_used}) {
        release(*sum, from);
        *sum += to;
    }
    if (account.m_isExcluded) {
        release(m_excluded, from);
        m_excluded += to;
    }
    const bool isActive = group.used != 0;
    if (isActive != wasActive) {
        m_activeGroups = isActive ? m_activeGroups + 1 : m_activeGroups - std::min<std::size_t>(m_activeGroups, 1);
    }
}

MemoryBudget::Account::Account(MemoryBudget &budget, std::string_view group)
    : m_budget(budget)
    , m_group(&budget.m_groups[std::string(group)])
{
    m_group->name = group;
    ++m_group->accounts;
    budget.m_accounts.emplace(this, m_group);
}

MemoryBudget::Account::~Account()
{
    WAXWING_INVARIANT(m_used == 0, balancedInvariant);
    m_budget.m_accounts.erase(this);
    if (--m_group->accounts == 0) {
        const auto name = m_group->name;
        m_budget.m_groups.erase(name);
    }
}

void MemoryBudget::Account::excludeFromClosing()
{
    m_budget.m_excluded += std::exchange(m_isExcluded, true) ? 0 : m_used;
}

void MemoryBudget::Reservation::resize(std::size_t bytes)
{
    if (bytes != m_bytes) {
        m_account->budget().change(*m_account, m_kind, m_bytes, bytes);
        m_bytes = bytes;
    }
}

} // namespace waxwing
