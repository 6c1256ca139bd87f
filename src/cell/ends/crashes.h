#pragma once

#include <string>
#include <vector>

#include "cell/scheduler.h"

/// \file
/// Finds the tasks that crash the workers on which they start, and gives them up. Every crash
/// counts for the tasks that may have caused it: those that were started shortly before the
/// worker's last answer or later, or all tasks on the worker if there is no such start. It is
/// attributed to them if all are of one job, but not to a run that this scheduler has not started
/// or that the worker has not confirmed: such a run may have ended, or never have begun. Two
/// attributed crashes or four in all give a task up. A task with a crash is then tried on a worker
/// without recent starts of other jobs, where no other job starts until the worker has answered
/// again.

namespace bramleygrade::cell {

/// A start can no longer be the cause of a crash if the worker has answered this long after it.
constexpr microseconds startTrial = 250 * millisecond;

/// Counts the end of the worker's life, unless it is counted already or the worker was leaving, for
/// the tasks that may have caused it, and gives up tasks.
void countCrash(scheduler &cell, worker_state &worker, timestamp now, orders &out);
/// Handles the proof that the worker's life has ended while another worker answers at its address:
/// counts the crash and releases all runs.
void onWorkerCrashed(scheduler &cell, worker_state &worker, timestamp now, orders &out);
/// Handles the answer of another incarnation at the registry's address of the worker. It has had no
/// effect; it proves the end of the worker's life only where that life is known to have run there.
void onOtherIncarnation(scheduler &cell, worker_state &worker, timestamp now, orders &out);
/// Handles an answer to a poll sent at `sentAt`. The first one proves that earlier incarnations at
/// the worker's address have ended.
void recordAnswer(scheduler &cell, worker_state &worker, timestamp sentAt, timestamp now,
                  orders &out);
/// Whether the worker was lost with runs and it can still become known that it crashed.
bool mayHaveCrashed(const worker_state &worker, timestamp now);

/// Whether the crashes counted for the step are in the store. Its tasks start only then, as a
/// takeover would forget the crashes otherwise.
bool areCrashesStored(const scheduler &cell, const job_state &job, const step_state &step);
/// Whether a worker has crashed with a task of the step that is not done.
bool isSuspected(const step_state &step);
/// Whether little time has passed since the newest crash that a task of the step may have caused.
bool hasRecentCrash(const step_state &step, timestamp now);
/// Whether to find out soon if the worker survives its recent starts, as workers have crashed.
bool hasOpenStarts(const scheduler &cell, const worker_state &worker, timestamp now);
/// Whether only one job may start tasks on the worker.
bool isOnTrial(const worker_state &worker, timestamp now);
/// Whether the worker is on trial with another job than `job`.
bool isOnTrialOfOther(const worker_state &worker, const std::string &job, timestamp now);
/// Whether other jobs' starts could be the cause if the worker crashed now.
bool hasRecentStartsOfOthers(const worker_state &worker, const std::string &job);
/// Records that the task, which may be suspected of crashes, starts on the worker.
void recordStart(scheduler &cell, worker_state &worker, const task_id &id, bool suspected,
                 timestamp now);
/// Drops workers from the plan of a suspected step, so that not too many workers of a service are
/// on trial at a time.
void limitTrials(const scheduler &cell, const job_state &job, const step_state &step,
                 std::vector<std::string> &workers, timestamp now);
/// Returns what a crash of the task's worker would show about the task's run.
suspected_run suspectedRun(const scheduler &cell, const job_state &job, const task_state &task);
/// Records that the trial of the task is over without a crash, so that a successor does not
/// attribute a later crash of the worker to it.
void endTrial(scheduler &cell, const task_id &id, task_state &task);
/// Records that the worker was alive at this time.
void recordAlive(scheduler &cell, worker_state &worker, timestamp at);

} // namespace bramleygrade::cell
