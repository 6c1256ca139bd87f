#include <algorithm>

#include "testing/history_run.h"

namespace bramleygrade {

namespace {

/// An accepted change is in force everywhere after this long (the users' letter).
constexpr microseconds changeLimit = 14 * second;
/// A leaving endpoint receives no new work after this long (the brief: a few seconds).
constexpr microseconds leavingLimit = 6 * second;

} // namespace

void history_run::judgeRequests()
{
    std::map<std::string, int> ranById;
    std::map<std::string, int> ranByBody;
    for (const endpoint_run &run : m_cell.runs) {
        if (!run.requestId.empty()) {
            ++ranById[run.requestId];
        }
        ++ranByBody[run.body];
    }
    for (const auto &[id, record] : m_requests) {
        const int ran = record.isUnrepeatable ? ranById[id] : ranByBody[record.body];
        if (record.isUnrepeatable && ran > 1) {
            violate(id + " ran " + std::to_string(ran) + " times");
        }
        if (record.toldNotRun && ran > 0) {
            violate(id + " was said not to have run, but ran");
        }
        if (record.toldDone && record.toldNotRun) {
            violate(id + " was said to be done and not to have run");
        }
        if (record.gotWrongBody) {
            violate(id + " got an answer that is not its own");
        }
    }
    for (const auto &[handle, attempt] : m_open) {
        const cell_entry &entry = m_cell.entries()[static_cast<std::size_t>(attempt.entry)];
        const bool isServed = entry.isAlive && entry.generation == attempt.generation;
        m_result.unanswered += 1;
        const bool isDue = m_cell.now() > std::max(attempt.answerBy, entry.pausedUntil + second);
        if (isServed && isDue) {
            violate(attempt.request + " got no answer from an entry that lives");
        }
    }
}

/// Requests ran only where a document that was in force lately allows, and not on leaving workers.
void history_run::judgePlaces()
{
    const auto &changes = m_cell.documentChanges;
    for (const endpoint_run &run : m_cell.runs) {
        bool isAllowed = false;
        for (std::size_t index = 0; index < changes.size(); ++index) {
            const timestamp until =
                index + 1 < changes.size() ? changes[index + 1].at : distantFuture;
            const bool wasInForce = changes[index].at <= run.at && until + changeLimit > run.at;
            const auto &domains = changes[index].allowedDomains;
            isAllowed = isAllowed
                || (wasInForce
                    && std::find(domains.begin(), domains.end(), run.domain) != domains.end());
        }
        if (!isAllowed) {
            violate("a request ran in " + run.domain + " against its document at "
                    + std::to_string((run.at - historyStart) / millisecond) + " ms");
        }
    }
    for (const cell_worker &worker : m_cell.workers()) {
        for (const endpoint_run &run : m_cell.runs) {
            if (run.worker == worker.tasks.info.name && worker.leavingSince < distantFuture
                && run.at > worker.leavingSince + leavingLimit) {
                violate("leaving " + run.worker + " got new work "
                        + std::to_string((run.at - worker.leavingSince) / millisecond)
                        + " ms after it said so");
            }
        }
    }
}

void history_run::judgeTasks()
{
    struct task_run
    {
        timestamp from;
        timestamp until;
        std::string worker;
    };
    std::map<std::string, std::vector<task_run>> runs;
    for (cell_worker &worker : m_cell.workers()) {
        if (worker.isAlive) {
            advanceTime(worker.tasks, m_cell.now());
        }
        if (worker.tasks.overcommits > 0) {
            violate(worker.tasks.info.name + " was committed beyond its resources");
        }
        std::vector<fake_task> tasks = worker.tasks.forgottenTasks;
        for (const auto &[key, task] : worker.tasks.tasks) {
            tasks.push_back(task);
        }
        for (const fake_task &task : tasks) {
            const bool isRunning = task.phase == task_phase::running;
            runs[task.order.job + "/" + std::to_string(task.order.task)].push_back(
                {task.startedAt, isRunning ? distantFuture : task.endedAt, worker.tasks.info.name});
            ++m_result.tasksStarted;
            m_result.tasksFinished += task.phase == task_phase::finished ? 1 : 0;
        }
    }
    for (const auto &[task, places] : runs) {
        for (std::size_t left = 0; left < places.size(); ++left) {
            for (std::size_t right = left + 1; right < places.size(); ++right) {
                if (places[left].from < places[right].until
                    && places[right].from < places[left].until) {
                    violate("task " + task + " ran on " + places[left].worker + " and "
                            + places[right].worker + " at one time");
                }
            }
        }
    }
}

} // namespace bramleygrade
