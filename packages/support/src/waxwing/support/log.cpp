#include <waxwing/support/counter.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/time.h>

#include <boost/json/serialize.hpp>
#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace waxwing::log
{

namespace
{

/// Lines of one event that may still be written.
struct Budget
{
    double lines = 0;
    TimePoint at;
};

struct Sink
{
    log4cplus::Initializer initializer;
    log4cplus::Logger logger;
    std::string process;
    Options options;
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

log4cplus::SharedAppenderPtr makeAppender(const Options &options)
{
    log4cplus::SharedAppenderPtr target;
    if (options.file.empty()) {
        target = new log4cplus::ConsoleAppender(!options.standardOutput, true);
    } else {
        target = new log4cplus::FileAppender(options.file, std::ios_base::app, true);
    }
    target->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    return target;
}

} // namespace

void start(const Options &options)
{
    auto next = std::make_unique<Sink>();
    next->process = options.process;
    next->options = options;
    next->logger = log4cplus::Logger::getInstance("waxwing");
    next->logger.setAdditivity(false);
    next->logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    next->logger.addAppender(log4cplus::SharedAppenderPtr(new log4cplus::AsyncAppender(makeAppender(options), options.queueLength)));
    sink() = std::move(next);
    threshold.store(options.level);
    started.store(true, std::memory_order_release);
}

void stop()
{
    if (started.exchange(false)) {
        sink()->logger.removeAllAppenders();
        sink().reset();
    }
}

bool isEnabled(Level level)
{
    return started.load(std::memory_order_acquire) && level >= threshold.load(std::memory_order_relaxed);
}

void write(Level level, std::string_view event, boost::json::object fields)
{
    if (!isEnabled(level)) {
        return;
    }
    if (!admit(*sink(), event)) {
        Metrics::instance().counter("waxwing_log_lines_dropped_total", "event", event).add();
        return;
    }
    boost::json::object line;
    line["time_ms"] = unixMilliseconds();
    line["level"] = levelName(level);
    line["process"] = sink()->process;
    line["event"] = event;
    for (auto &field : fields) {
        line[field.key()] = std::move(field.value());
    }
    sink()->logger.log(libraryLevel(level), boost::json::serialize(line));
}

} // namespace waxwing::log
