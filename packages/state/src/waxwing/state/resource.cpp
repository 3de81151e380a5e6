#include <waxwing/state/resource.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <set>

namespace waxwing
{

namespace
{

constexpr std::size_t nameLength = 63;
constexpr std::size_t textLength = 1'000;
constexpr std::size_t weightCount = 1'000;

constexpr std::array<std::string_view, 5> kinds {"deployment", "service", "group", "limits", "policy"};

bool isName(std::string_view text)
{
    const auto valid = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= nameLength && std::all_of(text.begin(), text.end(), valid) && text.front() != '-' && text.front() != '.';
}

/// Reads the fields of one spec, and reports the fields that no check has read as unknown.
class Checker
{
public:
    Checker(const boost::json::object &spec, std::vector<FieldError> &errors)
        : m_spec(spec)
        , m_errors(errors)
    {
    }

    void name(std::string_view field, bool required)
    {
        const auto *value = find(field, required);
        if (value != nullptr && (!value->is_string() || !isName(value->get_string()))) {
            report(field, "must be a name: 1 to 63 characters of a-z, 0-9, '-', '_', '.'");
        }
    }

    void names(std::string_view field)
    {
        const auto *value = find(field, false);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array()) {
            report(field, "must be a list of names");
            return;
        }
        std::set<std::string_view> seen;
        std::size_t index = 0;
        for (const auto &element : value->get_array()) {
            const auto path = std::string(field) + "[" + std::to_string(index++) + "]";
            if (!element.is_string() || !isName(element.get_string())) {
                report(path, "must be a name: 1 to 63 characters of a-z, 0-9, '-', '_', '.'");
            } else if (!seen.insert(element.get_string()).second) {
                report(path, "is listed twice");
            }
        }
    }

    void text(std::string_view field)
    {
        const auto *value = find(field, false);
        if (value != nullptr && (!value->is_string() || value->get_string().size() > textLength)) {
            report(field, "must be a text of at most 1000 bytes");
        }
    }

    void boolean(std::string_view field)
    {
        const auto *value = find(field, false);
        if (value != nullptr && !value->is_bool()) {
            report(field, "must be true or false");
        }
    }

    void integer(std::string_view field, std::int64_t low, std::int64_t high)
    {
        const auto *value = find(field, false);
        if (value == nullptr) {
            return;
        }
        boost::json::error_code error;
        const auto number = value->is_number() ? value->to_number<std::int64_t>(error) : 0;
        if (!value->is_number() || error || number < low || number > high) {
            report(field, "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        }
    }

    void choice(std::string_view field, std::span<const std::string_view> choices)
    {
        const auto *value = find(field, false);
        if (value == nullptr) {
            return;
        }
        if (!value->is_string() || std::find(choices.begin(), choices.end(), std::string_view(value->get_string())) == choices.end()) {
            std::string message = "must be one of";
            for (const auto option : choices) {
                message.append(" \"").append(option).append("\"");
            }
            report(field, message);
        }
    }

    void weights(std::string_view field)
    {
        const auto *value = find(field, false);
        if (value == nullptr) {
            return;
        }
        if (!value->is_object() || value->get_object().size() > weightCount) {
            report(field, "must map at most 1000 operations to numbers");
            return;
        }
        for (const auto &[operation, weight] : value->get_object()) {
            const auto number = weight.is_number() ? weight.to_number<double>() : 0.0;
            if (!(number > 0.0 && number <= 1'000.0)) {
                report(std::string(field) + "." + std::string(operation), "must be a number above 0 and at most 1000");
            }
        }
    }

    void refuseUnknown()
    {
        for (const auto &[field, value] : m_spec) {
            if (!m_known.contains(field)) {
                report(field, "is unknown");
            }
        }
    }

private:
    const boost::json::value *find(std::string_view field, bool required)
    {
        m_known.emplace(field);
        const auto *value = m_spec.if_contains(field);
        if (value == nullptr && required) {
            report(field, "is required");
        }
        return value;
    }

    void report(std::string_view field, std::string_view message)
    {
        m_errors.push_back({"spec." + std::string(field), std::string(message)});
    }

    const boost::json::object &m_spec;
    std::vector<FieldError> &m_errors;
    std::set<std::string, std::less<>> m_known;
};

void checkDeployment(Checker &checker)
{
    checker.names("services");
    checker.text("description");
}

void checkService(Checker &checker)
{
    constexpr std::array<std::string_view, 2> acknowledge {"majority", "primary"};
    checker.name("deployment", false);
    checker.name("group", true);
    checker.choice("acknowledge", acknowledge);
    checker.name("limits", false);
    checker.name("policy", false);
}

void checkGroup(Checker &checker)
{
    checker.integer("databases_expected", 1, 99);
    checker.boolean("failure_domains_spread");
}

void checkLimits(Checker &checker)
{
    checker.integer("slots", 1, 1'000);
    checker.integer("connections", 1, 10'000);
    checker.integer("queue_length", 1, 1'000'000);
    checker.integer("transaction_idle_ms", 10, 3'600'000);
    checker.integer("caller_share_percent", 1, 100);
}

void checkPolicy(Checker &checker)
{
    constexpr std::array<std::string_view, 2> reads {"replicas", "primary"};
    constexpr std::array<std::string_view, 2> queue {"classes", "fifo"};
    constexpr std::array<std::string_view, 2> retryBudget {"tokens", "none"};
    constexpr std::array<std::string_view, 2> admission {"deadline", "none"};
    constexpr std::array<std::string_view, 2> concurrency {"adaptive", "fixed"};
    checker.choice("reads", reads);
    checker.choice("queue", queue);
    checker.choice("retry_budget", retryBudget);
    checker.choice("admission", admission);
    checker.choice("concurrency", concurrency);
    checker.weights("weights");
    checker.integer("long_share_percent", 0, 100);
}

void addReference(std::vector<ResourceReference> &result, const boost::json::object &spec, std::string_view field, std::string_view kind)
{
    if (const auto *value = spec.if_contains(field)) {
        result.push_back({"spec." + std::string(field), {std::string(kind), std::string(value->get_string())}});
    }
}

} // namespace

std::span<const std::string_view> resourceKinds()
{
    return kinds;
}

std::vector<FieldError> validateResource(const ResourceKey &key, const boost::json::value &spec)
{
    std::vector<FieldError> errors;
    const bool knownKind = std::find(kinds.begin(), kinds.end(), key.kind) != kinds.end();
    if (!knownKind) {
        errors.push_back({"kind", "must be one of deployment, service, group, limits, policy"});
    }
    if (!isName(key.name)) {
        errors.push_back({"name", "must be a name: 1 to 63 characters of a-z, 0-9, '-', '_', '.'"});
    }
    if (!spec.is_object()) {
        errors.push_back({"spec", "must be an object"});
        return errors;
    }
    if (!knownKind) {
        return errors;
    }
    Checker checker(spec.get_object(), errors);
    if (key.kind == "deployment") {
        checkDeployment(checker);
    } else if (key.kind == "service") {
        checkService(checker);
    } else if (key.kind == "group") {
        checkGroup(checker);
    } else if (key.kind == "limits") {
        checkLimits(checker);
    } else {
        checkPolicy(checker);
    }
    checker.refuseUnknown();
    return errors;
}

std::vector<ResourceReference> references(const ResourceKey &key, const boost::json::value &spec)
{
    std::vector<ResourceReference> result;
    const auto &object = spec.get_object();
    if (key.kind == "service") {
        addReference(result, object, "deployment", "deployment");
        addReference(result, object, "group", "group");
        addReference(result, object, "limits", "limits");
        addReference(result, object, "policy", "policy");
    } else if (key.kind == "deployment") {
        if (const auto *services = object.if_contains("services")) {
            for (const auto &service : services->get_array()) {
                result.push_back({"spec.services", {"service", std::string(service.get_string())}});
            }
        }
    }
    return result;
}

} // namespace waxwing
