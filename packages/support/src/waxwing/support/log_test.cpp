#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/time.h>

#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace waxwing;

namespace
{

/// Writes lines to a file through a log of its own.
/// @return the lines, without their ends
std::vector<std::string> linesOf(const std::function<void()> &write)
{
    const auto file = std::filesystem::temp_directory_path() / ("waxwing-log-lines-" + std::to_string(::getpid()));
    log::start({.process = "test", .file = file.string()});
    write();
    log::stop();
    std::ifstream stream(file);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(std::move(line));
    }
    std::filesystem::remove(file);
    return lines;
}

boost::json::object objectOf(const std::string &line)
{
    boost::json::error_code error;
    const auto value = boost::json::parse(line, error);
    CPPUNIT_ASSERT_MESSAGE(line.substr(0, 300), !error && value.is_object());
    return value.get_object();
}

std::string textOf(const boost::json::object &object, std::string_view field)
{
    return std::string(object.at(field).get_string());
}

} // namespace

class LogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogTest);
    CPPUNIT_TEST(floodOfOneEventIsBounded);
    CPPUNIT_TEST(readerThatStopsDoesNotBlock);
    CPPUNIT_TEST(droppedLinesAreReported);
    CPPUNIT_TEST(longTextIsCut);
    CPPUNIT_TEST(everyLineIsValidJson);
    CPPUNIT_TEST(differentTextsStayDifferent);
    CPPUNIT_TEST(usualTextsAreUnchanged);
    CPPUNIT_TEST(waitingBytesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a flood of refusals that fills the queue of the log thread, blocks the process and hides other events.
    void floodOfOneEventIsBounded()
    {
        const auto file = std::filesystem::temp_directory_path() / ("waxwing-log-test-" + std::to_string(::getpid()));
        log::start({.process = "test", .file = file.string(), .linesPerSecond = 0, .burst = 5});
        for (int i = 0; i < 10'000; ++i) {
            log::write(log::Level::Info, "flood", {{"i", i}});
        }
        log::write(log::Level::Info, "other");
        log::stop();
        std::ifstream stream(file);
        int floods = 0;
        int others = 0;
        for (std::string line; std::getline(stream, line);) {
            floods += line.find("\"flood\"") == std::string::npos ? 0 : 1;
            others += line.find("\"other\"") == std::string::npos ? 0 : 1;
        }
        std::filesystem::remove(file);
        CPPUNIT_ASSERT_EQUAL(5, floods);
        CPPUNIT_ASSERT_EQUAL(1, others);
        CPPUNIT_ASSERT(Metrics::instance().exposition().find("waxwing_log_lines_dropped_total{event=\"flood\"} 9995") != std::string::npos);
    }

    // Guards against a collector that stops reading and blocks every thread that logs.
    void readerThatStopsDoesNotBlock()
    {
        const auto pipe = std::filesystem::temp_directory_path() / ("waxwing-log-pipe-" + std::to_string(::getpid()));
        CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR));
        const int reader = ::open(pipe.c_str(), O_RDWR | O_NONBLOCK);
        CPPUNIT_ASSERT(reader >= 0);
        constexpr unsigned queued = 100;
        constexpr int lines = 20'000; // 2 MB, more than a pipe and the queue hold
        log::start({.process = "test", .file = pipe.string(), .queueLength = queued, .linesPerSecond = lines, .burst = lines});
        for (int i = 0; i < lines; ++i) {
            log::write(log::Level::Info, "unread", {{"i", i}});
        }
        // stop() writes the queued lines first, which blocks until the pipe is read.
        std::atomic<bool> ended {false};
        std::thread drain([&] {
            std::array<char, 65'536> bytes {};
            while (!ended) {
                [[maybe_unused]] const auto size = ::read(reader, bytes.data(), bytes.size());
            }
        });
        log::stop();
        ended = true;
        drain.join();
        ::close(reader);
        std::filesystem::remove(pipe);
        CPPUNIT_ASSERT(Metrics::instance().exposition().find("waxwing_log_lines_dropped_total{event=\"unread\"}") != std::string::npos);
    }

    // Guards against a log that looks complete although lines of a flood are missing.
    void droppedLinesAreReported()
    {
        const auto file = std::filesystem::temp_directory_path() / ("waxwing-log-dropped-" + std::to_string(::getpid()));
        log::start({.process = "test", .file = file.string(), .linesPerSecond = 1'000, .burst = 5});
        const auto isReported = [&] {
            std::ifstream stream(file);
            for (std::string line; std::getline(stream, line);) {
                if (line.find("\"log lines dropped\"") != std::string::npos) {
                    return true;
                }
            }
            return false;
        };
        const auto deadline = Clock::now() + 10s;
        while (!isReported() && Clock::now() < deadline) {
            for (int i = 0; i < 1'000; ++i) {
                log::write(log::Level::Info, "burst", {{"i", i}});
            }
        }
        const bool reported = isReported();
        log::stop();
        std::filesystem::remove(file);
        CPPUNIT_ASSERT(reported);
    }

    // Guards against a request id, a shape or a list with texts of 1 MiB that makes a line of as many bytes.
    void longTextIsCut()
    {
        const std::string longText(1'048'576, 'a');
        const auto lines = linesOf([&] {
            log::write(log::Level::Info, "long", {{"request", longText}, {"pools", {longText, {{"database", longText}}}}, {longText, 1}});
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(lines.front().size()) + " bytes", lines.front().size() < 4'096);
        const auto shown = textOf(objectOf(lines.front()), "request");
        CPPUNIT_ASSERT(shown.starts_with("aaaaaaaa"));
        CPPUNIT_ASSERT(shown.find("[1048576 bytes, ") != std::string::npos);
    }

    // Guards against lines that no reader of JSON accepts, or that control a terminal, since an id or a shape holds such bytes.
    void everyLineIsValidJson()
    {
        std::vector<std::string> texts {
            std::string("nul\0", 4),   "\x1b[2Jclear",         "\xff\xfe",    "cut \xe2\x82", "overlong \xc0\xaf", "surrogate \xed\xa0\x80",
            "beyond \xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "c1 \xc2\x9b", "delete \x7f",  "\xe2\x82 late"};
        for (int byte = 0; byte < 256; ++byte) {
            texts.push_back(std::string(3, static_cast<char>(byte)));
        }
        const auto lines = linesOf([&] {
            for (const auto &text : texts) {
                log::write(log::Level::Info, "bytes", {{"request", text}, {"pools", {text, {{"database", text}}}}, {text, 1}});
            }
        });
        CPPUNIT_ASSERT_EQUAL(texts.size(), lines.size());
        for (const auto &line : lines) {
            const auto object = objectOf(line);
            for (const char byte : textOf(object, "request")) {
                CPPUNIT_ASSERT_MESSAGE(line, static_cast<unsigned char>(byte) >= 0x20 && byte != 0x7f);
            }
            CPPUNIT_ASSERT(object.at("pools").is_array());
        }
    }

    // Guards against two requests that the log shows under one id: bytes that are replaced, an escape that another caller
    // spells out, and long ids that differ near their end.
    void differentTextsStayDifferent()
    {
        const std::string longText(100'000, 'a');
        const std::vector<std::string> texts {"a\xff", "a\xfe",    "a\\xff",       "a\\\\xff",     "a\\x5cxff", "a\xef\xbf\xbd",
                                              "a\x1b", "a\\u001b", longText + "1", longText + "2", longText};
        std::set<std::string> shown;
        for (const auto &line : linesOf([&] {
                 for (const auto &text : texts) {
                     log::write(log::Level::Info, "different", {{"request", text}});
                 }
             })) {
            shown.insert(textOf(objectOf(line), "request"));
        }
        CPPUNIT_ASSERT_EQUAL(texts.size(), shown.size());
    }

    // Guards against an operator who doesn't find an ordinary id in the log, or sees names in other scripts as escapes.
    void usualTextsAreUnchanged()
    {
        const std::vector<std::string> texts {"5c0e7a21d94b36f8", "WRITE qb", "", "S\xc3\xa3o Paulo", "\xe6\x9d\xb1\xe4\xba\xac \xf0\x9f\x90\x98",
                                              "a \"quoted\" b"};
        const auto lines = linesOf([&] {
            for (const auto &text : texts) {
                log::write(log::Level::Info, "usual", {{"request", text}});
            }
        });
        CPPUNIT_ASSERT_EQUAL(texts.size(), lines.size());
        for (std::size_t i = 0; i < texts.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(texts[i], textOf(objectOf(lines[i]), "request"));
        }
    }

    // Guards against a reader that stops while lines of many fields come: 10,000 of them need more memory than a small VM has.
    void waitingBytesAreBounded()
    {
        const auto pipe = std::filesystem::temp_directory_path() / ("waxwing-log-bytes-" + std::to_string(::getpid()));
        CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR));
        const int reader = ::open(pipe.c_str(), O_RDWR | O_NONBLOCK);
        CPPUNIT_ASSERT(reader >= 0);
        constexpr int lines = 1'000;
        constexpr std::size_t queuedBytes = 100'000;
        constexpr std::size_t pipeBytes = 65'536; // what the system keeps of a pipe that nobody reads
        log::start({.process = "test", .file = pipe.string(), .queueBytes = queuedBytes, .linesPerSecond = lines, .burst = lines});
        const boost::json::array pools(20, boost::json::value(std::string(400, 'a')));
        for (int i = 0; i < lines; ++i) {
            log::write(log::Level::Info, "many bytes", {{"pools", pools}});
        }
        std::atomic<bool> ended {false};
        std::size_t received = 0;
        std::thread drain([&] {
            std::array<char, 65'536> bytes {};
            for (bool last = false; !last;) {
                last = ended;
                for (auto size = ::read(reader, bytes.data(), bytes.size()); size > 0; size = ::read(reader, bytes.data(), bytes.size())) {
                    received += static_cast<std::size_t>(size);
                }
            }
        });
        log::stop();
        ended = true;
        drain.join();
        ::close(reader);
        std::filesystem::remove(pipe);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(received) + " bytes", received > queuedBytes / 2 && received <= queuedBytes + 2 * pipeBytes);
        CPPUNIT_ASSERT(Metrics::instance().exposition().find("waxwing_log_lines_dropped_total{event=\"many bytes\"}") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
