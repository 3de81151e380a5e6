#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace waxwing
{

class Counter;
class Quantiles;

/// @brief Registry of the metrics of one process. Any thread may use it; references stay valid as long as the registry.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// @brief Registry of this process.
    static Metrics &instance();

    /// @brief Finds or creates a counter.
    /// @param name metric name, e.g. `waxwing_refusals_total`
    /// @param label label name, or empty for none
    /// @param value label value
    Counter &counter(std::string_view name, std::string_view label = {}, std::string_view value = {});

    /// @brief Finds or creates a gauge.
    Counter &gauge(std::string_view name, std::string_view label = {}, std::string_view value = {});

    /// @brief Finds or creates a summary of a value.
    /// @param name metric name with its unit, e.g. `waxwing_statement_seconds`
    Quantiles &summary(std::string_view name, std::string_view label = {}, std::string_view value = {});

    /// @brief Writes all metrics in the Prometheus text format, sorted by name.
    std::string exposition() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace waxwing
