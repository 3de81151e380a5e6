#pragma once

#include "answer.h"
#include "arrival.h"
#include "operation.h"

#include <boost/json/object.hpp>

#include <map>
#include <string>
#include <vector>

namespace waxwing::load
{

struct LoadOptions;

/// @brief Figures of one run. Latencies count from the planned arrival.
class Results
{
public:
    Results(const LoadOptions &options, const std::vector<OperationClass> &classes, const std::vector<Arrival> &arrivals);

    /// @brief Sets the time of the first planned arrival.
    void start(TimePoint time)
    {
        m_start = time;
    }

    /// @brief Adds an operation that has ended now.
    void add(const Operation &operation, const Answer &answer);

    /// @brief All figures, for the JSON file.
    boost::json::object toJson() const;

    /// @brief Figures per 100 ms of planned arrivals, as CSV.
    std::string toCsv() const;

    /// @brief Figures per class, for the terminal.
    std::string toTable() const;

private:
    struct ClassFigures
    {
        std::map<std::string, std::uint64_t> outcomes;
        std::uint64_t onTime = 0;
        std::vector<double> latencies; // Milliseconds, of operations that are done.
    };

    struct Bucket
    {
        double planned = 0; // Weights.
        double onTime = 0;
        std::uint64_t done = 0;
        std::uint64_t notDone = 0;
    };

    double writeGap(const std::vector<TimePoint> &times) const;
    boost::json::object surgeFigures() const;

    const LoadOptions &m_options;
    const std::vector<OperationClass> &m_classes;
    const std::vector<Arrival> &m_arrivals;
    TimePoint m_start;
    std::vector<ClassFigures> m_figures; // By class.
    std::vector<Bucket> m_buckets;
    std::map<std::string, std::uint64_t> m_reasons;
    std::map<std::string, std::vector<TimePoint>> m_writes; // Times of writes done, by service.
    std::uint64_t m_replicaReads = 0;
    std::uint64_t m_reads = 0;
};

} // namespace waxwing::load
