#include <waxwing/support/budget_policy.h>

#include <algorithm>

namespace waxwing
{

namespace
{

/// Tells whether a sum exceeds a share of the limit.
bool exceeds(const MemoryBudget &budget, std::size_t used, std::size_t percent)
{
    return used > budget.limit() / 100 * percent;
}

/// Tells whether nobody else holds memory, so that giving way would help nobody.
bool isAlone(const MemoryBudget::Account &account)
{
    return account.used() == account.budget().used();
}

/// Tells whether a group holds more than an equal share of what is reserved.
bool isLarge(const MemoryBudget::Account &account)
{
    const auto groups = std::max<std::size_t>(account.budget().activeGroups(), 1);
    return account.groupUsed() >= account.budget().used() / groups;
}

} // namespace

BudgetPolicy::Decision BudgetPolicy::readMore(const MemoryBudget::Account &account, std::size_t length, std::size_t growth)
{
    const auto &budget = account.budget();
    const auto used = budget.used() + growth;
    if (isAlone(account)) {
        return Decision::Proceed;
    }
    if (length <= smallMessage) {
        return exceeds(budget, used, 100) ? Decision::Pause : Decision::Proceed;
    }
    if (exceeds(budget, used, refusePercent)) {
        return Decision::Refuse;
    }
    return exceeds(budget, used, pausePercent) && isLarge(account) ? Decision::Pause : Decision::Proceed;
}

BudgetPolicy::Decision BudgetPolicy::run(const MemoryBudget::Account &account, std::size_t length, std::size_t bytes)
{
    const auto &budget = account.budget();
    // Complete messages may use more than unfinished ones. Otherwise messages that are read could keep each other from running.
    const auto percent = length <= smallMessage ? 100 : closePercent;
    return !isAlone(account) && exceeds(budget, budget.used() + bytes, percent) ? Decision::Pause : Decision::Proceed;
}

bool BudgetPolicy::mayStore(const MemoryBudget::Account &account, std::size_t growth)
{
    const auto &budget = account.budget();
    return !exceeds(budget, budget.used(MemoryBudget::Kind::SessionState) + growth, statePercent)
        && (isAlone(account) || !exceeds(budget, budget.used() + growth, closePercent));
}

MemoryBudget::Account *BudgetPolicy::closes(const MemoryBudget &budget)
{
    return exceeds(budget, budget.used() - budget.excluded(), closePercent) ? budget.largest() : nullptr;
}

} // namespace waxwing
