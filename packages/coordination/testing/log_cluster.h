#pragma once

#include <waxwing/coordination/log_host.h>
#include <waxwing/state/memory_file_system.h>

#include <boost/asio/io_context.hpp>
#include <cppunit/TestAssert.h>

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief State machine for tests whose state is the list of all applied commands.
class ListMachine
{
public:
    std::vector<std::byte> apply(LogIndex, std::span<const std::byte> command)
    {
        m_commands.emplace_back(reinterpret_cast<const char *>(command.data()), command.size());
        return {command.begin(), command.end()};
    }

    std::vector<std::byte> snapshot() const
    {
        std::string text;
        for (const auto &command : m_commands) {
            text += command + '\n';
        }
        const auto bytes = std::as_bytes(std::span(text));
        return {bytes.begin(), bytes.end()};
    }

    bool restore(std::span<const std::byte> bytes)
    {
        m_commands.clear();
        std::string_view text(reinterpret_cast<const char *>(bytes.data()), bytes.size());
        for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n')) {
            m_commands.emplace_back(text.substr(0, end));
            text.remove_prefix(end + 1);
        }
        return text.empty();
    }

    const std::vector<std::string> &commands() const
    {
        return m_commands;
    }

private:
    std::vector<std::string> m_commands;
};

/// @brief Transport that delivers packets inside the test process.
class TestPeers
{
public:
    void send(const std::string &address, std::string packet)
    {
        wire::RaftPacket decoded;
        decoded.ParseFromString(packet);
        if (decoded.from_address() == blockedSender) {
            return;
        }
        if (const auto receiver = receivers.find(address); receiver != receivers.end()) {
            receiver->second(std::move(packet));
        }
    }

    std::map<std::string, std::function<void(std::string)>> receivers;
    std::string blockedSender; ///< packets from this member are dropped
};

/// @brief Test fixture: members of one log on one thread, each with its own simulated disk.
class LogCluster
{
public:
    using Host = LogHost<ListMachine, TestPeers, MemoryFileSystem>;

    explicit LogCluster(std::vector<std::string> addresses)
        : m_addresses(std::move(addresses))
    {
    }

    /// @brief Starts a member. Its disk keeps its content between calls.
    StateResult<void> start(const std::string &address)
    {
        auto &disk = m_disks[address];
        if (!disk) {
            disk = std::make_unique<MemoryDisk>();
        }
        LogHostOptions options = hostOptions;
        options.folder = "data/log";
        options.address = address;
        options.initialMembers = m_addresses;
        auto host = std::make_unique<Host>(m_context, m_peers, ListMachine(), options, MemoryFileSystem(*disk));
        auto result = host->start();
        if (result) {
            m_peers.receivers[address] = [member = host.get()](std::string packet) {
                member->receive(std::move(packet));
            };
            m_hosts[address] = std::move(host);
        }
        return result;
    }

    void startAll()
    {
        for (const auto &address : m_addresses) {
            CPPUNIT_ASSERT(start(address).has_value());
        }
    }

    /// @brief Stops a member and discards all data that it did not sync.
    void crash(const std::string &address)
    {
        m_peers.receivers.erase(address);
        m_hosts.erase(address);
        m_disks[address]->crash([](std::string &tail) { tail.clear(); });
    }

    /// @brief Replaces the disk of a crashed member with an empty one.
    void replaceDisk(const std::string &address)
    {
        m_disks[address] = std::make_unique<MemoryDisk>();
    }

    /// @brief Runs the members until the condition holds; fails the test if it does not within 60 s.
    void runUntil(const std::function<bool()> &condition)
    {
        const auto limit = Clock::now() + std::chrono::seconds(60);
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition was not reached within 60 s", Clock::now() < limit);
            m_context.run_one_for(std::chrono::milliseconds(100));
        }
    }

    /// @brief Waits for a leader and returns its address.
    std::string leader()
    {
        std::string found;
        runUntil([&] {
            for (const auto &[address, host] : m_hosts) {
                if (host->isLeader()) {
                    found = address;
                }
            }
            return !found.empty();
        });
        return found;
    }

    /// @brief Proposes a command to the current leader, and repeats it until a proposal is committed.
    /// @return index of the entry
    LogIndex propose(const std::string &command)
    {
        LogIndex index = 0;
        while (index == 0) {
            bool finished = false;
            host(leader()).propose(command, [&](const ProposeResult &result) {
                finished = true;
                index = result.outcome == LogOutcome::Done ? result.index : 0;
            });
            runUntil([&] { return finished; });
        }
        return index;
    }

    /// @brief Collects the packets to a member instead of delivering them.
    void capture(const std::string &address)
    {
        m_peers.receivers[address] = [this](std::string packet) {
            m_captured.push_back(std::move(packet));
        };
    }

    const std::vector<std::string> &captured() const
    {
        return m_captured;
    }

    /// @brief Drops all packets that a member sends from now on.
    void blockPacketsFrom(const std::string &address)
    {
        m_peers.blockedSender = address;
    }

    /// @brief Delivers the collected packets to a member, all of them before it processes the next step.
    void deliverCaptured(const std::string &address)
    {
        for (auto &packet : std::exchange(m_captured, {})) {
            host(address).receive(std::move(packet));
        }
    }

    Host &host(const std::string &address)
    {
        return *m_hosts.at(address);
    }

    MemoryDisk &disk(const std::string &address)
    {
        return *m_disks.at(address);
    }

    LogHostOptions hostOptions;

private:
    std::vector<std::string> m_addresses;
    boost::asio::io_context m_context;
    TestPeers m_peers;
    std::vector<std::string> m_captured;
    std::map<std::string, std::unique_ptr<MemoryDisk>> m_disks;
    std::map<std::string, std::unique_ptr<Host>> m_hosts;
};

} // namespace waxwing
