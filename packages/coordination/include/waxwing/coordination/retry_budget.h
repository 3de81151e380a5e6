#pragma once

#include <concepts>

namespace waxwing
{

/// @brief Limits extra attempts. There is one budget per service and one per endpoint; an extra attempt takes from both.
template<class Budget>
concept RetryBudget = requires(Budget budget, const Budget constBudget)
{
    budget.onRequest();
    {
        constBudget.canTake()
        } -> std::same_as<bool>;
    budget.take();
};

struct TokenBudgetOptions
{
    double ratio = 0.1; ///< tokens added by each request
    double burst = 20.0; ///< maximum number of tokens
};

/// @brief Token bucket that allows retries of a fixed fraction of the requests, plus a burst.
class TokenBudget
{
public:
    /// @brief Creates a full bucket.
    explicit TokenBudget(TokenBudgetOptions options = {});

    /// @brief Adds the tokens for the first attempt of a request.
    void onRequest();

    /// @brief Returns whether an extra attempt is allowed.
    bool canTake() const;

    /// @brief Takes one token, for an extra attempt.
    void take();

    /// @brief Tokens in the bucket.
    double tokens() const;

private:
    TokenBudgetOptions m_options;
    double m_tokens;
};

/// @brief Baseline: any number of extra attempts.
class UnlimitedBudget
{
public:
    void onRequest() { }

    bool canTake() const
    {
        return true;
    }

    void take() { }
};

/// @brief Takes a token from both budgets, or from none.
/// @return false if either budget is exhausted
template<RetryBudget ServiceBudget, RetryBudget EndpointBudget>
bool takeFromBoth(ServiceBudget &service, EndpointBudget &endpoint)
{
    if (!service.canTake() || !endpoint.canTake()) {
        return false;
    }
    service.take();
    endpoint.take();
    return true;
}

} // namespace waxwing
