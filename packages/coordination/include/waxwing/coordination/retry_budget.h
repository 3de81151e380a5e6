#pragma once

#include <concepts>

namespace waxwing
{

/// @brief Limits extra attempts. One budget exists per service and one per endpoint; an attempt takes from both.
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
    double ratio = 0.1; ///< tokens that each request adds
    double burst = 20.0; ///< largest number of tokens
};

/// @brief Token bucket: a fixed part of the requests may be retried, with a burst.
class TokenBudget
{
public:
    /// @brief Creates a full bucket.
    explicit TokenBudget(TokenBudgetOptions options = {});

    /// @brief Adds the tokens of one first attempt.
    void onRequest();

    /// @brief Tells whether an extra attempt is allowed.
    bool canTake() const;

    /// @brief Takes the token of an extra attempt.
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
/// @return false if either is used up
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
