#include "service_spec.h"

#include <boost/json/parse.hpp>

#include <cstdint>

namespace waxwing
{

namespace
{

constexpr double percent = 0.01;

boost::json::object parseObject(std::string_view json)
{
    boost::system::error_code error;
    auto value = boost::json::parse(json, error);
    return !error && value.is_object() ? std::move(value.as_object()) : boost::json::object();
}

std::string textOf(const boost::json::object &spec, std::string_view field, std::string_view fallback = {})
{
    const auto *value = spec.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string(fallback);
}

std::size_t numberOf(const boost::json::object &spec, std::string_view field, std::size_t fallback)
{
    const auto *value = spec.if_contains(field);
    boost::system::error_code error;
    const auto number = value != nullptr && value->is_number() ? value->to_number<std::size_t>(error) : fallback;
    return error ? fallback : number;
}

} // namespace

ServiceSpec parseServiceSpec(std::string_view json)
{
    const auto spec = parseObject(json);
    return {.group = textOf(spec, "group"),
            .acknowledgesMajority = textOf(spec, "acknowledge", "majority") != "primary",
            .limits = textOf(spec, "limits"),
            .policy = textOf(spec, "policy")};
}

std::size_t parseDatabasesExpected(std::string_view json)
{
    constexpr std::size_t fallback = 3;
    return numberOf(parseObject(json), "databases_expected", fallback);
}

ServiceLimits parseLimits(std::string_view json)
{
    const auto spec = parseObject(json);
    const ServiceLimits defaults;
    ServiceLimits limits;
    limits.slots = numberOf(spec, "slots", defaults.slots);
    limits.connections = numberOf(spec, "connections", defaults.connections);
    limits.queueLength = numberOf(spec, "queue_length", defaults.queueLength);
    limits.transactionIdle
        = std::chrono::milliseconds(numberOf(spec, "transaction_idle_ms", static_cast<std::size_t>(toMilliseconds(defaults.transactionIdle).count())));
    limits.callerShare = static_cast<double>(numberOf(spec, "caller_share_percent", static_cast<std::size_t>(defaults.callerShare / percent))) * percent;
    return limits;
}

ServicePolicy parsePolicy(std::string_view json)
{
    const auto spec = parseObject(json);
    ServicePolicy policy;
    policy.readsReplicas = textOf(spec, "reads") != "primary";
    policy.hasClasses = textOf(spec, "queue") != "fifo";
    policy.hasRetryBudget = textOf(spec, "retry_budget") != "none";
    policy.predictsDeadlines = textOf(spec, "admission") != "none";
    policy.adaptsConcurrency = textOf(spec, "concurrency") != "fixed";
    policy.longShare = static_cast<double>(numberOf(spec, "long_share_percent", static_cast<std::size_t>(policy.longShare / percent))) * percent;
    if (const auto *weights = spec.if_contains("weights"); weights != nullptr && weights->is_object()) {
        for (const auto &entry : weights->get_object()) {
            boost::system::error_code error;
            if (const auto weight = entry.value().to_number<double>(error); !error) {
                policy.weights.emplace(std::string(entry.key()), weight);
            }
        }
    }
    return policy;
}

} // namespace waxwing
