#pragma once

#include <waxwing/coordination/queued_statement.h>

#include <cmath>
#include <concepts>
#include <cstdint>

namespace waxwing
{

/// @brief Properties of a waiting statement that determine its place in the queue.
struct QueueRank
{
    bool isOverShare = false; ///< its caller has used more than a fair share of the slots
    int band = 0; ///< band of value density; densities in the same band count as equal
    TimePoint deadline {};
    TimePoint arrivedAt {};
    std::uint64_t id = 0;

    /// @brief Rank of a statement whose caller is within its share.
    static QueueRank of(const QueuedStatement &statement)
    {
        // A band spans a factor of 1.09, about three standard deviations of the predicted cost of statements that vary by 20%.
        return {
            .isOverShare = false,
            .band = static_cast<int>(std::floor(8.0 * std::log2(statement.density()))),
            .deadline = statement.deadline,
            .arrivedAt = statement.arrivedAt,
            .id = statement.id,
        };
    }
};

/// @brief Decides which of two waiting statements goes first.
template<class Order>
concept QueueOrder = requires(const Order order, const QueueRank &a, const QueueRank &b)
{
    {
        order.isBefore(a, b)
        } -> std::same_as<bool>;
    {
        Order::separatesClasses
        } -> std::convertible_to<bool>;
};

/// @brief Callers within their share first, then higher value density, then earlier deadline.
struct DensityOrder
{
    static constexpr bool separatesClasses = true;

    bool isBefore(const QueueRank &a, const QueueRank &b) const
    {
        if (a.isOverShare != b.isOverShare) {
            return b.isOverShare;
        }
        if (a.band != b.band) {
            return a.band > b.band;
        }
        return a.deadline != b.deadline ? a.deadline < b.deadline : a.id < b.id;
    }
};

/// @brief Baseline: in the order of arrival, without classes and shares.
struct FifoOrder
{
    static constexpr bool separatesClasses = false;

    bool isBefore(const QueueRank &a, const QueueRank &b) const
    {
        return a.arrivedAt != b.arrivedAt ? a.arrivedAt < b.arrivedAt : a.id < b.id;
    }
};

} // namespace waxwing
