#include "clairvoyant.h"

#include "load_options.h"

#include <algorithm>

namespace waxwing::load
{

namespace
{

// Free slot time of a set of databases, in milliseconds per millisecond of the run.
class SlotTable
{
public:
    SlotTable(std::size_t milliseconds, double slots)
        : m_free(milliseconds, slots)
    {
    }

    double freeBetween(std::size_t from, std::size_t to, double enough) const
    {
        double sum = 0;
        for (auto index = to; index > from && sum < enough; --index) {
            sum += std::min(1.0, m_free[index - 1]);
        }
        return sum;
    }

    double take(std::size_t from, std::size_t to, double cost)
    {
        for (auto index = to; index > from && cost > 0; --index) {
            // A statement uses one slot at a time.
            const auto part = std::min({cost, 1.0, m_free[index - 1]});
            m_free[index - 1] -= part;
            cost -= part;
        }
        return cost;
    }

private:
    std::vector<double> m_free;
};

} // namespace

double clairvoyantWeight(const LoadOptions &options, const std::vector<OperationClass> &classes, const std::vector<Arrival> &arrivals, std::size_t service,
                         Duration from, Duration to)
{
    const auto length = static_cast<std::size_t>(toMilliseconds(options.duration + options.deadline).count()) + 1;
    SlotTable primary(length, options.capacitySlots);
    SlotTable replicas(length, options.capacitySlots * (options.capacityDatabases - 1));
    std::vector<const Arrival *> order;
    for (const auto &arrival : arrivals) {
        if (arrival.service == service) {
            order.push_back(&arrival);
        }
    }
    const auto density = [&classes](const Arrival *arrival) {
        const auto &operation = classes[arrival->operation];
        return operation.weight / std::max(operation.costMilliseconds, 0.001);
    };
    std::stable_sort(order.begin(), order.end(), [&](const Arrival *left, const Arrival *right) { return density(left) > density(right); });
    double weight = 0;
    for (const auto *arrival : order) {
        const auto &operation = classes[arrival->operation];
        const auto begin = static_cast<std::size_t>(toMilliseconds(arrival->planned).count());
        const auto end = std::min(length, static_cast<std::size_t>(toMilliseconds(arrival->planned + options.deadline).count()));
        auto &table = !operation.isWrite && replicas.freeBetween(begin, end, operation.costMilliseconds) >= operation.costMilliseconds ? replicas : primary;
        if (table.freeBetween(begin, end, operation.costMilliseconds) < operation.costMilliseconds) {
            continue;
        }
        table.take(begin, end, operation.costMilliseconds);
        if (arrival->planned >= from && arrival->planned < to) {
            weight += operation.weight;
        }
    }
    return weight;
}

} // namespace waxwing::load
