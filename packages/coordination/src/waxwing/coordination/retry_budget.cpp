#include <waxwing/coordination/retry_budget.h>
#include <waxwing/support/invariant.h>

#include <algorithm>

namespace waxwing
{

TokenBudget::TokenBudget(TokenBudgetOptions options)
    : m_options(options)
    , m_tokens(options.burst)
{
}

void TokenBudget::onRequest()
{
    m_tokens = std::min(m_options.burst, m_tokens + m_options.ratio);
}

bool TokenBudget::canTake() const
{
    return m_tokens >= 1.0;
}

void TokenBudget::take()
{
    if (WAXWING_INVARIANT(canTake(), "retry-budget-not-overdrawn")) {
        m_tokens -= 1.0;
    }
}

double TokenBudget::tokens() const
{
    return m_tokens;
}

} // namespace waxwing
