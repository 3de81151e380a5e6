#include "request_trace.h"

#include <waxwing/support/log.h>

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>

using namespace waxwing::control;

namespace
{

constexpr const char *proxyLog
    = "10.0: {\"time_ms\":9000,\"level\":\"warning\",\"process\":\"p1\",\"event\":\"lease lost\",\"config_version\":3}\n"
      "{\"time_ms\":9900,\"level\":\"info\",\"process\":\"p1\",\"event\":\"statement refused\",\"request\":\"a1\",\"service\":\"s\",\"held_ms\":400}\n"
      "{\"time_ms\":9901,\"level\":\"info\",\"process\":\"p1\",\"event\":\"statement refused\",\"request\":\"b2\",\"service\":\"s\",\"held_ms\":0}\n"
      "{\"time_ms\":9902,\"level\":\"info\",\"process\":\"p1\",\"event\":\"database lost\",\"service\":\"t\",\"database\":\"i-9\"}\n"
      "{\"time_ms\":20000,\"level\":\"info\",\"process\":\"p1\",\"event\":\"lease gained\"}\n"
      "{\"time_ms\":9903,\"event\":\n";
constexpr const char *controlLog
    = "{\"time_ms\":8800,\"level\":\"warning\",\"process\":\"c1\",\"event\":\"primary change started\",\"service\":\"s\",\"cause\":\"silent\"}\n"
      "{\"time_ms\":8700,\"level\":\"info\",\"process\":\"c1\",\"event\":\"leading\",\"term\":4}\n"
      "{\"time_ms\":8600,\"level\":\"info\",\"process\":\"c1\",\"event\":\"database changed\",\"service\":\"t\"}\n"
      "{\"time_ms\":8500,\"level\":\"info\",\"process\":\"c1\",\"event\":\"reload requested\"}\n";

/// Number of lines of a request in a log.
std::size_t linesOf(const std::string &request, const std::string &text)
{
    RequestTrace trace(request);
    std::istringstream log(text);
    trace.collectRequest(log);
    return trace.lines().size();
}

std::vector<std::string> eventsOf(const std::string &request)
{
    RequestTrace trace(request);
    for (const auto *text : {controlLog, proxyLog}) {
        std::istringstream log(text);
        trace.collectRequest(log);
    }
    for (const auto *text : {controlLog, proxyLog}) {
        std::istringstream log(text);
        trace.collectRelated(log);
    }
    std::vector<std::string> events;
    for (const auto &line : trace.lines()) {
        events.push_back(line.event);
    }
    return events;
}

} // namespace

class RequestTraceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestTraceTest);
    CPPUNIT_TEST(causesPrecedeTheOutcome);
    CPPUNIT_TEST(unknownRequestHasNoLines);
    CPPUNIT_TEST(truncatedLineIsCounted);
    CPPUNIT_TEST(idIsFoundAsCallersAndTheLogWriteIt);
    CPPUNIT_TEST(damagedLinesAreSkipped);
    CPPUNIT_TEST(preparationOfTheConnectionIsShown);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an explanation that lacks the cause, or includes lines of other requests, services or times.
    void causesPrecedeTheOutcome()
    {
        const std::vector<std::string> expected {"leading", "primary change started", "lease lost", "statement refused"};
        CPPUNIT_ASSERT(expected == eventsOf("a1"));
    }

    // Guards against reporting unrelated lines for a request that no process logged.
    void unknownRequestHasNoLines()
    {
        CPPUNIT_ASSERT(eventsOf("c3").empty());
    }

    // Guards against a truncated log that looks complete, because a line without its end is skipped silently.
    void truncatedLineIsCounted()
    {
        RequestTrace trace("a1");
        std::istringstream first(proxyLog);
        trace.collectRequest(first);
        std::istringstream second(proxyLog);
        trace.collectRelated(second);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), trace.unreadable());
    }

    // Guards against a request that is not found since the log escapes or cuts its id: quotes, backslashes, control characters,
    // bytes that are not UTF-8, and great length.
    void idIsFoundAsCallersAndTheLogWriteIt()
    {
        const std::vector<std::string> ids {
            "5c0e7a21d94b36f8", "a\"b", "a\\b", "a\tb", "a\xff", "S\xc3\xa3o", std::string(100'000, 'a') + "1", std::string(100'000, 'a') + "2"};
        const auto file = std::filesystem::temp_directory_path() / ("waxwing-trace-" + std::to_string(::getpid()));
        waxwing::log::start({.process = "p1", .file = file.string()});
        for (const auto &id : ids) {
            waxwing::log::write(waxwing::log::Level::Info, "statement refused", {{"request", id}});
        }
        waxwing::log::stop();
        std::stringstream log;
        log << std::ifstream(file).rdbuf();
        std::filesystem::remove(file);
        for (const auto &id : ids) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id.substr(0, 100), std::size_t(1), linesOf(id, log.str()));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), linesOf("a\\x5cb", log.str()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), linesOf("a\\xff", log.str()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), linesOf("a", log.str()));
    }

    // Guards against an explanation that ends, or takes in the lines of all times, since a line of one file is damaged.
    void damagedLinesAreSkipped()
    {
        const auto most = std::to_string(std::numeric_limits<std::int64_t>::max());
        const auto least = std::to_string(std::numeric_limits<std::int64_t>::min());
        const std::vector<std::string> damaged {R"({"time_ms":)" + most + R"(,"process":"p1","event":"statement refused","request":"a1"})",
                                                R"({"time_ms":)" + least + R"(,"process":"p1","event":"statement refused","request":"a1"})",
                                                R"({"time_ms":1e300,"process":"p1","event":"statement refused","request":"a1"})",
                                                R"({"time_ms":"soon","process":"p1","event":"statement refused","request":"a1"})",
                                                R"({"time_ms":9900,"held_ms":)" + most + R"(,"process":"p1","event":"statement refused","request":"a1"})",
                                                R"({"time_ms":9900,"process":[],"event":{},"request":"a1"})",
                                                R"({"time_ms":9900,"process":"p1","event":"statement refused","request":"a1","text":")"
                                                    + std::string("\xff\"}"),
                                                R"({"time_ms":9900,"process":"p1","event":"statement refused","request":"a1","te)",
                                                R"({"time_ms":9900,"event":"statement refused","request":"a1","x":)" + std::string(100'000, '[') + "}",
                                                std::string("\0{\"a1\"", 6)};
        std::string text;
        for (const auto &line : damaged) {
            text += line + '\n';
        }
        text += proxyLog;
        RequestTrace trace("a1");
        std::istringstream first(text);
        trace.collectRequest(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), trace.lines().size());
        CPPUNIT_ASSERT_EQUAL(damaged.size(), trace.unreadable());
        std::istringstream second(text);
        trace.collectRelated(second);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), trace.lines().size());
    }

    // Guards against an explanation of a statement that ran as another which lacks what its connection was prepared with, or shows what
    // another connection, another process, or the process before a restart was prepared with.
    void preparationOfTheConnectionIsShown()
    {
        const auto prepared = [](std::int64_t timeMs, const std::string &process, int connection, const std::string &shape) {
            return R"({"time_ms":)" + std::to_string(timeMs) + R"(,"process":")" + process
                + R"(","event":"statement prepared","request":"z9","service":"s","connection":)" + std::to_string(connection) + R"(,"name":"p2","shape":")"
                + shape + "\"}\n";
        };
        const std::string text = prepared(50, "p1", 7, "before a restart") + prepared(100, "p1", 7, "qa qb") + prepared(110, "p1", 8, "other connection")
            + prepared(120, "p2", 7, "other process")
            + R"({"time_ms":9900,"process":"p1","event":"prepared statement sent","request":"a1","service":"s","connection":7,"name":"p2"})" + '\n'
            + prepared(9950, "p1", 7, "after a restart");
        RequestTrace trace("a1");
        std::istringstream first(text);
        trace.collectRequest(first);
        std::istringstream second(text);
        trace.collectRelated(second);
        const auto &lines = trace.lines();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("statement prepared"), lines.front().event);
        CPPUNIT_ASSERT_EQUAL(std::string("qa qb"), std::string(lines.front().fields.at("shape").get_string()));
        CPPUNIT_ASSERT(!lines.front().ofRequest);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTraceTest);
