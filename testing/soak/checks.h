#pragma once

#include <string>
#include <vector>

#include "cell_world.h"

/// \file
/// The promises that a soak checks, from what workers and clients have seen.

namespace bramleygrade::soak {

/// Returns a line for each task that had two runs at the same time, or that was started again after
/// an end `done` that was acknowledged.
std::vector<std::string> findRepeatedRuns(const run_book &book, timestamp now);

/// Returns the longest time from the crash of a worker under a task to the next start of the task.
microseconds longestSilence(const run_book &book);

/// Returns a line for each run of a job whose cancellation was acknowledged before
/// `cancelledBefore` that still goes on.
std::vector<std::string> findUnwantedRuns(const run_book &book,
                                          const std::map<std::string, client_job> &jobs,
                                          timestamp cancelledBefore);

/// Returns a line for each accepted job that was not cancelled and is not shown as completed, or is
/// shown so before all of its tasks have ended `done`. A job under whose tasks two workers have
/// crashed may have failed.
std::vector<std::string> findLostJobs(const run_book &book,
                                      const std::map<std::string, client_job> &jobs);

} // namespace bramleygrade::soak
