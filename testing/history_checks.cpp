#include <algorithm>

#include "testing/history_run.h"

namespace bramleygrade {

namespace {

/// An accepted change must be in force everywhere after this time (a requirement of the users).
constexpr microseconds documentPropagationLimit = 14 * second;
/// A leaving endpoint must get no new work after this time (the requirement: a few seconds).
constexpr microseconds leavingWorkerGrace = 6 * second;

} // namespace

void history_run::checkRequests()
{
    std::map<std::string, int> runsById;
    std::map<std::string, int> runsByBody;
    for (const endpoint_run &run : m_cell.runs) {
        if (!run.requestId.empty()) {
            ++runsById[run.requestId];
        }
        ++runsByBody[run.body];
    }
    for (const auto &[id, record] : m_requests) {
        const int runCount = record.isUnrepeatable ? runsById[id] : runsByBody[record.body];
        if (record.isUnrepeatable && runCount > 1) {
            addViolation(id + " ran " + std::to_string(runCount) + " times");
        }
        if (record.wasReportedNotRun && runCount > 0) {
            addViolation(id + " was reported as not run, but ran");
        }
        if (record.wasReportedDone && record.wasReportedNotRun) {
            addViolation(id + " was reported as done and as not run");
        }
        if (record.hasWrongBody) {
            addViolation(id + " got an answer with the body of another request");
        }
    }
    for (const auto &[handle, attempt] : m_openAttempts) {
        const cell_entry &entry = m_cell.entries()[static_cast<std::size_t>(attempt.entry)];
        const bool isSameIncarnation = entry.isAlive && entry.generation == attempt.generation;
        m_result.unanswered += 1;
        const bool isOverdue =
            m_cell.now() > std::max(attempt.answerDeadline, entry.pausedUntil + second);
        if (isSameIncarnation && isOverdue) {
            addViolation(attempt.request + " got no answer from a live entry");
        }
    }
}

/// Checks that requests ran only in domains allowed by a document that was in force within the last
/// `documentPropagationLimit`, and not on leaving workers.
void history_run::checkPlacements()
{
    const auto &changes = m_cell.documentChanges;
    for (const endpoint_run &run : m_cell.runs) {
        bool isAllowed = false;
        for (std::size_t index = 0; index < changes.size(); ++index) {
            const timestamp until =
                index + 1 < changes.size() ? changes[index + 1].at : distantFuture;
            const bool wasInForce =
                changes[index].at <= run.at && until + documentPropagationLimit > run.at;
            const auto &domains = changes[index].allowedDomains;
            isAllowed = isAllowed
                || (wasInForce
                    && std::find(domains.begin(), domains.end(), run.domain) != domains.end());
        }
        if (!isAllowed) {
            addViolation("a request ran in " + run.domain
                         + ", which its document does not allow, at "
                         + std::to_string((run.at - historyStart) / millisecond) + " ms");
        }
    }
    for (const cell_worker &worker : m_cell.workers()) {
        for (const endpoint_run &run : m_cell.runs) {
            if (run.worker == worker.tasks.info.name && worker.leavingSince < distantFuture
                && run.at > worker.leavingSince + leavingWorkerGrace) {
                addViolation("leaving worker " + run.worker + " got new work "
                             + std::to_string((run.at - worker.leavingSince) / millisecond)
                             + " ms after it began to leave");
            }
        }
    }
}

void history_run::checkTasks()
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
            addViolation(worker.tasks.info.name + " was committed beyond its resources");
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
    for (const auto &[task, taskRuns] : runs) {
        for (std::size_t left = 0; left < taskRuns.size(); ++left) {
            for (std::size_t right = left + 1; right < taskRuns.size(); ++right) {
                if (taskRuns[left].from < taskRuns[right].until
                    && taskRuns[right].from < taskRuns[left].until) {
                    addViolation("task " + task + " ran on " + taskRuns[left].worker + " and "
                                 + taskRuns[right].worker + " at the same time");
                }
            }
        }
    }
}

} // namespace bramleygrade
