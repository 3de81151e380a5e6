#pragma once

#include "workload.h"

#include <waxwing/coordination/admission_queue.h>
#include <waxwing/coordination/concurrency_limit.h>
#include <waxwing/coordination/slot_schedule.h>
#include <waxwing/coordination/work_class.h>
#include <waxwing/support/random.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief How one statement of a run ended.
struct Completion
{
    std::optional<Duration> latency {}; ///< nothing if it was refused
    bool onTime = false;
    WorkClass workClass = WorkClass::Short; ///< as predicted
};

struct SimulationOptions
{
    std::size_t endpoints = 3; ///< the first one is the primary
    std::size_t slots = 3; ///< per endpoint
    AdmissionOptions admission {};
    SlotScheduleOptions schedule {};
};

/// @brief Runs arrivals through the decision modules of an owner proxy on a virtual clock.
template<QueueOrder Order, ConcurrencyLimiting Limit>
class Simulation
{
public:
    Simulation(const SimulationOptions &options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
        , m_queue(options.admission)
        , m_schedule(options.schedule)
        , m_limits(options.endpoints, Limit(options.slots))
    {
        for (std::size_t i = 0; i < options.endpoints; ++i) {
            m_endpoints.push_back({.name = std::to_string(i), .isUsable = true, .limit = options.slots});
            (i == 0 ? m_primary : m_replicas).set(i);
        }
        if (options.endpoints == 1) {
            m_replicas = m_primary;
        }
    }

    /// @brief Runs all arrivals to their end.
    /// @return one completion for each arrival, in the same order
    std::vector<Completion> run(const std::vector<Arrival> &arrivals)
    {
        m_arrivals = &arrivals;
        m_completions.assign(arrivals.size(), {});
        m_running.assign(arrivals.size(), {});
        std::size_t next = 0;
        while (next < arrivals.size() || !m_events.empty()) {
            if (next < arrivals.size() && (m_events.empty() || arrivals[next].at <= m_events.top().at)) {
                admit(next, arrivals[next].at);
                dispatch(arrivals[next].at);
                ++next;
            } else {
                const auto event = m_events.top();
                m_events.pop();
                handle(event);
                dispatch(event.at);
            }
        }
        return m_completions;
    }

private:
    enum class EventKind {
        Finish,
        Reclassify,
    };
    struct Event
    {
        TimePoint at;
        EventKind kind;
        std::size_t statement;

        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : statement > other.statement;
        }
    };
    struct Running
    {
        bool isRunning = false;
        std::size_t endpoint = 0;
        WorkClass workClass = WorkClass::Short;
        Duration predictedCost {};
        TimePoint startedAt {};
    };

    void admit(std::size_t index, TimePoint now)
    {
        const auto &arrival = (*m_arrivals)[index];
        QueuedStatement statement {
            .id = index,
            .workClass = m_classifier.classify(arrival.fingerprint),
            .requiresPrimary = arrival.isWrite,
            .caller = arrival.caller,
            .weight = arrival.weight,
            .predictedCost = m_classifier.predictedCost(arrival.fingerprint),
            .arrivedAt = now,
            .deadline = arrival.deadline,
        };
        m_completions[index].workClass = statement.workClass;
        const auto slots = SlotSchedule::slotsFor(statement, m_endpoints, 0);
        m_queue.admit(std::move(statement), slots, now);
    }

    void dispatch(TimePoint now)
    {
        m_queue.takeOverdue(now);
        const auto places = [this](const QueuedStatement &statement) {
            return statement.requiresPrimary ? EligibleEndpoints {.preferred = m_primary} : EligibleEndpoints {.preferred = m_replicas, .overflow = m_primary};
        };
        while (const auto assignment = m_schedule.next(m_queue, m_endpoints, places, m_random, now)) {
            const auto statement = m_queue.remove(assignment->statement);
            const auto index = static_cast<std::size_t>(assignment->statement);
            auto &endpoint = m_endpoints[assignment->endpoint];
            ++endpoint.running;
            endpoint.runningLong += statement->workClass == WorkClass::Long ? 1 : 0;
            m_running[index] = {true, assignment->endpoint, statement->workClass, statement->predictedCost, now};
            m_events.push({now + (*m_arrivals)[index].cost, EventKind::Finish, index});
            if (statement->workClass == WorkClass::Short) {
                m_events.push({now + m_classifier.longThreshold(), EventKind::Reclassify, index});
            }
        }
    }

    void handle(const Event &event)
    {
        auto &running = m_running[event.statement];
        if (!running.isRunning) {
            return;
        }
        const auto &arrival = (*m_arrivals)[event.statement];
        auto &endpoint = m_endpoints[running.endpoint];
        if (event.kind == EventKind::Reclassify) {
            running.workClass = WorkClass::Long;
            ++endpoint.runningLong;
            m_classifier.observeRunning(arrival.fingerprint, event.at - running.startedAt);
            return;
        }
        running.isRunning = false;
        auto &limit = m_limits[running.endpoint];
        limit.onFinished({.cost = arrival.cost, .predictedCost = running.predictedCost, .running = endpoint.running}, event.at);
        --endpoint.running;
        endpoint.runningLong -= running.workClass == WorkClass::Long ? 1 : 0;
        endpoint.limit = limit.limit();
        m_classifier.observe(arrival.fingerprint, arrival.cost);
        m_schedule.recordUse(running.workClass, arrival.cost, m_queue.size(WorkClass::Long) > 0, event.at);
        m_queue.recordUse(arrival.caller, arrival.cost, event.at);
        m_completions[event.statement].latency = event.at - arrival.at;
        m_completions[event.statement].onTime = event.at <= arrival.deadline;
    }

    SimulationOptions m_options;
    Random m_random;
    AdmissionQueue<Order> m_queue;
    SlotSchedule m_schedule;
    WorkClassifier m_classifier;
    std::vector<Limit> m_limits;
    std::vector<EndpointState> m_endpoints;
    EndpointSet m_primary;
    EndpointSet m_replicas;
    const std::vector<Arrival> *m_arrivals = nullptr;
    std::vector<Completion> m_completions;
    std::vector<Running> m_running;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

} // namespace waxwing
