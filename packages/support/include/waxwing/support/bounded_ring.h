#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <optional>
#include <utility>

namespace waxwing
{

/// @brief Bounded queue from one producer thread to one consumer thread.
///
/// The ring does not wake the consumer; the producer does so, e.g. by a posted handler. A full ring rejects the item; the
/// caller counts that.
template<class Item>
class BoundedRing
{
public:
    /// @brief Creates an empty ring.
    /// @param capacity largest number of items held
    explicit BoundedRing(std::size_t capacity)
        : m_queue(capacity)
    {
    }

    /// @brief Adds an item; producer thread only.
    /// @return false if the ring is full; @p item is then unchanged
    bool push(Item &&item)
    {
        if (m_queue.write_available() == 0) {
            return false;
        }
        return m_queue.push(std::move(item));
    }

    /// @brief Takes the oldest item; consumer thread only.
    std::optional<Item> pop()
    {
        std::optional<Item> item;
        m_queue.consume_one([&item](Item &front) { item.emplace(std::move(front)); });
        return item;
    }

    /// @brief Number of queued items; exact on the consumer thread.
    std::size_t size() const
    {
        return m_queue.read_available();
    }

private:
    boost::lockfree::spsc_queue<Item> m_queue;
};

} // namespace waxwing
