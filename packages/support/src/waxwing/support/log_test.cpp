#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/time.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

using namespace waxwing;

class LogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogTest);
    CPPUNIT_TEST(floodOfOneEventIsBounded);
    CPPUNIT_TEST(readerThatStopsDoesNotBlock);
    CPPUNIT_TEST(droppedLinesAreReported);
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
