#pragma once

#include <waxwing/support/bounded_ring.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <utility>

namespace waxwing
{

/// @brief Bounded ring from one thread to the thread of an io_context, with a wake-up.
///
/// Must outlive the run of the io_context.
template<class Item>
class ThreadChannel
{
public:
    /// @brief Creates an empty channel.
    /// @param context runs the consumer; one thread
    /// @param capacity largest number of items that wait
    ThreadChannel(boost::asio::io_context &context, std::size_t capacity)
        : m_context(context)
        , m_ring(capacity)
    {
    }

    /// @brief Sets the function that takes the items; call before the first push.
    void setConsumer(std::function<void(Item &&)> consumer)
    {
        m_consumer = std::move(consumer);
    }

    /// @brief Adds an item; producer thread only.
    /// @return false if the ring is full; @p item is then unchanged
    bool push(Item &&item)
    {
        if (!m_ring.push(std::move(item))) {
            return false;
        }
        // One posted handler drains all that waits.
        if (!m_isScheduled.exchange(true, std::memory_order_acq_rel)) {
            boost::asio::post(m_context, [this] { drain(); });
        }
        return true;
    }

private:
    void drain()
    {
        m_isScheduled.store(false, std::memory_order_seq_cst);
        while (auto item = m_ring.pop()) {
            m_consumer(std::move(*item));
        }
    }

    boost::asio::io_context &m_context;
    BoundedRing<Item> m_ring;
    std::atomic<bool> m_isScheduled {false};
    std::function<void(Item &&)> m_consumer;
};

} // namespace waxwing
