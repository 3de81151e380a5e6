#pragma once

#include <waxwing/support/log.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Range and default of an integer or of a duration in the unit of its key.
struct SettingRange
{
    std::int64_t low = 0;
    std::int64_t high = 0;
    std::int64_t fallback = 0;
};

/// @brief Checked access to a TOML settings file.
///
/// Reads never fail; each problem (missing key, wrong type, out of range, unknown key) is added to errors() with file
/// and line. Keys are dotted paths such as `proxy.listen`. Keys that hold a duration end in its unit, `_ms` or `_s`.
class Settings
{
public:
    /// @brief Parses a file.
    /// @param path path of the TOML file
    static Settings load(const std::string &path);

    /// @brief Parses text.
    /// @param text TOML text
    /// @param name name of the source in error messages
    static Settings parse(std::string_view text, std::string_view name);

    Settings(Settings &&) noexcept;
    Settings &operator=(Settings &&) noexcept;
    ~Settings();

    /// @brief Reads a required string.
    std::string text(std::string_view key);

    /// @brief Reads a required name: 1 to 256 bytes without blanks and control characters, which can be a field of a line or a header.
    std::string word(std::string_view key);

    /// @brief Reads an optional string.
    std::string text(std::string_view key, std::string_view fallback);

    /// @brief Reads a string that must be one of a set of values.
    /// @param choices allowed words; the first is the default
    std::string choice(std::string_view key, std::span<const std::string_view> choices);

    /// @brief Reads the lowest level that is logged (`log.level`).
    log::Level logLevel();

    /// @brief Reads an array of strings.
    std::vector<std::string> texts(std::string_view key);

    /// @brief Reads an integer.
    std::int64_t integer(std::string_view key, const SettingRange &range);

    /// @brief Reads a duration in milliseconds, which may have a fraction; @p key must end in `_ms`.
    Duration milliseconds(std::string_view key, const SettingRange &range);

    /// @brief Reads a duration in seconds, which may have a fraction; @p key must end in `_s`.
    Duration seconds(std::string_view key, const SettingRange &range);

    /// @brief Reads a real number.
    double real(std::string_view key, double low, double high, double fallback);

    /// @brief Reads a boolean.
    bool boolean(std::string_view key, bool fallback);

    /// @brief Adds an error for each key that was never read; call after all reads.
    void refuseUnknownKeys();

    /// @brief Problems found so far, one sentence each, with file and line.
    const std::vector<std::string> &errors() const;

private:
    Settings();

    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace waxwing
