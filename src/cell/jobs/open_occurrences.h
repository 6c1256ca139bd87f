#pragma once

#include "cell/scheduler.h"

/// \file
/// Keeps the state of the occurrences of a job bounded. Only occurrences with runs, with tasks that
/// wait for their turn or with partly done steps are open, that is, have a state of each task.
/// Those that are due are opened as earlier ones are started; those of which each step is either
/// done or untouched can be parked, which takes a number in a range; completed ones are retired.
/// All occurrences of a job have the same steps, so that later ones have no better chance to be
/// placed than the first ones that wait.

namespace bramleygrade::cell {

/// Tasks of occurrences without progress that a job has open, unless one occurrence has more, and
/// of those that could be parked, for each set of done steps.
constexpr std::size_t maxFreshTasks = 512;
constexpr std::size_t maxParkableTasks = 256;
/// Tasks that a job has open, unless one occurrence has more.
constexpr std::size_t maxOpenTasks = 8'192;
/// Ranges of parked occurrences that a job has; of long lists of steps, fewer.
constexpr std::size_t maxParkedRanges = 4'096;
/// Tasks of one occurrence of a job that is accepted.
constexpr std::int64_t maxTasksPerOccurrence = 10'000;
/// Occurrences of a job that is accepted.
constexpr std::int64_t maxOccurrences = 1'000'000;

/// Returns the tasks of one occurrence.
std::size_t tasksPerOccurrence(const job_spec &spec);
/// Returns the tasks of all open occurrences.
std::size_t countOpenTasks(const job_state &job);

/// Estimates the memory that the job takes with one open occurrence, and that of each further one,
/// in bytes.
std::size_t bytesOfJob(const job_spec &spec);
std::size_t bytesOfOccurrence(const job_spec &spec);

/// Parks the occurrence if it can be parked; returns whether it was.
bool parkOccurrence(job_state &job, int number);
/// Retires the occurrence if it is completed and has no runs.
void retireOccurrence(job_state &job, int number);

/// Opens the occurrences whose turn it is, and parks or retires others. Returns whether further
/// ones are due later or wait for their turn.
bool updateOpenOccurrences(scheduler &cell, job_state &job, timestamp now);

/// Drops the tasks and the specification of a job that has ended and has no runs.
void dropWork(job_state &job);

/// Returns the memory that the job takes beside `bytesOfJob`.
std::size_t bytesOfFurther(const job_state &job);

/// Whether the open jobs leave memory for another one.
bool hasMemoryFor(const scheduler &cell, const job_spec &spec);
/// Counts the memory of a job that is open from now on.
void reserveMemory(scheduler &cell, job_state &job);
/// The opposite; has no effect on a job without reserved memory.
void releaseMemory(scheduler &cell, job_state &job);

} // namespace bramleygrade::cell
