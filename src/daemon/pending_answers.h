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

/// Answers that server threads wait for and the decision thread provides. Thread-safe.
///
///     const std::uint64_t handle = pending.add();
///     push(handle);
///     std::optional<answer> outcome = pending.await(handle, deadline);
///
/// Each handle gets at most one answer; an answer to a removed handle is dropped.
template <typename Answer>
class pending_answers
{
public:
    /// Returns the handle of a new pending answer.
    std::uint64_t add()
    {
        absl::MutexLock lock(&m_mutex);
        const std::uint64_t handle = m_nextHandle++;
        m_slots.emplace(handle, std::make_unique<slot>());
        return handle;
    }

    /// Waits for the answer until `deadline` and removes the handle; returns nothing on timeout.
    std::optional<Answer> await(std::uint64_t handle, absl::Time deadline)
    {
        absl::MutexLock lock(&m_mutex);
        slot *awaited = m_slots.at(handle).get();
        m_mutex.AwaitWithDeadline(absl::Condition(&awaited->isAnswered), deadline);
        std::optional<Answer> answer;
        if (awaited->isAnswered) {
            answer = std::move(awaited->answer);
        }
        m_slots.erase(handle);
        return answer;
    }

    /// Removes a handle without waiting for its answer.
    void remove(std::uint64_t handle)
    {
        absl::MutexLock lock(&m_mutex);
        m_slots.erase(handle);
    }

    /// Provides the answer for `handle` and wakes its waiter.
    void answer(std::uint64_t handle, Answer answer)
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_slots.find(handle);
        if (found != m_slots.end()) {
            found->second->answer = std::move(answer);
            found->second->isAnswered = true;
        }
    }

    std::size_t size() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_slots.size();
    }

private:
    struct slot
    {
        bool isAnswered = false;
        Answer answer;
    };

    mutable absl::Mutex m_mutex;
    std::uint64_t m_nextHandle = 1;
    std::map<std::uint64_t, std::unique_ptr<slot>> m_slots;
};

} // namespace bramleygrade
