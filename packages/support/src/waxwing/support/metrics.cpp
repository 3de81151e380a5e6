#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/quantiles.h>

#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <utility>

namespace waxwing
{

namespace
{

struct MetricKey
{
    std::string name;
    std::string labels;

    auto operator<=>(const MetricKey &) const = default;
};

/// Escapes a label value for the Prometheus text format.
std::string escaped(std::string_view value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    return text;
}

MetricKey makeKey(std::string_view name, std::string_view label, std::string_view value)
{
    MetricKey key {std::string(name), {}};
    if (!label.empty()) {
        key.labels.append(label).append("=\"").append(escaped(value)).append("\"");
    }
    return key;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

template<class Value>
Value &findOrCreate(std::map<MetricKey, std::unique_ptr<Value>> &values, MetricKey key)
{
    auto &slot = values[std::move(key)];
    if (!slot) {
        slot = std::make_unique<Value>();
    }
    return *slot;
}

void writeNumbers(std::ostream &out, const std::map<MetricKey, std::unique_ptr<Counter>> &values, std::string_view type)
{
    std::string_view previous;
    for (const auto &[key, value] : values) {
        if (key.name != previous) {
            out << "# TYPE " << key.name << ' ' << type << '\n';
            previous = key.name;
        }
        out << key.name << braced(key.labels) << ' ' << value->value() << '\n';
    }
}

} // namespace

struct Metrics::Data
{
    mutable std::mutex mutex;
    std::map<MetricKey, std::unique_ptr<Counter>> counters;
    std::map<MetricKey, std::unique_ptr<Counter>> gauges;
    std::map<MetricKey, std::unique_ptr<Quantiles>> summaries;
};

Metrics::Metrics()
    : m_data(std::make_unique<Data>())
{
}

Metrics::~Metrics() = default;

Metrics &Metrics::instance()
{
    static Metrics metrics;
    return metrics;
}

Counter &Metrics::counter(std::string_view name, std::string_view label, std::string_view value)
{
    const std::lock_guard lock(m_data->mutex);
    return findOrCreate(m_data->counters, makeKey(name, label, value));
}

Counter &Metrics::gauge(std::string_view name, std::string_view label, std::string_view value)
{
    const std::lock_guard lock(m_data->mutex);
    return findOrCreate(m_data->gauges, makeKey(name, label, value));
}

Quantiles &Metrics::summary(std::string_view name, std::string_view label, std::string_view value)
{
    const std::lock_guard lock(m_data->mutex);
    return findOrCreate(m_data->summaries, makeKey(name, label, value));
}

std::string Metrics::exposition() const
{
    const std::lock_guard lock(m_data->mutex);
    std::ostringstream out;
    writeNumbers(out, m_data->counters, "counter");
    writeNumbers(out, m_data->gauges, "gauge");
    std::string_view previous;
    for (const auto &[key, value] : m_data->summaries) {
        if (key.name != previous) {
            out << "# TYPE " << key.name << " summary\n";
            previous = key.name;
        }
        const std::string separator = key.labels.empty() ? "" : ",";
        for (const double probability : {0.5, 0.9, 0.99, 0.999}) {
            out << key.name << '{' << key.labels << separator << "quantile=\"" << probability << "\"} " << value->quantile(probability) << '\n';
        }
        out << key.name << "_sum" << braced(key.labels) << ' ' << value->sum() << '\n';
        out << key.name << "_count" << braced(key.labels) << ' ' << value->count() << '\n';
    }
    return out.str();
}

} // namespace waxwing
