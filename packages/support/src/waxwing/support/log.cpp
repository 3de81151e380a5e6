#include <waxwing/support/counter.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/log.h>
#include <waxwing/support/log_text.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/time.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <map>
#include <memory>
#include <mutex>

namespace waxwing::log
{

namespace
{

constexpr Duration droppedReportInterval = std::chrono::seconds(1); // between reports of dropped lines of one event

/// Token bucket that limits the rate of lines of one event.
struct Budget
{
    double lines = 0;
    TimePoint at;
    std::uint64_t dropped = 0; ///< lines dropped since the last report of dropped lines
    TimePoint nextReport;
};

struct Sink
{
    log4cplus::Logger logger;
    log4cplus::SharedAppenderPtr appender;
    std::string process;
    Options options;
    std::atomic<std::size_t> waitingLines {0}; ///< lines that the log thread has not written yet
    std::atomic<std::size_t> waitingBytes {0}; ///< length of these lines
    std::mutex mutex; ///< guards the budgets
    std::map<std::string, Budget, std::less<>> budgets;
};

std::unique_ptr<Sink> &sink()
{
    static std::unique_ptr<Sink> instance;
    return instance;
}

std::atomic<bool> started {false};
std::atomic<Level> threshold {Level::Info};

std::string_view levelName(Level level)
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        return "error";
    }
    return "error";
}

log4cplus::LogLevel libraryLevel(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case Level::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Level::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Level::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// Takes one line from the budget of an event, so that a flood of one event neither fills the queue of the log thread, which
/// would block, nor hides other events.
bool admit(Sink &target, std::string_view event)
{
    const auto now = Clock::now();
    const std::lock_guard lock(target.mutex);
    auto found = target.budgets.find(event);
    if (found == target.budgets.end()) {
        found = target.budgets.emplace(std::string(event), Budget {static_cast<double>(target.options.burst), now}).first;
    }
    auto &budget = found->second;
    budget.lines = std::min(static_cast<double>(target.options.burst),
                            budget.lines + std::chrono::duration<double>(now - budget.at).count() * target.options.linesPerSecond);
    budget.at = now;
    if (budget.lines < 1) {
        return false;
    }
    budget.lines -= 1;
    return true;
}

void countDropped(Sink &target, std::string_view event)
{
    Metrics::instance().counter("waxwing_log_lines_dropped_total", "event", event).add();
    const std::lock_guard lock(target.mutex);
    if (const auto found = target.budgets.find(event); found != target.budgets.end()) {
        ++found->second.dropped;
    }
}

/// Number of dropped lines to report now, which resets the count; 0 if there are none or the last report is too recent.
std::uint64_t takeDropped(Sink &target, std::string_view event)
{
    const auto now = Clock::now();
    const std::lock_guard lock(target.mutex);
    const auto found = target.budgets.find(event);
    if (found == target.budgets.end() || found->second.dropped == 0 || now < found->second.nextReport) {
        return 0;
    }
    found->second.nextReport = now + droppedReportInterval;
    return std::exchange(found->second.dropped, 0);
}

/// Layout that releases the place of a line in the queue. The log thread formats a line right before it writes it.
class ReleasingLayout : public log4cplus::PatternLayout
{
public:
    explicit ReleasingLayout(Sink &target)
        : log4cplus::PatternLayout("%m%n")
        , m_target(target)
    {
    }

    void formatAndAppend(log4cplus::tostream &output, const log4cplus::spi::InternalLoggingEvent &event) override
    {
        log4cplus::PatternLayout::formatAndAppend(output, event);
        m_target.waitingBytes.fetch_sub(event.getMessage().size(), std::memory_order_relaxed);
        m_target.waitingLines.fetch_sub(1, std::memory_order_relaxed);
    }

private:
    Sink &m_target;
};

/// Reserves a part of a limited amount.
bool reserve(std::atomic<std::size_t> &used, std::size_t amount, std::size_t limit)
{
    if (used.fetch_add(amount, std::memory_order_relaxed) + amount <= limit) {
        return true;
    }
    used.fetch_sub(amount, std::memory_order_relaxed);
    return false;
}

/// Reserves a place in the queue of the log thread. The queue of the library blocks when it is full, so lines beyond its
/// capacity are dropped before they reach it.
bool reserve(Sink &target, std::size_t bytes)
{
    if (!reserve(target.waitingLines, 1, target.options.queueLength)) {
        return false;
    }
    if (!reserve(target.waitingBytes, bytes, target.options.queueBytes)) {
        target.waitingLines.fetch_sub(1, std::memory_order_relaxed);
        return false;
    }
    return true;
}

log4cplus::SharedAppenderPtr makeAppender(Sink &sink)
{
    const auto &options = sink.options;
    log4cplus::SharedAppenderPtr target;
    if (options.file.empty()) {
        target = new log4cplus::ConsoleAppender(!options.standardOutput, true);
    } else {
        target = new log4cplus::FileAppender(options.file, std::ios_base::app, true);
    }
    target->setLayout(std::make_unique<ReleasingLayout>(sink));
    return target;
}

/// Copies a value so that its serialization is valid JSON: texts as shownText() returns them, and no infinite numbers.
boost::json::value shown(const boost::json::value &value)
{
    switch (value.kind()) {
    case boost::json::kind::string:
        return boost::json::value(shownText(value.get_string()));
    case boost::json::kind::array: {
        boost::json::array copy;
        for (const auto &element : value.get_array()) {
            copy.push_back(shown(element));
        }
        return copy;
    }
    case boost::json::kind::object: {
        boost::json::object copy;
        for (const auto &field : value.get_object()) {
            copy[shownText(field.key())] = shown(field.value());
        }
        return copy;
    }
    case boost::json::kind::double_:
        return std::isfinite(value.get_double()) ? value : boost::json::value(nullptr);
    default:
        return value;
    }
}

std::string makeLine(Level level, std::string_view event, const boost::json::object &fields)
{
    boost::json::object line;
    line["time_ms"] = unixMilliseconds();
    line["level"] = levelName(level);
    line["process"] = shownText(sink()->process);
    line["event"] = event;
    for (const auto &field : fields) {
        line[shownText(field.key())] = shown(field.value());
    }
    return boost::json::serialize(line);
}

} // namespace

void start(const Options &options)
{
    // The library can't be started a second time in one process.
    static const log4cplus::Initializer initializer;
    auto next = std::make_unique<Sink>();
    next->process = options.process;
    next->options = options;
    next->logger = log4cplus::Logger::getInstance("waxwing");
    next->logger.setAdditivity(false);
    next->logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    next->appender = log4cplus::SharedAppenderPtr(new log4cplus::AsyncAppender(makeAppender(*next), options.queueLength + 1));
    next->logger.addAppender(next->appender);
    sink() = std::move(next);
    threshold.store(options.level);
    started.store(true, std::memory_order_release);
}

void stop()
{
    if (started.exchange(false)) {
        sink()->logger.removeAllAppenders();
        sink()->appender->close(); // waits for the lines in the queue
        sink().reset();
    }
}

bool isEnabled(Level level)
{
    return started.load(std::memory_order_acquire) && level >= threshold.load(std::memory_order_relaxed);
}

void write(Level level, std::string_view event, const boost::json::object &fields)
{
    if (!isEnabled(level)) {
        return;
    }
    if (!admit(*sink(), event)) {
        countDropped(*sink(), event);
        return;
    }
    const auto line = makeLine(level, event, fields);
    if (!reserve(*sink(), line.size())) {
        countDropped(*sink(), event);
        return;
    }
    sink()->logger.log(libraryLevel(level), line);
    if (const auto dropped = takeDropped(*sink(), event); dropped != 0) {
        log::write(Level::Warning, "log lines dropped", {{"of", event}, {"lines", dropped}});
    }
}

} // namespace waxwing::log
