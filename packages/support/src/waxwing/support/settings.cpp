#include <waxwing/support/settings.h>

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>

namespace waxwing
{

namespace
{

std::string typeMismatch(std::string_view expected, const toml::node &found)
{
    std::ostringstream out;
    out << "expected " << expected << ", got " << found.type();
    return out.str();
}

} // namespace

struct Settings::Data
{
    toml::table table;
    std::string name;
    std::set<std::string, std::less<>> known;
    std::vector<std::string> errors;

    const toml::node *find(std::string_view key)
    {
        known.emplace(key);
        return table.at_path(key).node();
    }

    void report(const toml::node *node, std::string_view key, std::string_view problem)
    {
        std::ostringstream out;
        out << name;
        if (node != nullptr && node->source().begin) {
            out << ':' << node->source().begin.line << ':' << node->source().begin.column;
        }
        out << ": " << key << ": " << problem;
        errors.push_back(out.str());
    }

    void reportUnknown(const toml::table &part, const std::string &prefix)
    {
        for (const auto &[key, node] : part) {
            const std::string path = prefix + std::string(key.str());
            if (const auto *child = node.as_table()) {
                reportUnknown(*child, path + ".");
            } else if (!known.contains(path)) {
                report(&node, path, "unknown key");
            }
        }
    }
};

Settings::Settings()
    : m_data(std::make_unique<Data>())
{
}

Settings::Settings(Settings &&) noexcept = default;
Settings &Settings::operator=(Settings &&) noexcept = default;
Settings::~Settings() = default;

Settings Settings::load(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        Settings settings;
        settings.m_data->errors.push_back(path + ": can't open the settings file");
        return settings;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return parse(content.str(), path);
}

Settings Settings::parse(std::string_view text, std::string_view name)
{
    Settings settings;
    settings.m_data->name = name;
    try {
        settings.m_data->table = toml::parse(text, name);
    } catch (const toml::parse_error &error) {
        std::ostringstream out;
        out << name << ':' << error.source().begin.line << ':' << error.source().begin.column << ": " << error.description();
        settings.m_data->errors.push_back(out.str());
    }
    return settings;
}

std::string Settings::text(std::string_view key)
{
    const auto *node = m_data->find(key);
    if (node == nullptr) {
        m_data->report(nullptr, key, "missing; expected a string");
        return {};
    }
    return text(key, {});
}

std::string Settings::word(std::string_view key)
{
    constexpr std::size_t maxWordBytes = 256;
    auto value = text(key);
    const auto *node = m_data->find(key);
    const bool isWord = !value.empty() && value.size() <= maxWordBytes && std::none_of(value.begin(), value.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte <= 0x20 || byte == 0x7f;
    });
    if (node != nullptr && node->is_string() && !isWord) {
        m_data->report(node, key, "expected 1 to " + std::to_string(maxWordBytes) + " bytes without blanks and control characters");
    }
    return value;
}

std::string Settings::text(std::string_view key, std::string_view fallback)
{
    const auto *node = m_data->find(key);
    if (node == nullptr) {
        return std::string(fallback);
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        m_data->report(node, key, typeMismatch("a string", *node));
        return std::string(fallback);
    }
    return *value;
}

std::string Settings::choice(std::string_view key, std::span<const std::string_view> choices)
{
    auto value = text(key, choices.front());
    if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
        std::string problem = "expected one of";
        for (const auto option : choices) {
            problem.append(" \"").append(option).append("\"");
        }
        problem.append(", got \"").append(value).append("\"");
        m_data->report(m_data->find(key), key, problem);
        return std::string(choices.front());
    }
    return value;
}

log::Level Settings::logLevel()
{
    constexpr std::array<std::string_view, 4> names {"info", "debug", "warning", "error"};
    constexpr std::array levels {log::Level::Info, log::Level::Debug, log::Level::Warning, log::Level::Error};
    const auto name = choice("log.level", names);
    return levels[static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin())];
}

std::vector<std::string> Settings::texts(std::string_view key)
{
    std::vector<std::string> values;
    const auto *node = m_data->find(key);
    if (node == nullptr) {
        return values;
    }
    const auto *array = node->as_array();
    if (array == nullptr) {
        m_data->report(node, key, typeMismatch("an array of strings", *node));
        return values;
    }
    for (const auto &element : *array) {
        if (const auto value = element.value_exact<std::string>()) {
            values.push_back(*value);
        } else {
            m_data->report(&element, key, typeMismatch("a string as array element", element));
        }
    }
    return values;
}

std::int64_t Settings::integer(std::string_view key, const SettingRange &range)
{
    const auto *node = m_data->find(key);
    if (node == nullptr) {
        return range.fallback;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        m_data->report(node, key, typeMismatch("an integer", *node));
        return range.fallback;
    }
    if (*value < range.low || *value > range.high) {
        std::ostringstream problem;
        problem << "expected an integer from " << range.low << " to " << range.high << ", got " << *value;
        m_data->report(node, key, problem.str());
        return range.fallback;
    }
    return *value;
}

Duration Settings::milliseconds(std::string_view key, const SettingRange &range)
{
    const auto value = real(key, static_cast<double>(range.low), static_cast<double>(range.high), static_cast<double>(range.fallback));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

Duration Settings::seconds(std::string_view key, const SettingRange &range)
{
    const auto value = real(key, static_cast<double>(range.low), static_cast<double>(range.high), static_cast<double>(range.fallback));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

double Settings::real(std::string_view key, double low, double high, double fallback)
{
    const auto *node = m_data->find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value<double>();
    if (!value || !node->is_number()) {
        m_data->report(node, key, typeMismatch("a number", *node));
        return fallback;
    }
    if (*value < low || *value > high) {
        std::ostringstream problem;
        problem << "expected a number from " << low << " to " << high << ", got " << *value;
        m_data->report(node, key, problem.str());
        return fallback;
    }
    return *value;
}

bool Settings::boolean(std::string_view key, bool fallback)
{
    const auto *node = m_data->find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        m_data->report(node, key, typeMismatch("true or false", *node));
        return fallback;
    }
    return *value;
}

void Settings::refuseUnknownKeys()
{
    m_data->reportUnknown(m_data->table, {});
}

const std::vector<std::string> &Settings::errors() const
{
    return m_data->errors;
}

} // namespace waxwing
