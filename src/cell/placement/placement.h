#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/container/flat_map.hpp>

#include "cell/scheduler.h"

namespace bramleygrade::cell {

/// A worker and its free capacity, which shrinks as a placement round assigns tasks.
struct worker_headroom
{
    worker_state *worker = nullptr;
    resources free;
};

/// Headroom by worker id, for the workers that may take new tasks. Contiguous, as a round builds it
/// once and then iterates over it for every step.
using headroom_map = boost::container::flat_map<std::string, worker_headroom>;

/// Upper bound on each resource free on any single worker, by service. A task that needs more of
/// a resource cannot be placed. Remains an upper bound while headroom shrinks.
using headroom_limits = std::map<std::string, resources>;

/// Returns the maximum of each free resource over the workers of each service.
headroom_limits maxHeadroomByService(const headroom_map &headrooms);

/// A ready step with tasks to be placed. Sorts steps on time before late ones, then by `priority`,
/// gangs that hold capacity before others, then by `objectiveAt`, job id, occurrence and step,
/// ascending. Where the configuration has teams, `orderByShares` sorts them anew.
struct waiting_step
{
    /// The step has missed its objective or is not expected to meet it.
    bool late = false;
    int priority = 0;
    bool holdsCapacity = false;
    /// Set by `orderByShares`, only where the configuration has teams: the job is beyond its team's
    /// share, and what the team has of what is due to it, 1 or less being equal.
    bool beyondShare = false;
    double teamShare = 0;
    timestamp objectiveAt = distantFuture;
    /// Sorts steps of equal priority; the objective, unless `orderGangs` sets another time.
    timestamp orderAt = distantFuture;
    job_state *job = nullptr;
    int occurrence = 0;
    int step = 0;
    std::vector<int> tasks;
    /// Images that the step should not share a worker with, if there is room elsewhere.
    image_set clashing = 0;
    /// The step's own image; empty while nothing clashes with it.
    image_set ownImage = 0;

    friend bool operator<(const waiting_step &a, const waiting_step &b)
    {
        return std::tie(a.late, a.priority, b.holdsCapacity, a.orderAt, a.job->spec.id,
                        a.occurrence, a.step)
            < std::tie(b.late, b.priority, a.holdsCapacity, b.orderAt, b.job->spec.id, b.occurrence,
                       b.step);
    }
};

/// Proposed assignment of a step's tasks: `workers[i]` is for `tasks[i]`.
struct placement_plan
{
    std::vector<std::string> workers;
    /// Number of tasks for which no worker was found.
    std::size_t unplaced = 0;
    /// All workers of the plan have a valid ticket, or the queue needs no advice.
    bool ticketsValid = true;
    /// Tasks that would have been placed beside clashing images: for each, those images.
    std::vector<image_set> avoided;
};

/// Returns the step if it has tasks that may be started now; none while members of a broken gang
/// are still active. The occurrence must exist.
std::optional<waiting_step> makeWaitingStep(job_state &job, int number, int index, timestamp now);

/// Whether the step is of the highest priority, on time and within its team's share; it is placed
/// before all others.
inline bool isUrgent(const waiting_step &waiting)
{
    return !waiting.beyondShare && !waiting.late && waiting.priority == 0;
}

/// Whether service and label of the worker match the step; ignores capacity and advice.
bool isEligible(const job_state &job, const step_spec &step, const worker_state &worker);

/// Returns the number of tasks of the step that fit into `headroom`, at most the step's count.
std::int64_t tasksThatFit(const step_spec &step, const resources &headroom);

/// Returns the cost of placing `task` on the worker; lower is better. Locality weighs more than a
/// single recent failure of the worker, and both more than the CPU share left free (best fit).
/// `task` may be null.
double placementCost(const step_spec &step, const task_state *task,
                     const worker_headroom &headroom);

/// Whether the workers could take all waiting tasks of the step together if only lasting tasks ran
/// there. Workers that were not asked about yet count as allowed.
bool isPlaceable(const waiting_step &waiting, const headroom_map &headrooms);

/// Assigns the tasks of a step to the workers of lowest cost, those with a valid ticket first.
/// Changes neither the step nor the headroom.
placement_plan planStep(const waiting_step &waiting, const headroom_map &headrooms, timestamp now);

/// Frees and reserves capacity for a gang on few workers by stopping runs of less urgent jobs that
/// can resume from a checkpoint. Returns the chosen workers; empty if the gang can still wait, too
/// little can be freed, or an earlier preemption for the step is recent.
std::vector<std::string> preemptForGang(scheduler &cell, const waiting_step &waiting,
                                        const headroom_map &headrooms, timestamp now, orders &out);

/// Withholds capacity of up to `missing` workers from later steps of the round, for a gang that
/// does not fit yet. Returns the processor time withheld, in thousandths of a processor.
std::int64_t withholdForGang(const waiting_step &waiting, std::size_t missing,
                             headroom_map &headrooms);

/// Returns the workers to ask the advisory service about; empty if no call is due.
std::vector<std::string> selectWorkersToAsk(const scheduler &cell, const waiting_step &waiting,
                                            const placement_plan &plan,
                                            const headroom_map &headrooms, timestamp now);

/// Builds the call of the advisory service for the step and these workers.
advice_order makeAdviceOrder(const waiting_step &waiting, std::vector<std::string> workers);

/// Limits of the calls for advice that wait to be sent. Other steps ask once there is room, so that
/// the cost of the queue does not grow with the number of waiting steps.
constexpr std::size_t maxQueuedLongCalls = 150;
constexpr std::size_t maxQueuedShortCalls = 300;

/// Returns the time at which the job was submitted, or at which its occurrence was due.
inline timestamp waitsSince(const waiting_step &waiting)
{
    return std::max(waiting.job->receivedAt, waiting.job->occurrences.at(waiting.occurrence).dueAt);
}

/// Minimum remaining validity of a ticket when the start order that carries it is sent.
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
