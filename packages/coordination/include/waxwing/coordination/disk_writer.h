#pragma once

#include <waxwing/coordination/raft_store.h>
#include <waxwing/support/bounded_ring.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/time.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <semaphore>
#include <thread>
#include <utility>

namespace waxwing
{

/// @brief Thread that makes writes durable, with one fsync for all writes that wait.
template<FileSystem Files>
class DiskWriter
{
public:
    /// @brief Starts the thread.
    /// @param stored called on the thread after an fsync with the last sequence number that is durable
    /// @param failed called on the thread once; nothing is written afterwards
    DiskWriter(std::unique_ptr<RaftStore<Files>> store, std::function<void(std::uint64_t sequence)> stored, std::function<void(StateError error)> failed)
        : m_store(std::move(store))
        , m_stored(std::move(stored))
        , m_failed(std::move(failed))
        , m_ring(ringCapacity)
        , m_thread([this] { run(); })
    {
    }

    DiskWriter(const DiskWriter &) = delete;
    DiskWriter &operator=(const DiskWriter &) = delete;

    /// @brief Writes what was added and ends the thread.
    ~DiskWriter()
    {
        while (!m_overflow.empty()) {
            pushOverflow();
            std::this_thread::yield();
        }
        m_stopping.store(true);
        m_wake.release();
        m_thread.join();
    }

    /// @brief Adds a write; one thread only.
    void add(RaftWrite write)
    {
        m_overflow.push_back(std::move(write));
        pushOverflow();
    }

    /// @brief Moves writes that found the ring full; to be called after each stored() report.
    void pushOverflow()
    {
        bool added = false;
        while (!m_overflow.empty() && m_ring.push(std::move(m_overflow.front()))) {
            m_overflow.pop_front();
            added = true;
        }
        if (added) {
            m_wake.release();
        }
    }

private:
    static constexpr std::size_t ringCapacity = 1024;
    static constexpr Duration fullPause = 100ms; // between attempts to write to a full disk; about an election timeout

    /// A full disk delays the writes instead of ending the member: nothing of them was reported as stored.
    bool awaitSpace(const StateError &error)
    {
        if (!std::exchange(m_full, true)) {
            Metrics::instance().counter("waxwing_log_disk_full_total").add();
            log::write(log::Level::Error, "disk full, writes wait", {{"error", error.message}});
        }
        std::this_thread::sleep_for(fullPause);
        return !m_stopping.load();
    }

    void run()
    {
        m_store->setDiskFullHandler([this](const StateError &error) { return awaitSpace(error); });
        bool failed = false;
        while (true) {
            m_wake.acquire();
            const bool stopping = m_stopping.load();
            std::uint64_t sequence = 0;
            StateResult<void> result = boost::outcome_v2::success();
            while (auto write = m_ring.pop()) {
                if (!failed && result) {
                    sequence = write->sequence;
                    result = m_store->add(*write);
                }
            }
            if (result && sequence != 0) {
                result = m_store->sync();
            }
            if (result && sequence != 0 && std::exchange(m_full, false)) {
                log::write(log::Level::Info, "disk has space again", {{"sequence", sequence}});
            }
            if (!result && !failed) {
                failed = true;
                m_failed(result.error());
            } else if (sequence != 0) {
                m_stored(sequence);
            }
            if (stopping) {
                return;
            }
        }
    }

    std::unique_ptr<RaftStore<Files>> m_store;
    std::function<void(std::uint64_t)> m_stored;
    std::function<void(StateError)> m_failed;
    BoundedRing<RaftWrite> m_ring;
    std::deque<RaftWrite> m_overflow; ///< bounded by the limit of proposals and the replication window
    std::counting_semaphore<> m_wake {0};
    std::atomic<bool> m_stopping {false};
    bool m_full = false; ///< the last attempt to write found no space; thread only
    std::thread m_thread;
};

} // namespace waxwing
