#pragma once

#include <string>

#include "cell/scheduler.h"

/// \file
/// Tells the lives of a worker apart: the processes that run under its id one after the other. A
/// life is named by its start time, and by nothing if that is not known. Lives are compared for
/// equality only, as the time of day may be set back; which of two answers is the newer one follows
/// from the poll: an answer to a poll that was ordered in the current life cannot come from an
/// earlier one.

namespace bramleygrade::cell {

/// Returns the name under which the worker's current life is stored with tasks: the worker's id,
/// and its start time if it is known.
std::string lifeName(const worker_state &worker);

/// Whether the answer to a poll that was ordered in this life and sent at `sentAt` comes from
/// another one: it names another start time, or the worker's clock runs backwards.
bool isOtherLife(const worker_life &life, const worker_report &report, timestamp sentAt);

/// Whether the report holds all ends that the worker has not been told to forget. A worker lists a
/// limited number of them, oldest first.
bool listsAllEnds(const worker_report &report);

/// A run of a task that is known.
struct known_run
{
    job_state *job = nullptr;
    task_state *task = nullptr;
};

/// Notes that the gang of the task, if it is in one, has lost a member. Returns the task; null if
/// it is not known any more.
known_run breakGangOf(scheduler &cell, const task_id &id);

/// Notes that another life of the worker than the known one is up. A fence tells which one is the
/// current one and keeps it from carrying out earlier orders; until then a successor has to know.
void noteRestart(scheduler &cell, worker_state &worker, timestamp now);

/// Begins the life that has sent `report`. Counts the crash of the former one, unless only one of
/// the two names its start time. Starts that may still be on their way could be carried out by the
/// new life, so that all runs stay reserved until a poll with a raised fencing token is answered.
/// The new life gets no tasks until the stored list of workers holds it.
void beginLife(scheduler &cell, worker_state &worker, const worker_report &report, timestamp now,
               orders &out);

} // namespace bramleygrade::cell
