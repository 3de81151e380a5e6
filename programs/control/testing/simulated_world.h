#pragma once

#include <waxwing/support/random.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::control::testing
{

/// @brief Virtual time, events and network links between named processes, for randomised tests.
class SimulatedWorld
{
public:
    explicit SimulatedWorld(std::uint64_t seed)
        : random(seed)
    {
    }

    Duration now() const
    {
        return m_now;
    }

    /// @brief Calls a function after a delay in virtual time.
    void after(Duration delay, std::function<void()> function)
    {
        m_events.push({m_now + delay, ++m_sequence, std::move(function)});
    }

    /// @brief Delivers a message unless the link is cut when it is sent or when it arrives; messages of a pair stay in order.
    void send(const std::string &from, const std::string &to, std::function<void()> deliver)
    {
        if (isCut(from, to)) {
            return;
        }
        const auto delay = random.chance(0.002) ? random.upTo(400ms) : 200us + random.upTo(3ms);
        auto &last = m_lastDelivery[{from, to}];
        last = std::max(last + 1ns, m_now + delay);
        m_events.push({last, ++m_sequence, [this, from, to, deliver = std::move(deliver)] {
                           if (!isCut(from, to)) {
                               deliver();
                           }
                       }});
    }

    bool isCut(const std::string &a, const std::string &b) const
    {
        return m_cuts.contains(std::minmax(a, b));
    }

    /// @brief Cuts or repairs the link between two processes.
    void setCut(const std::string &a, const std::string &b, bool cut)
    {
        if (cut) {
            m_cuts.insert(std::minmax(a, b));
        } else {
            m_cuts.erase(std::minmax(a, b));
        }
    }

    /// @brief Runs all events up to a point in virtual time.
    void runUntil(Duration end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.function();
        }
        m_now = end;
    }

    Random random;

private:
    struct Event
    {
        Duration at;
        std::uint64_t sequence;
        std::function<void()> function;

        bool operator<(const Event &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    Duration m_now {};
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
    std::map<std::pair<std::string, std::string>, Duration> m_lastDelivery;
    std::set<std::pair<std::string, std::string>> m_cuts;
};

/// @brief Monotonic clock of one simulated process; it runs faster or slower than the virtual time.
class SimulatedClock
{
public:
    explicit SimulatedClock(SimulatedWorld &world)
        : m_world(world)
        , m_rate(0.976 + world.random.unit() * 0.048) // two clocks differ by less than the 5% margin of the leases
        , m_offset(world.random.upTo(1'000s) + 100s)
    {
    }

    TimePoint now() const
    {
        return TimePoint(m_offset + Duration(static_cast<Duration::rep>(static_cast<double>(m_world.now().count()) * m_rate)));
    }

private:
    SimulatedWorld &m_world;
    double m_rate;
    Duration m_offset;
};

} // namespace waxwing::control::testing
