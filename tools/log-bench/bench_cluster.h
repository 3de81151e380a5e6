#pragma once

#include <waxwing/coordination/log_host.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief State machine that only counts commands.
class CountingMachine
{
public:
    std::vector<std::byte> apply(LogIndex, std::span<const std::byte>)
    {
        ++m_count;
        return {};
    }

    std::vector<std::byte> snapshot() const
    {
        return std::vector<std::byte>(sizeof(m_count));
    }

    bool restore(std::span<const std::byte>)
    {
        return true;
    }

private:
    std::uint64_t m_count = 0;
};

/// @brief Delivers packets inside the process and counts them.
class CountingPeers
{
public:
    void send(const std::string &address, std::string packet)
    {
        messages.fetch_add(1, std::memory_order_relaxed);
        bytes.fetch_add(packet.size(), std::memory_order_relaxed);
        const std::lock_guard lock(mutex);
        if (const auto receiver = receivers.find(address); receiver != receivers.end()) {
            receiver->second(std::move(packet));
        }
    }

    std::mutex mutex; ///< protects receivers
    std::map<std::string, std::function<void(std::string)>> receivers;
    std::atomic<std::uint64_t> messages {0};
    std::atomic<std::uint64_t> bytes {0};
};

using BenchHost = LogHost<CountingMachine, CountingPeers>;

/// @brief Members of one log in this process, each with its own threads and files.
class BenchCluster
{
public:
    /// @brief Prepares members; start() runs them.
    /// @param folder for the files of all members
    BenchCluster(std::string folder, std::size_t members)
        : m_folder(std::move(folder))
    {
        for (std::size_t i = 0; i < members; ++i) {
            m_addresses.push_back("member-" + std::to_string(i));
        }
    }

    ~BenchCluster()
    {
        while (!m_members.empty()) {
            stop(m_members.begin()->first);
        }
    }

    BenchCluster(const BenchCluster &) = delete;
    BenchCluster &operator=(const BenchCluster &) = delete;

    /// @brief Starts a member on its own thread.
    /// @return false if its files can't be used
    bool start(const std::string &address)
    {
        auto member = std::make_unique<Member>();
        LogHostOptions options = base;
        options.folder = m_folder + "/" + address;
        options.address = address;
        options.initialMembers = m_addresses;
        member->host = std::make_unique<BenchHost>(member->context, peers, CountingMachine(), options);
        if (const auto result = member->host->start(); !result) {
            std::fprintf(stderr, "%s\n", result.error().message.c_str());
            return false;
        }
        {
            const std::lock_guard lock(peers.mutex);
            peers.receivers[address] = [host = member->host.get()](std::string packet) {
                host->receive(std::move(packet));
            };
        }
        member->thread = std::thread([context = &member->context] { context->run(); });
        m_members[address] = std::move(member);
        return true;
    }

    /// @brief Ends a member at once.
    void stop(const std::string &address)
    {
        {
            const std::lock_guard lock(peers.mutex);
            peers.receivers.erase(address);
        }
        auto member = std::move(m_members.at(address));
        m_members.erase(address);
        member->context.stop();
        member->thread.join();
        member->host.reset();
    }

    /// @brief Calls a function on the thread of a member and waits for its result.
    template<class Function>
    auto call(const std::string &address, Function function)
    {
        auto &member = *m_members.at(address);
        std::packaged_task<decltype(function(*member.host))()> task([&] { return function(*member.host); });
        auto result = task.get_future();
        boost::asio::post(member.context, [&task] { task(); });
        return result.get();
    }

    /// @brief Waits for a leader with a lease.
    std::string leader()
    {
        while (true) {
            for (const auto &[address, member] : m_members) {
                if (call(address, [](const BenchHost &host) { return host.isLeader(); })) {
                    return address;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    const std::vector<std::string> &addresses() const
    {
        return m_addresses;
    }

    BenchHost &host(const std::string &address)
    {
        return *m_members.at(address)->host;
    }

    LogHostOptions base;
    CountingPeers peers;

private:
    struct Member
    {
        boost::asio::io_context context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work {context.get_executor()};
        std::unique_ptr<BenchHost> host;
        std::thread thread;
    };

    std::string m_folder;
    std::vector<std::string> m_addresses;
    std::map<std::string, std::unique_ptr<Member>> m_members;
};

} // namespace waxwing
