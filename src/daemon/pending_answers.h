#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "daemon/bounded_queue.h"

namespace bramleygrade {

/// Where the threads that serve callers wait for answers of the deciding thread.
///
///     const std::uint64_t handle = room.enter();
///     push(handle);
///     std::optional<answer> outcome = room.await(handle, deadline);
///
/// Each handle gets at most one answer; one that comes after its waiter has left is dropped.
template <typename Answer>
class pending_answers
{
public:
    std::uint64_t add()
    {
        absl::MutexLock lock(&m_mutex);
        const std::uint64_t handle = m_nextHandle++;
        m_seats.emplace(handle, std::make_unique<seat>());
        return handle;
    }

    /// Waits for the answer until `deadline` and leaves.
    std::optional<Answer> await(std::uint64_t handle, absl::Time deadline)
    {
        absl::MutexLock lock(&m_mutex);
        seat *own = m_seats.at(handle).get();
        m_mutex.AwaitWithDeadline(absl::Condition(&own->isAnswered), deadline);
        std::optional<Answer> answer;
        if (own->isAnswered) {
            answer = std::move(own->answer);
        }
        m_seats.erase(handle);
        return answer;
    }

    void remove(std::uint64_t handle)
    {
        absl::MutexLock lock(&m_mutex);
        m_seats.erase(handle);
    }

    void answer(std::uint64_t handle, Answer answer)
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_seats.find(handle);
        if (found != m_seats.end()) {
            found->second->answer = std::move(answer);
            found->second->isAnswered = true;
        }
    }

    std::size_t size() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_seats.size();
    }

private:
    struct seat
    {
        bool isAnswered = false;
        Answer answer;
    };

    mutable absl::Mutex m_mutex;
    std::uint64_t m_nextHandle = 1;
    std::map<std::uint64_t, std::unique_ptr<seat>> m_seats;
};

} // namespace bramleygrade
