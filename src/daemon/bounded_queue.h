#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace bramleygrade {

/// FIFO queue of fixed capacity between threads. A push to a full queue fails immediately; it never
/// blocks.
///
///     bounded_queue<event> events(1024);
///     if (!events.tryPush(std::move(input)))
///         reject();
///
/// Thread-safe.
template <typename Item>
class bounded_queue
{
public:
    explicit bounded_queue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Appends `item` by moving from it. Returns false and leaves it unchanged when the queue is
    /// full or closed.
    bool tryPush(Item &&item) { return tryPush(item); }

    /// Appends `item` by moving from it. Returns false and leaves it unchanged when the queue is
    /// full or closed.
    bool tryPush(Item &item)
    {
        absl::MutexLock lock(&m_mutex);
        if (m_isClosed || m_items.size() >= m_capacity) {
            ++m_rejectedCount;
            return false;
        }
        m_items.push_back(std::move(item));
        return true;
    }

    /// Returns the oldest item, waiting for one until `deadline`. Returns nothing when none arrives
    /// in time, or when the queue is closed and empty.
    std::optional<Item> popUntil(absl::Time deadline)
    {
        absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithDeadline(absl::Condition(this, &bounded_queue::isReady), deadline);
        if (m_items.empty()) {
            return std::nullopt;
        }
        Item item = std::move(m_items.front());
        m_items.pop_front();
        return item;
    }

    /// Returns the items that are queued now, oldest first, at most `limit`; does not wait.
    std::vector<Item> popAvailable(std::size_t limit)
    {
        absl::MutexLock lock(&m_mutex);
        std::vector<Item> items;
        while (!m_items.empty() && items.size() < limit) {
            items.push_back(std::move(m_items.front()));
            m_items.pop_front();
        }
        return items;
    }

    /// Wakes all waiting readers and makes later pushes fail; queued items can still be popped.
    void close()
    {
        absl::MutexLock lock(&m_mutex);
        m_isClosed = true;
    }

    bool isClosed() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_isClosed;
    }

    std::size_t size() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_items.size();
    }

    /// Number of pushes that failed since construction.
    std::size_t rejectedCount() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_rejectedCount;
    }

    std::size_t capacity() const { return m_capacity; }

private:
    bool isReady() const { return m_isClosed || !m_items.empty(); }

    const std::size_t m_capacity;
    mutable absl::Mutex m_mutex;
    std::deque<Item> m_items;
    std::size_t m_rejectedCount = 0;
    bool m_isClosed = false;
};

} // namespace bramleygrade
