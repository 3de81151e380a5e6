#pragma once

#include <boost/json/object.hpp>

#include <cstddef>
#include <string>
#include <string_view>

/// Structured log: one JSON object a line, written by log4cplus on its own thread.
namespace waxwing::log
{

enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

/// @brief Where the log goes and how much of it.
struct Options
{
    std::string process; ///< name of the process, a field of every line
    std::string file; ///< path of the log file; standard error when empty
    bool standardOutput = false; ///< without a file, write to standard output
    Level level = Level::Info;
    unsigned queueLength = 10'000; ///< lines queued for the log thread
    std::size_t queueBytes = 8 << 20; ///< length of the lines queued for the log thread
    unsigned linesPerSecond = 100; ///< of one event; further ones are counted in `waxwing_log_lines_dropped_total`
    unsigned burst = 400; ///< of one event; lines that may come at once
};

/// @brief Starts the log. Without it, lines are dropped.
void start(const Options &options);

/// @brief Writes the queued lines and stops the log thread.
void stop();

/// @brief Writes one line.
/// @param level severity
/// @param event what happened, a fixed text without variable parts
/// @param fields further fields, e.g. request and session identifiers; their texts may hold any bytes (see log_text.h)
void write(Level level, std::string_view event, const boost::json::object &fields = {});

/// @brief Tells whether lines of this level are written, so that callers can skip building fields.
bool isEnabled(Level level);

} // namespace waxwing::log
