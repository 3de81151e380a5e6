#include "results.h"

#include "clairvoyant.h"
#include "load_options.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace waxwing::load
{

namespace json = boost::json;

namespace
{

constexpr auto bucketLength = 100ms;

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

double quantile(std::vector<double> &values, double probability)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = std::min(values.size() - 1, static_cast<std::size_t>(std::ceil(probability * static_cast<double>(values.size()))));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

std::string format(const char *pattern, double value)
{
    char text[64];
    std::snprintf(text, sizeof text, pattern, value);
    return text;
}

} // namespace

Results::Results(const LoadOptions &options, const std::vector<OperationClass> &classes, const std::vector<Arrival> &arrivals)
    : m_options(options)
    , m_classes(classes)
    , m_arrivals(arrivals)
    , m_figures(classes.size())
    , m_buckets(static_cast<std::size_t>(options.duration / bucketLength) + 1)
{
    for (const auto &arrival : arrivals) {
        m_buckets[static_cast<std::size_t>(arrival.planned / bucketLength)].planned += classes[arrival.operation].weight;
    }
}

void Results::add(const Operation &operation, const Answer &answer)
{
    const auto now = Clock::now();
    const auto &operationClass = *operation.operationClass;
    auto &figures = m_figures[m_arrivals[operation.arrival].operation];
    auto &bucket = m_buckets[static_cast<std::size_t>(m_arrivals[operation.arrival].planned / bucketLength)];
    ++figures.outcomes[answer.outcome];
    if (answer.outcome != "done") {
        ++bucket.notDone;
        ++m_reasons[answer.outcome + "/" + answer.reason];
        return;
    }
    ++bucket.done;
    figures.latencies.push_back(milliseconds(now - operation.planned));
    if (now <= operation.planned + m_options.deadline) {
        ++figures.onTime;
        bucket.onTime += operationClass.weight;
    }
    if (operationClass.isWrite) {
        m_writes[operation.service].push_back(now);
    } else {
        ++m_reads;
        m_replicaReads += answer.role == "replica" ? 1 : 0;
    }
}

json::object Results::toJson() const
{
    json::object classes;
    auto figures = m_figures;
    for (std::size_t index = 0; index < m_classes.size(); ++index) {
        auto &latencies = figures[index].latencies;
        json::object outcomes;
        for (const auto &[outcome, count] : figures[index].outcomes) {
            outcomes[outcome] = count;
        }
        classes[m_classes[index].name]
            = json::object {{"outcomes", std::move(outcomes)},    {"on_time", figures[index].onTime},    {"p50_ms", quantile(latencies, 0.5)},
                            {"p90_ms", quantile(latencies, 0.9)}, {"p99_ms", quantile(latencies, 0.99)}, {"max_ms", quantile(latencies, 1)},
                            {"long", m_classes[index].isLong}};
    }
    std::vector<double> all;
    std::vector<double> shortOnes;
    for (std::size_t index = 0; index < m_classes.size(); ++index) {
        all.insert(all.end(), figures[index].latencies.begin(), figures[index].latencies.end());
        if (!m_classes[index].isLong) {
            shortOnes.insert(shortOnes.end(), figures[index].latencies.begin(), figures[index].latencies.end());
        }
    }
    json::object reasons;
    for (const auto &[reason, count] : m_reasons) {
        reasons[reason] = count;
    }
    json::object gaps;
    for (const auto &service : m_options.services) {
        const auto entry = m_writes.find(service);
        gaps[service] = writeGap(entry == m_writes.end() ? std::vector<TimePoint>() : entry->second);
    }
    return {{"seed", m_options.seed},
            {"rate", m_options.rate},
            {"duration_s", milliseconds(m_options.duration) / 1000},
            {"planned", m_arrivals.size()},
            {"done", all.size()},
            {"p50_ms", quantile(all, 0.5)},
            {"p99_ms", quantile(all, 0.99)},
            {"short_p50_ms", quantile(shortOnes, 0.5)},
            {"short_p99_ms", quantile(shortOnes, 0.99)},
            {"replica_read_share", m_reads == 0 ? 0.0 : static_cast<double>(m_replicaReads) / static_cast<double>(m_reads)},
            {"write_gap_ms", std::move(gaps)},
            {"surge", surgeFigures()},
            {"reasons", std::move(reasons)},
            {"classes", std::move(classes)}};
}

double Results::writeGap(const std::vector<TimePoint> &times) const
{
    auto previous = m_start;
    Duration gap = 0s;
    for (const auto &time : times) {
        gap = std::max<Duration>(gap, time - previous);
        previous = time;
    }
    return milliseconds(std::max<Duration>(gap, m_start + m_options.duration - previous));
}

json::object Results::surgeFigures() const
{
    const auto begin = m_options.surge.start;
    const auto end = begin + m_options.surge.length;
    if (m_options.surge.length == 0s) {
        return {};
    }
    double planned = 0;
    double onTime = 0;
    for (std::size_t index = 0; index < m_buckets.size(); ++index) {
        if (index * bucketLength >= begin && index * bucketLength < end) {
            planned += m_buckets[index].planned;
            onTime += m_buckets[index].onTime;
        }
    }
    double clairvoyant = 0;
    for (std::size_t service = 0; service < m_options.services.size(); ++service) {
        clairvoyant += clairvoyantWeight(m_options, m_classes, m_arrivals, service, begin, end);
    }
    // Recovered once every later group of five buckets is served on time to 95%; single buckets hold too few operations.
    constexpr std::size_t window = 5;
    constexpr double recoveredShare = 0.95;
    auto recovered = static_cast<std::size_t>(end / bucketLength);
    for (auto index = recovered; index + window < m_buckets.size(); ++index) {
        double windowPlanned = 0;
        double windowOnTime = 0;
        for (auto part = index; part < index + window; ++part) {
            windowPlanned += m_buckets[part].planned;
            windowOnTime += m_buckets[part].onTime;
        }
        if (windowOnTime < recoveredShare * windowPlanned) {
            recovered = index + 1;
        }
    }
    return {{"planned_weight", planned},
            {"on_time_weight", onTime},
            {"clairvoyant_weight", clairvoyant},
            {"service_ratio", clairvoyant > 0 ? onTime / clairvoyant : 0},
            {"recovery_s", milliseconds(recovered * bucketLength - end) / 1000}};
}

std::string Results::toCsv() const
{
    std::string text = "seconds,planned_weight,on_time_weight,done,not_done\n";
    for (std::size_t index = 0; index < m_buckets.size(); ++index) {
        const auto &bucket = m_buckets[index];
        text += format("%.1f,", milliseconds(index * bucketLength) / 1000) + format("%g,", bucket.planned) + format("%g,", bucket.onTime)
            + std::to_string(bucket.done) + "," + std::to_string(bucket.notDone) + "\n";
    }
    return text;
}

std::string Results::toTable() const
{
    std::string text = "class            done   on time   not run   unknown      none   p50 ms   p99 ms\n";
    auto figures = m_figures;
    for (std::size_t index = 0; index < m_classes.size(); ++index) {
        auto &part = figures[index];
        char line[160];
        std::snprintf(line, sizeof line, "%-14s %6llu %9llu %9llu %9llu %9llu %8.2f %8.2f\n", m_classes[index].name.c_str(),
                      static_cast<unsigned long long>(part.outcomes["done"]), static_cast<unsigned long long>(part.onTime),
                      static_cast<unsigned long long>(part.outcomes["not-run"]), static_cast<unsigned long long>(part.outcomes["unknown"]),
                      static_cast<unsigned long long>(part.outcomes["none"]), quantile(part.latencies, 0.5), quantile(part.latencies, 0.99));
        text += line;
    }
    for (const auto &[reason, count] : m_reasons) {
        text += reason + ": " + std::to_string(count) + "\n";
    }
    return text;
}

} // namespace waxwing::load
