#pragma once

#include <waxwing/support/time.h>

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief Parses a number; the text must hold nothing else, and the number must lie in the range.
/// @return false if it does not; @p target is then unchanged
template<class Number>
bool readNumber(std::string_view text, Number low, Number high, Number &target)
{
    Number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isInRange = value >= low && value <= high; // not for "nan"
    if (error != std::errc() || end != text.data() + text.size() || !isInRange) {
        return false;
    }
    target = value;
    return true;
}

/// @brief Long command-line options of a program, each of which fills a field of an aggregate.
template<class Options>
class OptionTable
{
public:
    /// @brief One option.
    struct Entry
    {
        std::string help;
        std::function<bool(Options &options, const std::string &text)> read; ///< returns false if the value is not valid
    };

    /// @brief Options as read, or what is wrong with them.
    struct Parsed
    {
        Options options;
        std::vector<std::string> errors;
        bool isHelp = false;
    };

    OptionTable(std::initializer_list<std::pair<const std::string, Entry>> entries)
        : m_entries(entries)
    {
    }

    /// @brief An option that holds a text.
    static Entry text(std::string help, std::string Options::*field)
    {
        return {std::move(help), [field](Options &options, const std::string &value) {
                    options.*field = value;
                    return true;
                }};
    }

    /// @brief An option that may be repeated.
    static Entry list(std::string help, std::vector<std::string> Options::*field)
    {
        return {std::move(help), [field](Options &options, const std::string &value) {
                    (options.*field).push_back(value);
                    return true;
                }};
    }

    /// @brief An option that holds a number in a range.
    template<class Number>
    static Entry number(std::string help, Number Options::*field, Number low, Number high)
    {
        return {std::move(help), [=](Options &options, const std::string &value) {
                    return readNumber(value, low, high, options.*field);
                }};
    }

    /// @brief An option that holds a duration.
    /// @param unit unit of the value on the command line
    /// @param high largest value in that unit
    static Entry duration(std::string help, Duration Options::*field, Duration unit, double high)
    {
        return {std::move(help), [=](Options &options, const std::string &value) {
                    double count = 0;
                    if (!readNumber(value, 0.0, high, count)) {
                        return false;
                    }
                    options.*field = Duration(static_cast<Duration::rep>(count * static_cast<double>(unit.count())));
                    return true;
                }};
    }

    /// @brief Parses a command line; all problems are reported, not only the first.
    Parsed parse(int argc, char **argv) const
    {
        Parsed parsed;
        std::vector<option> table;
        for (const auto &[name, entry] : m_entries) {
            table.push_back({name.c_str(), required_argument, nullptr, 0});
        }
        table.push_back({"help", no_argument, nullptr, 'h'});
        table.push_back({nullptr, 0, nullptr, 0});
        optind = 1;
        opterr = 0;
        int index = 0;
        int code = 0;
        while ((code = getopt_long(argc, argv, "", table.data(), &index)) != -1) {
            if (code == 'h') {
                parsed.isHelp = true;
                return parsed;
            }
            if (code != 0) {
                parsed.errors.push_back(std::string("Unknown option or missing value: ") + argv[optind - 1]);
                continue;
            }
            const std::string name = table[static_cast<std::size_t>(index)].name;
            if (!m_entries.at(name).read(parsed.options, optarg)) {
                parsed.errors.push_back("--" + name + ": not valid or out of range: " + optarg);
            }
        }
        if (optind < argc) {
            parsed.errors.push_back(std::string("Unexpected argument: ") + argv[optind]);
        }
        return parsed;
    }

    /// @brief One line for each option, for `--help`.
    std::string help() const
    {
        constexpr std::size_t width = 22;
        std::string text;
        for (const auto &[name, entry] : m_entries) {
            text += "  --" + name + std::string(width - std::min(width - 1, name.size()), ' ') + entry.help + "\n";
        }
        return text;
    }

private:
    std::map<std::string, Entry> m_entries;
};

} // namespace waxwing
