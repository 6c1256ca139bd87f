#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace bramleygrade {

/// A queue of fixed capacity between two duties. A full ring refuses at once; nothing ever waits to
/// put something in.
///
///     bounded_queue<event> events(1024);
///     if (!events.tryPush(std::move(input)))
///         refuse();
///
/// All functions may be called from any thread.
template <typename Item>
class bounded_queue
{
public:
    explicit bounded_queue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Returns false, leaving `item` as it was, where the ring is full or closed.
    bool tryPush(Item &&item) { return tryPush(item); }

    /// Moves from `item` only where it returns true.
    bool tryPush(Item &item)
    {
        absl::MutexLock lock(&m_mutex);
        if (m_isClosed || m_items.size() >= m_capacity) {
            ++m_refused;
            return false;
        }
        m_items.push_back(std::move(item));
        return true;
    }

    /// The oldest item, or nothing where none comes before `deadline` or the ring is closed.
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

    /// All items that wait now, `limit` at most.
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

    /// Wakes every reader; later pushes are refused.
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

    std::size_t rejectedCount() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_refused;
    }

    std::size_t capacity() const { return m_capacity; }

private:
    bool isReady() const { return m_isClosed || !m_items.empty(); }

    const std::size_t m_capacity;
    mutable absl::Mutex m_mutex;
    std::deque<Item> m_items;
    std::size_t m_refused = 0;
    bool m_isClosed = false;
};

} // namespace bramleygrade
