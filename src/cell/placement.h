#pragma once

#include <map>
#include <string>
#include <vector>

#include "cell/scheduler.h"

namespace bramleygrade::cell {

/// A worker as one round of placement sees it: what is free shrinks as work is planned.
struct worker_headroom
{
    worker_state *worker = nullptr;
    resources free;
};

/// Rooms by worker id, for the workers that may take work now.
using headroom_map = std::map<std::string, worker_headroom>;

/// The most that any worker of a service has free of each resource; no task that needs more can
/// be placed. Stays valid as rooms shrink.
using headroom_limits = std::map<std::string, resources>;

headroom_limits maxHeadroomByService(const headroom_map &rooms);

/// One ready step with tasks that wait.
struct waiting_step
{
    /// Lower comes first: on time before late, then the team's priority, then the objective.
    bool late = false;
    int priority = 0;
    timestamp objectiveAt = distantFuture;
    job_state *job = nullptr;
    int occurrence = 0;
    int step = 0;
    std::vector<int> tasks;

    friend bool operator<(const waiting_step &a, const waiting_step &b)
    {
        return std::tie(a.late, a.priority, a.objectiveAt, a.job->spec.id, a.occurrence, a.step)
            < std::tie(b.late, b.priority, b.objectiveAt, b.job->spec.id, b.occurrence, b.step);
    }
};

/// Where the tasks of a step would go; `workers[i]` is for `tasks[i]`.
struct placement_plan
{
    std::vector<std::string> workers;
    /// Tasks that found no place.
    std::size_t unplaced = 0;
    /// Every worker of the plan holds a ticket that is still valid.
    bool ticketsValid = true;
};

/// Whether the worker may run the step at all, room and advice aside.
bool isEligible(const job_state &job, const step_spec &step, const worker_state &worker);

/// How many tasks of the step the room takes.
std::int64_t tasksThatFit(const step_spec &step, const resources &room);

/// Lower is better: locality first, then trust, then the least room left over.
double placementCost(const step_spec &step, const task_state *task, const worker_headroom &room);

placement_plan planStep(const waiting_step &waiting, const headroom_map &rooms, timestamp now);

/// Makes room for a gang on few workers by stopping runs of less urgent jobs that can resume from
/// a checkpoint. Returns the workers of the plan; empty if too little can be freed.
std::vector<std::string> preemptForGang(scheduler &cell, const waiting_step &waiting,
                                        const headroom_map &rooms, timestamp now, orders &out);

/// Keeps room for a gang that does not fit yet, so that later steps leave it alone.
void reserveForGang(const waiting_step &waiting, std::size_t missing, headroom_map &rooms);

/// Workers to ask the advisory service about; empty: nothing to ask now.
std::vector<std::string> workersToAsk(const scheduler &cell, const waiting_step &waiting,
                                      const placement_plan &plan, const headroom_map &rooms,
                                      timestamp now);

advice_order makeAdviceOrder(const waiting_step &waiting, std::vector<std::string> workers);

/// Margin by which a ticket must outlast the start order that carries it.
constexpr microseconds ticketMargin = 80 * millisecond;

inline step_state &stepState(const waiting_step &waiting)
{
    return waiting.job->occurrences.at(waiting.occurrence)
        .steps[static_cast<std::size_t>(waiting.step)];
}

inline const step_spec &stepSpec(const waiting_step &waiting)
{
    return stepOf(*waiting.job, waiting.step);
}

} // namespace bramleygrade::cell
