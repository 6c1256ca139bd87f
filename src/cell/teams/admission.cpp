#include "cell/teams/admission.h"

#include <algorithm>

#include "cell/scheduler.h"
#include "cell/teams/team_shares.h"

namespace bramleygrade::cell {

namespace {

/// Time after which a caller may submit a job again that is larger than its team's cap; only a
/// change of the configuration lets it in.
constexpr microseconds capRetryAfter = 60 * second;
/// A job beyond its team's share is refused if it is not expected to end within this multiple of
/// its objective.
constexpr double objectiveFactor = 3;
/// A job within its team's share is refused if its expected wait is over this multiple of the wait
/// at which a job beyond a share is refused.
constexpr double inShareFactor = 2;
/// Time in office before which the work and the rate are not known well enough to refuse a job.
constexpr microseconds settlingTime = 2 * second;
constexpr microseconds updateInterval = 500 * millisecond;
/// Shortest time that a refused caller is told to wait.
constexpr microseconds minRetryAfter = 1 * second;
/// Share of the processors of a service that counts as available at least, so that long-running
/// tasks on all of them do not make the expected wait infinite.
constexpr double leastAvailableShare = 0.05;

/// Returns the processor time that `count` tasks of the step are expected to take.
cpu_work workOf(const scheduler &cell, const job_spec &spec, const step_spec &step,
                std::int64_t count)
{
    const auto runTimes = cell.runTimes.find(spec.queue);
    const microseconds expected = runTimes == cell.runTimes.end()
        ? step.estimate
        : expectRunTime(runTimes->second, step.estimate);
    return step.longRunning ? 0
                            : static_cast<double>(expected)
            * static_cast<double>(step.demand.cpuMilli) * static_cast<double>(count);
}

bool isCapped(const scheduler &cell, const std::string &team)
{
    const auto found = cell.teams.byName.find(team);
    return !team.empty() && found != cell.teams.byName.end() && found->second.cap.cpuMilli > 0;
}

void addWork(scheduler &cell, const job_spec &spec, const queue_policy &policy, cpu_work work,
             bool waitsForCap)
{
    // Work that waits for its team's cap does not delay that of other teams.
    if (!waitsForCap) {
        cell.queued.byService[policy.service].work[{spec.beyondShare, policy.priority}] += work;
    }
    if (isCapped(cell, spec.team)) {
        cell.queued.byTeam[spec.team][{spec.beyondShare, policy.priority}] += work;
    }
}

/// Deducts the processors that long-running tasks of the step have, as they do not work it off.
void deductService(scheduler &cell, const job_state &job, const step_spec &spec,
                   const step_state &step)
{
    if (!spec.longRunning || spec.scavenging) {
        return;
    }
    const auto runs =
        std::count_if(step.tasks.begin(), step.tasks.end(),
                      [](const task_state &task) { return task.phase != run_phase::none; });
    cell.queued.byService[job.policy.service].cpuMilli -=
        static_cast<double>(spec.demand.cpuMilli) * static_cast<double>(runs);
}

void addWaitingWork(scheduler &cell, const job_state &job)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            const step_state &step = occurrence.steps[index];
            deductService(cell, job, job.spec.steps[index], step);
            const auto waiting =
                std::count_if(step.tasks.begin(), step.tasks.end(), [](const task_state &task) {
                    return !task.done && task.phase == run_phase::none;
                });
            if (waiting > 0) {
                addWork(cell, job.spec, job.policy,
                        workOf(cell, job.spec, job.spec.steps[index], waiting),
                        step.waitsForTeamCap);
            }
        }
    }
}

/// Adds the processors of the usable workers.
std::map<std::string, double> addCapacities(scheduler &cell, timestamp now)
{
    std::map<std::string, double> all;
    for (const auto &[id, worker] : cell.workers) {
        if (isUsable(worker, now)) {
            const auto cpu = static_cast<double>(worker.entry.capacity.cpuMilli);
            all[worker.entry.service] += cpu;
            cell.queued.byService[worker.entry.service].cpuMilli += cpu;
        }
    }
    return all;
}

/// Returns the work that the order of the steps puts ahead of a new job.
cpu_work workAhead(const work_by_order &queued, int priority, bool beyondShare)
{
    cpu_work ahead = 0;
    for (const auto &[kind, work] : queued) {
        const bool isAhead = kind.first == beyondShare ? kind.second <= priority : beyondShare;
        ahead += isAhead ? work : 0;
    }
    return ahead;
}

/// Whether the figures say how long a job has to wait.
bool isSettled(const scheduler &cell, timestamp now)
{
    return now >= cell.tookOverAt + settlingTime
        && std::all_of(cell.workers.begin(), cell.workers.end(),
                       [](const auto &worker) { return worker.second.life.reconciled; });
}

/// Returns the longest wait with which the job, once it starts, is expected to end within
/// `objectiveFactor` times its objective.
microseconds longestWait(const scheduler &cell, const job_spec &spec, const queue_policy &policy,
                         timestamp now)
{
    job_state job;
    job.spec = spec;
    job.policy = policy;
    job.receivedAt = now;
    updateObjective(cell, job);
    const microseconds path = job.expectedToEnd.empty()
        ? 0
        : *std::max_element(job.expectedToEnd.begin(), job.expectedToEnd.end());
    const auto objective = static_cast<double>(job.objectiveAt - now);
    return std::max<microseconds>(static_cast<microseconds>(objectiveFactor * objective) - path, 0);
}

std::string formatSeconds(microseconds time)
{
    return std::to_string(time / millisecond) + " ms";
}

std::optional<team_refusal> refuseForWait(const scheduler &cell, const job_spec &spec,
                                          const queue_policy &policy, timestamp now)
{
    const microseconds wait = expectWait(cell, policy, spec.team, spec.beyondShare);
    if (wait == 0 || !isSettled(cell, now)) {
        return std::nullopt;
    }
    const auto limit =
        static_cast<microseconds>((spec.beyondShare ? 1 : inShareFactor)
                                  * static_cast<double>(longestWait(cell, spec, policy, now)));
    if (wait <= limit) {
        return std::nullopt;
    }
    return team_refusal {std::string("the job is ") + (spec.beyondShare ? "beyond" : "within")
                             + " the share of team " + spec.team + " and is expected to wait "
                             + formatSeconds(wait) + ", over the limit of " + formatSeconds(limit)
                             + "; retry later",
                         std::max(wait - limit, minRetryAfter), wait};
}

} // namespace

void updateQueuedWork(scheduler &cell, timestamp now)
{
    if (!cell.teams.active || now < cell.queued.updatedAt + updateInterval) {
        return;
    }
    cell.queued = {};
    cell.queued.updatedAt = now;
    std::map<std::string, double> all = addCapacities(cell, now);
    for (const auto &[id, job] : cell.jobs) {
        if (!job.finalPhase) {
            addWaitingWork(cell, job);
        }
    }
    for (auto &[service, queue] : cell.queued.byService) {
        queue.cpuMilli = std::max(queue.cpuMilli, leastAvailableShare * all[service]);
    }
}

void removeQueuedWork(scheduler &cell, const job_state &job, int step)
{
    const cpu_work work = workOf(cell, job.spec, job.spec.steps[static_cast<std::size_t>(step)], 1);
    const auto take = [work](cpu_work &sum) { sum = std::max(sum - work, 0.0); };
    const auto queue = cell.queued.byService.find(job.policy.service);
    if (queue != cell.queued.byService.end()) {
        take(queue->second.work[{job.spec.beyondShare, job.policy.priority}]);
    }
    const auto team = cell.queued.byTeam.find(job.spec.team);
    if (team != cell.queued.byTeam.end()) {
        take(team->second[{job.spec.beyondShare, job.policy.priority}]);
    }
}

microseconds expectWait(const scheduler &cell, const queue_policy &policy, const std::string &team,
                        bool beyondShare)
{
    double wait = 0;
    const auto queue = cell.queued.byService.find(policy.service);
    if (queue != cell.queued.byService.end() && queue->second.cpuMilli > 0) {
        wait = workAhead(queue->second.work, policy.priority, beyondShare) / queue->second.cpuMilli;
    }
    const auto ofTeam = cell.queued.byTeam.find(team);
    if (ofTeam != cell.queued.byTeam.end() && isCapped(cell, team)) {
        const resources &cap = cell.teams.byName.at(team).cap;
        wait = std::max(wait,
                        workAhead(ofTeam->second, policy.priority, beyondShare)
                            / static_cast<double>(cap.cpuMilli));
    }
    return static_cast<microseconds>(wait);
}

std::optional<team_refusal> admitOrRefuse(scheduler &cell, job_spec &spec,
                                          const queue_policy &policy, timestamp now)
{
    if (!cell.teams.active) {
        return std::nullopt;
    }
    spec.beyondShare = isBeyondShare(cell, spec.team, now);
    std::optional<team_refusal> refusal;
    if (const auto conflict = findCapConflict(cell.config, spec)) {
        refusal = team_refusal {*conflict, capRetryAfter, 0};
    } else {
        updateQueuedWork(cell, now);
        refusal = refuseForWait(cell, spec, policy, now);
    }
    const auto team = cell.teams.byName.find(spec.team);
    team_state &state = team == cell.teams.byName.end() ? cell.teams.withoutTeam : team->second;
    ++(refusal ? state.jobsRefused : state.jobsAccepted);
    state.jobsBeyondShare += !refusal && spec.beyondShare ? 1 : 0;
    if (refusal) {
        return refusal;
    }
    if (!spec.beyondShare) {
        countInShare(cell, spec.team, now);
    }
    for (const step_spec &step : spec.steps) {
        addWork(cell, spec, policy, workOf(cell, spec, step, step.count), false);
    }
    return std::nullopt;
}

} // namespace bramleygrade::cell
