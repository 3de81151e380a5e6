#include "clairvoyant_bound.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace waxwing
{

namespace
{

constexpr Duration bucketLength = 100ms;
constexpr int maxSweeps = 40;
constexpr double smallestStep = 0.002;
// Ranges of prices that are scaled together start and end at multiples of this many buckets.
constexpr std::size_t rangeStep = 10;
// Longer windows count as served: they reach past the peak, where slot time costs nothing.
constexpr Duration longestWindow = 5s;

struct Item
{
    double weight;
    double cost;

    double density() const
    {
        return weight / cost;
    }
};

/// Statements that can use the same buckets and databases.
struct Group
{
    std::size_t first = 0;
    std::size_t last = 0;
    bool isWrite = false;
    std::vector<Item> items {}; ///< densest first
    std::vector<double> weights {}; ///< sums over the first items
    std::vector<double> costs {};

    void prepare()
    {
        std::sort(items.begin(), items.end(), [](const Item &a, const Item &b) { return a.density() > b.density(); });
        weights.push_back(0.0);
        costs.push_back(0.0);
        for (const auto &item : items) {
            weights.push_back(weights.back() + item.weight);
            costs.push_back(costs.back() + item.cost);
        }
    }

    /// Sum over the items of what their weight exceeds their cost at a price.
    double surplus(double price) const
    {
        const auto end = std::partition_point(items.begin(), items.end(), [price](const Item &item) { return item.density() > price; });
        const auto count = static_cast<std::size_t>(end - items.begin());
        return weights[count] - price * costs[count];
    }
};

class Dual
{
public:
    Dual(std::span<const Arrival> arrivals, std::size_t primarySlots, std::size_t allSlots)
    {
        const auto start = arrivals.front().at;
        std::map<std::tuple<std::size_t, std::size_t, bool>, Group> groups;
        std::size_t buckets = 0;
        for (const auto &arrival : arrivals) {
            if (arrival.deadline - arrival.at > longestWindow) {
                m_served += arrival.weight;
                continue;
            }
            const auto first = static_cast<std::size_t>((arrival.at - start) / bucketLength);
            const auto last = static_cast<std::size_t>((arrival.deadline - start) / bucketLength);
            auto &group = groups[{first, last, arrival.isWrite}];
            group.first = first;
            group.last = last;
            group.isWrite = arrival.isWrite;
            group.items.push_back({arrival.weight, std::chrono::duration<double>(arrival.cost).count()});
            buckets = std::max(buckets, last + 1);
        }
        const double length = std::chrono::duration<double>(bucketLength).count();
        m_capacity = {length * static_cast<double>(primarySlots), length * static_cast<double>(allSlots - primarySlots)};
        m_prices = {std::vector<double>(buckets, 0.0), std::vector<double>(buckets, 0.0)};
        m_groupsOf.resize(buckets);
        for (auto &[key, group] : groups) {
            group.prepare();
            for (auto bucket = group.first; bucket <= group.last; ++bucket) {
                m_groupsOf[bucket].push_back(m_groups.size());
            }
            m_groups.push_back(std::move(group));
        }
    }

    double minimise()
    {
        // One price for all is the knapsack bound; searched by halving the step of the exponent.
        double price = 1.0;
        for (double factor = 1024.0; factor > 1.0005; factor = std::sqrt(factor)) {
            for (const double next : {price * factor, price / factor}) {
                if (total(next) < total(price)) {
                    price = next;
                }
            }
        }
        for (auto &prices : m_prices) {
            std::fill(prices.begin(), prices.end(), price);
        }
        double best = value();
        double step = 0.5;
        for (int sweep = 0; sweep < maxSweeps && step > smallestStep; ++sweep) {
            const double before = best;
            for (std::size_t pool = 0; pool < m_prices.size(); ++pool) {
                scaleRanges(pool, best, step);
                for (std::size_t bucket = 0; bucket < m_prices[pool].size(); ++bucket) {
                    best += improve(pool, bucket, price, step);
                }
            }
            if (before - best < 1e-4 * before) {
                step /= 2.0;
            }
        }
        return value();
    }

private:
    double total(double price)
    {
        for (auto &prices : m_prices) {
            std::fill(prices.begin(), prices.end(), price);
        }
        return value();
    }

    double lowestPrice(const Group &group) const
    {
        const auto lowest = [&group](const std::vector<double> &prices) {
            return *std::min_element(prices.begin() + static_cast<std::ptrdiff_t>(group.first), prices.begin() + static_cast<std::ptrdiff_t>(group.last) + 1);
        };
        const double primary = lowest(m_prices[0]);
        return group.isWrite || m_capacity[1] == 0.0 ? primary : std::min(primary, lowest(m_prices[1]));
    }

    double surplusAt(std::size_t bucket) const
    {
        double sum = 0.0;
        for (const auto index : m_groupsOf[bucket]) {
            sum += m_groups[index].surplus(lowestPrice(m_groups[index]));
        }
        return sum;
    }

    double value() const
    {
        double sum = m_served;
        for (std::size_t pool = 0; pool < m_prices.size(); ++pool) {
            for (const double price : m_prices[pool]) {
                sum += price * m_capacity[pool];
            }
        }
        for (const auto &group : m_groups) {
            sum += group.surplus(lowestPrice(group));
        }
        return sum;
    }

    /// Changes one price if that lowers the bound; returns the change of the bound.
    double improve(std::size_t pool, std::size_t bucket, double scale, double step)
    {
        auto &price = m_prices[pool][bucket];
        const double old = price;
        const double oldSurplus = surplusAt(bucket);
        double bestPrice = old;
        double bestChange = 0.0;
        for (const double candidate : {old * (1.0 + step), old / (1.0 + step), old + scale * step, 0.0}) {
            price = candidate;
            const double change = (candidate - old) * m_capacity[pool] + surplusAt(bucket) - oldSurplus;
            if (change < bestChange - 1e-9) {
                bestChange = change;
                bestPrice = candidate;
            }
        }
        price = bestPrice;
        return bestChange;
    }

    /// Scales the prices of ranges of buckets, since a statement that can choose among several buckets takes the lowest
    /// price, and raising a single one has no effect.
    void scaleRanges(std::size_t pool, double &best, double step)
    {
        auto &prices = m_prices[pool];
        const auto count = prices.size();
        for (std::size_t from = 0; from < count; from += rangeStep) {
            for (std::size_t to = count; to > from; to -= std::min(to, rangeStep)) {
                for (const double factor : {1.0 + step, 1.0 / (1.0 + step), 0.0}) {
                    const auto saved = prices;
                    for (std::size_t i = from; i < to; ++i) {
                        prices[i] *= factor;
                    }
                    const double changed = value();
                    if (changed < best - 1e-9) {
                        best = changed;
                    } else {
                        prices = saved;
                    }
                }
            }
        }
    }

    double m_served = 0.0;
    std::array<double, 2> m_capacity {};
    std::array<std::vector<double>, 2> m_prices; ///< weight per second of slot time; of the primary, of the replicas
    std::vector<Group> m_groups;
    std::vector<std::vector<std::size_t>> m_groupsOf; ///< by bucket
};

} // namespace

double clairvoyantBound(std::span<const Arrival> arrivals, std::size_t primarySlots, std::size_t allSlots)
{
    return arrivals.empty() ? 0.0 : Dual(arrivals, primarySlots, allSlots).minimise();
}

} // namespace waxwing
