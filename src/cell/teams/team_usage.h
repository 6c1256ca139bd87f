#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "cell/types.h"

/// \file
/// What the runs of each team use on all workers together, and how much more each team's cap
/// allows. All of it is empty, and nothing is computed, while the configuration has no teams.

namespace bramleygrade::cell {

struct scheduler;
struct job_state;
struct worker_state;

/// What the scheduler knows of one team.
struct team_state
{
    /// The configuration in force names the team.
    bool configured = false;
    resources cap;
    double weight = 0;
    /// Full demand of all runs that may exist: ordered, unconfirmed, running or being stopped.
    resources used;
    /// The part of `used` that belongs to long-running steps, which end only when cancelled.
    resources usedByServices;
    /// Processor time that restored scavenging tasks may use on workers that have not reported; the
    /// capacity of a worker does not bound it.
    std::int64_t unknownScavengingCpu = 0;
    /// Room under the cap that the current placement round keeps for waiting gangs.
    resources held;
    /// Times at which jobs within the share were accepted, oldest first; lost at a takeover.
    std::deque<timestamp> inShareSubmissions;
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsBeyondShare = 0;
    std::uint64_t jobsRefused = 0;
};

/// All teams of the configuration, and those whose jobs are known although it lacks them.
struct team_table
{
    /// The configuration has teams.
    bool active = false;
    /// At least one team has a cap.
    bool hasCaps = false;
    std::unordered_map<std::string, team_state> byName;
    /// All jobs without a team: those of public queues, and older ones.
    team_state withoutTeam;
    /// What may run on all workers together without the scheduler knowing of it, as of the newest
    /// placement round. It may belong to any team.
    resources unknown;
};

/// Takes over the teams of the configuration in force. Totals are kept; they are computed anew when
/// the configuration had no teams before.
void applyTeams(scheduler &cell);

/// Adds the run of a task that had none, or removes the run of a task, from the totals of the job's
/// team. Do nothing if the configuration has no teams.
void addTeamRun(scheduler &cell, const job_state &job, int step);
void removeTeamRun(scheduler &cell, const job_state &job, int step);

/// Returns the totals by team, with an empty name for jobs without one, computed from the tasks of
/// all jobs; used by tests and when the configuration gets teams.
std::unordered_map<std::string, team_state> recomputeTeamUsage(const scheduler &cell);

/// Whether runs that the scheduler does not know may exist on the worker: it has not reported since
/// a takeover, has reported an unexpected run, or is in a new life that was not fenced yet.
bool mayHoldUnknownRuns(const worker_state &worker, timestamp now);

/// Computes anew what may run without the scheduler knowing of it.
void updateUnknownUsage(scheduler &cell, timestamp now);

/// Returns how many of `wanted` tasks of the step may start without the job's team exceeding its
/// cap; `wanted` if the team has none. `withHeld`: room that is kept for gangs is not available.
std::size_t tasksWithinCap(const scheduler &cell, const job_state &job, const step_spec &step,
                           std::size_t wanted, bool withHeld);

/// Whether the cap has room for these tasks once all runs have ended that end by themselves.
bool mayFitCapLater(const scheduler &cell, const job_state &job, const step_spec &step,
                    std::size_t tasks);

/// Keeps room for these tasks from other steps of the team until the end of the placement round.
void holdCapRoom(scheduler &cell, const job_state &job, const step_spec &step, std::size_t tasks);

/// Returns why the job can never run within its team's cap: a gang, or a single task, is larger
/// than the cap. No value if it can run, or has no team with a cap.
std::optional<std::string> findCapConflict(const cell_config &config, const job_spec &spec);

} // namespace bramleygrade::cell
