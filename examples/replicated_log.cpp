// A counter that three members keep equal through the replicated log. All members run in this process and on one thread;
// a real process has one member, and its LogPeers sends the packets over sockets.
#include <waxwing/coordination/log_host.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

using namespace waxwing;

namespace
{

constexpr auto deadline = std::chrono::seconds(20);

/// Adds the number of bytes of each command.
class CounterMachine
{
public:
    std::vector<std::byte> apply(LogIndex, std::span<const std::byte> command)
    {
        m_total += command.size();
        return snapshot();
    }

    std::vector<std::byte> snapshot() const
    {
        const auto bytes = std::as_bytes(std::span(&m_total, 1));
        return {bytes.begin(), bytes.end()};
    }

    bool restore(std::span<const std::byte> bytes)
    {
        if (bytes.size() != sizeof(m_total)) {
            return false;
        }
        std::memcpy(&m_total, bytes.data(), sizeof(m_total));
        return true;
    }

    std::uint64_t total() const
    {
        return m_total;
    }

private:
    std::uint64_t m_total = 0;
};

/// Delivers packets inside this process.
class LocalPeers
{
public:
    void send(const std::string &address, std::string packet)
    {
        if (const auto receiver = receivers.find(address); receiver != receivers.end()) {
            receiver->second(std::move(packet));
        }
    }

    std::map<std::string, std::function<void(std::string)>> receivers;
};

using Host = LogHost<CounterMachine, LocalPeers>;

} // namespace

int main()
{
    char folder[] = "/tmp/waxwing-example-XXXXXX";
    if (mkdtemp(folder) == nullptr) {
        return 1;
    }
    boost::asio::io_context context;
    LocalPeers peers;
    std::vector<std::unique_ptr<Host>> hosts;
    const std::vector<std::string> addresses {"control-1", "control-2", "control-3"};
    int result = 1;
    for (const auto &address : addresses) {
        LogHostOptions options;
        options.folder = std::string(folder) + "/" + address;
        options.address = address;
        options.initialMembers = addresses;
        auto &host = *hosts.emplace_back(std::make_unique<Host>(context, peers, CounterMachine(), options));
        peers.receivers[address] = [&host](std::string packet) {
            host.receive(std::move(packet));
        };
        // Runs on the member that becomes leader.
        host.observeLeadership([&](bool leads, LogTerm) {
            if (!leads) {
                return;
            }
            host.propose("hello", [&](const ProposeResult &proposed) {
                std::printf("proposal: outcome %d, entry %llu\n", static_cast<int>(proposed.outcome), static_cast<unsigned long long>(proposed.index));
                host.read([&](const ReadResult &read) {
                    std::printf("read: outcome %d, total %llu\n", static_cast<int>(read.outcome), static_cast<unsigned long long>(host.machine().total()));
                    result = read.outcome == LogOutcome::Done && host.machine().total() == 5 ? 0 : 1;
                    context.stop();
                });
            });
        });
        if (auto started = host.start(); !started) {
            std::fprintf(stderr, "%s\n", started.error().message.c_str());
            return 1;
        }
    }
    boost::asio::steady_timer timer(context, deadline);
    timer.async_wait([&](const boost::system::error_code &) { context.stop(); });
    context.run();
    hosts.clear();
    std::filesystem::remove_all(folder);
    return result;
}
