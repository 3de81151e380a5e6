#include "faults.h"

#include <algorithm>
#include <array>

namespace waxwing::standin
{

namespace
{

struct Range
{
    std::string_view name;
    double low;
    double high;
};

constexpr double maxSlowFactor = 10'000;
constexpr double maxLateMilliseconds = 60'000;
constexpr double defaultLateMilliseconds = 500;
constexpr std::array ranges {
    Range {"stall", 0, 1}, Range {"refuse", 0, 1}, Range {"cut_group", 0, 1}, Range {"cut_all", 0, 1}, Range {"slow_factor", 1, maxSlowFactor},
    Range {"torn", 0, 1},  Range {"late", 0, 1},   Range {"reordered", 0, 1}, Range {"drop", 0, 1},    Range {"late_ms", 0, maxLateMilliseconds},
};

} // namespace

std::optional<std::string> Faults::set(const boost::json::object &fields)
{
    std::map<std::string, double, std::less<>> values;
    for (const auto &[name, value] : fields) {
        const auto range = std::find_if(ranges.begin(), ranges.end(), [&name = name](const Range &candidate) { return candidate.name == name; });
        if (range == ranges.end()) {
            return "unknown fault: " + std::string(name);
        }
        double number = -1;
        if (value.is_bool()) {
            number = value.as_bool() ? 1 : 0;
        } else if (value.is_number()) {
            number = value.to_number<double>();
        }
        if (number < range->low || number > range->high) {
            return "out of range: " + std::string(name);
        }
        values.emplace(name, number);
    }
    m_values = std::move(values);
    return std::nullopt;
}

bool Faults::isSet(std::string_view fault) const
{
    const auto entry = m_values.find(fault);
    return entry != m_values.end() && entry->second > 0;
}

bool Faults::happens(std::string_view fault)
{
    const auto entry = m_values.find(fault);
    if (entry == m_values.end() || !m_random.chance(entry->second)) {
        return false;
    }
    count(fault);
    return true;
}

void Faults::count(std::string_view fault)
{
    ++m_counts[std::string(fault)];
}

Duration Faults::lateBy() const
{
    const auto entry = m_values.find("late_ms");
    return Duration(static_cast<Duration::rep>((entry == m_values.end() ? defaultLateMilliseconds : entry->second) * 1e6));
}

boost::json::object Faults::report() const
{
    boost::json::object set;
    for (const auto &[name, value] : m_values) {
        set[name] = value;
    }
    boost::json::object counts;
    for (const auto &[name, value] : m_counts) {
        counts[name] = value;
    }
    return {{"set", std::move(set)}, {"fired", std::move(counts)}};
}

} // namespace waxwing::standin
