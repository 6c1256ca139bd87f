#define BOOST_TEST_MODULE uneven_workers
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <set>

#include "cell/placement/gang_order.h"
#include "cell/placement/placement.h"
#include "cell_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;

namespace {

/// 24 workers of which one in four is slow; the speeds are given and not learned.
struct uneven_fixture : cell_fixture
{
    uneven_fixture()
    {
        entries.clear();
        for (int index = 0; index < 24; ++index) {
            entries.push_back(makeWorker("node-" + std::to_string(100 + index)));
        }
        changeWorkers(cell, entries, now);
        store();
        reconcileAll();
        useSpeeds(true);
    }

    void useSpeeds(bool used)
    {
        cell.speeds.services["booking"] = {24, 0.34, used};
        cell.speeds.nextRefreshAt = distantFuture;
        for (std::size_t index = 0; index < entries.size(); ++index) {
            auto &logRunTime = cell.workers.at(entries[index].id).logRunTime;
            logRunTime.reset();
            if (used) {
                logRunTime = index % 4 == 0 ? 0.6 : -0.18;
            }
        }
    }

    bool isSlow(const std::string &worker) const
    {
        const auto logRunTime = cell.workers.at(worker).logRunTime;
        return logRunTime && *logRunTime > 0;
    }

    std::ptrdiff_t countSlow(const orders &out) const
    {
        return std::count_if(out.starts.begin(), out.starts.end(),
                             [&](const start_order &order) { return isSlow(order.worker); });
    }
};

/// One step, and the number of its tasks that start on the 6 slow of 24 workers. A task takes a
/// whole worker.
struct placement_case
{
    const char *name;
    int count;
    bool gang;
    int priority;
    microseconds latencyTarget;
    std::ptrdiff_t onSlow;
};

const placement_case placementCases[] = {
    {"urgent tasks", 6, false, 0, 60 * second, 0},
    {"tasks with time to spare", 6, false, 2, 60 * second, 6},
    {"tasks without time to spare", 6, false, 2, second, 0},
    {"gang that fits on fast workers", 18, true, 1, 60 * second, 0},
    // Its members wait for the slow ones, so that it uses all of those.
    {"gang that needs a slow worker", 19, true, 1, 60 * second, 6},
};

std::ostream &operator<<(std::ostream &out, const placement_case &given)
{
    return out << given.name;
}

} // namespace

// Guards against urgent work and gangs on workers that take twice as long while fast ones are free,
// against gangs of which fast members wait for slow ones, and against slow workers lying idle.
BOOST_DATA_TEST_CASE(work_goes_to_workers_of_the_speed_that_suits_it,
                     boost::unit_test::data::make(placementCases), given)
{
    uneven_fixture cell;
    cell.policy.priority = given.priority;
    cell.policy.latencyTarget = given.latencyTarget;
    step_spec step = cell.makeStep(given.count, 8'000);
    step.gang = given.gang;
    const orders out = cell.run(cell.makeJob("job", {step}));
    BOOST_TEST(out.starts.size() == static_cast<std::size_t>(given.count));
    BOOST_TEST(cell.countSlow(out) == given.onSlow);
}

// Guards against calls for advice that give urgent steps and gangs tickets for slow workers first.
BOOST_AUTO_TEST_CASE(advice_is_asked_about_fast_workers_first)
{
    for (const bool isGang : {false, true}) {
        uneven_fixture cell;
        cell.policy.needsAdvice = true;
        cell.policy.advice = {20 * millisecond, millisecond, 2 * second};
        cell.policy.priority = isGang ? 1 : 0;
        cell.policy.latencyTarget = 60 * second;
        step_spec step = cell.makeStep(24, 8'000);
        step.gang = isGang;
        orders out = cell.run(cell.makeJob("job", {step}));
        BOOST_REQUIRE(out.advice.size() == 1U);
        BOOST_REQUIRE(prepareAdvice(cell.cell, out.advice[0], cell.now));
        const std::vector<std::string> &asked = out.advice[0].workers;
        BOOST_TEST_CONTEXT((isGang ? "gang" : "urgent step"))
        {
            BOOST_REQUIRE(asked.size() == 24U);
            const auto slow = std::find_if(asked.begin(), asked.end(),
                                           [&](const auto &id) { return cell.isSlow(id); });
            BOOST_TEST((slow - asked.begin() == 18));
        }
    }
}

// Guards against the next attempt of a failed task, and a step's last tasks, on a slow worker.
BOOST_AUTO_TEST_CASE(next_attempt_and_last_tasks_go_to_fast_workers)
{
    uneven_fixture cell;
    cell.policy.priority = 2;
    cell.policy.latencyTarget = 60 * second;
    cell.policy.maxAttempts = 4;
    const orders first = cell.run(cell.makeJob("job", {cell.makeStep(2, 8'000)}));
    BOOST_REQUIRE(cell.countSlow(first) == 2);
    cell.confirm(first.starts[0]);
    const orders failed = cell.end(first.starts[0].worker, 1, first.starts[0].task,
                                   first.starts[0].attempt, end_kind::failed);
    const orders next = cell.decide();
    BOOST_REQUIRE(next.starts.size() == 1U);
    BOOST_TEST(!cell.isSlow(next.starts[0].worker));
    // 24 tasks take all 22 free workers; the last two wait for others to end.
    const orders wide = cell.run(cell.makeJob("wide", {cell.makeStep(24, 8'000)}));
    BOOST_REQUIRE(wide.starts.size() == 22U);
    std::int64_t sequence = 1;
    for (const start_order &order : wide.starts) {
        cell.confirm(order);
        cell.end(order.worker, ++sequence, order.task, order.attempt, end_kind::done);
    }
    const orders last = cell.decide();
    BOOST_REQUIRE(last.starts.size() == 2U);
    BOOST_TEST(cell.countSlow(last) == 0);
}

namespace {

/// Runs of a job of lower priority fill all workers when a gang arrives; `used`: the speeds of the
/// workers are used.
struct preemption_case
{
    const char *name;
    bool used;
    /// Time since the victims' newest checkpoint.
    microseconds unsaved;
    /// Declared time and progress of the victims.
    microseconds victimEstimate;
    int percent;
    /// Time since a former preemption of the victims; 0: there was none.
    microseconds preemptedAgo;
    /// Objective of the gang, which takes 4 s, and of the victims' job, from now on.
    microseconds gangObjective;
    microseconds victimObjective;
    bool preempts;
};

const preemption_case preemptionCases[] = {
    {"gain", true, 100 * millisecond, 20 * second, 10, 0, 6 * second, 600 * second, true},
    {"like workers", false, 10 * second, 20 * second, 50, second, 500 * millisecond, 30 * second,
     true},
    {"more is thrown away", true, 10 * second, 20 * second, 10, 0, 6 * second, 600 * second, false},
    {"runs end soon enough", true, 100 * millisecond, 8 * second, 79, 0, 5'900 * millisecond,
     600 * second, false},
    {"gang is late all the same", true, 100 * millisecond, 20 * second, 10, 0, 4 * second,
     600 * second, false},
    {"preempted shortly before", true, 100 * millisecond, 20 * second, 10, 5 * second, 6 * second,
     600 * second, false},
    {"preempted long before", true, 100 * millisecond, 20 * second, 10, 30 * second, 6 * second,
     600 * second, true},
    {"victims would be late", true, 100 * millisecond, 20 * second, 10, 0, 6 * second, 25 * second,
     false},
};

std::ostream &operator<<(std::ostream &out, const preemption_case &given)
{
    return out << given.name;
}

} // namespace

// Guards against preemption that throws away more than the gang gains, that only moves the delay to
// another job, and that hits the same run's work again and again; and against a change where
// workers are alike.
BOOST_DATA_TEST_CASE(gang_preempts_only_where_it_gains,
                     boost::unit_test::data::make(preemptionCases), given)
{
    uneven_fixture cell;
    cell.useSpeeds(given.used);
    cell.policy.priority = 2;
    step_spec victims = cell.makeStep(24, 8'000);
    victims.checkpointing = true;
    victims.estimate = given.victimEstimate;
    const orders running = cell.run(cell.makeJob("victims", {victims}));
    BOOST_REQUIRE(running.starts.size() == 24U);
    for (const start_order &order : running.starts) {
        cell.confirm(order);
    }
    cell.now += given.victimEstimate * given.percent / 100;
    job_state &job = cell.cell.jobs.at("victims");
    for (task_state &task : job.occurrences.at(0).steps[0].tasks) {
        task.percent = given.percent;
        task.progressAt = cell.now;
        task.checkpointAt = cell.now - given.unsaved;
        task.preemptedAt = given.preemptedAgo > 0 ? cell.now - given.preemptedAgo : distantPast;
    }
    cell.cell.nextCheckAt = distantFuture; // objectives stay as they are set here
    job.objectiveAt = cell.now + given.victimObjective;
    cell.policy.priority = 0;
    step_spec gang = cell.makeStep(4, 8'000);
    gang.gang = true;
    gang.estimate = 4 * second;
    acceptJob(cell.cell, cell.makeJob("gang", {gang}), cell.policy, cell.now);
    cell.store();
    cell.cell.jobs.at("gang").objectiveAt = cell.now + given.gangObjective;
    const orders out = cell.decide();
    BOOST_TEST(out.stops.size() == (given.preempts ? 4U : 0U));
}

namespace {

/// Two gangs of one priority for which there is room for one.
struct order_case
{
    const char *name;
    bool used;
    int wideTasks;
    /// How long the wide gang has waited, and the time left to the objectives.
    microseconds waited;
    microseconds wideObjective;
    microseconds narrowObjective;
    bool wideFirst;
};

const order_case orderCases[] = {
    {"like workers: by objective", false, 20, 0, 10 * second, 20 * second, true},
    {"narrow gang first", true, 20, 0, 10 * second, 20 * second, false},
    {"every second of waiting counts", true, 4, 25 * second, 60 * second, 60 * second, true},
    {"late gang behind one on time", true, 4, 25 * second, 500 * millisecond, 60 * second, false},
    {"late gang after the bound", true, 4, 31 * second, -5 * second, 60 * second, true},
};

std::ostream &operator<<(std::ostream &out, const order_case &given)
{
    return out << given.name;
}

} // namespace

// Guards against gangs that each make the next one late, and against a gang that waits for ever
// behind smaller or later ones.
BOOST_DATA_TEST_CASE(gangs_go_by_the_time_they_hold, boost::unit_test::data::make(orderCases),
                     given)
{
    uneven_fixture cell;
    cell.useSpeeds(given.used);
    step_spec gang = cell.makeStep(given.wideTasks, 8'000);
    gang.gang = true;
    acceptJob(cell.cell, cell.makeJob("wide", {gang}), cell.policy, cell.now - given.waited);
    gang.count = 3;
    acceptJob(cell.cell, cell.makeJob("narrow", {gang}), cell.policy, cell.now);
    std::vector<waiting_step> waiting;
    for (const auto &[id, objective] :
         {std::pair("wide", given.wideObjective), std::pair("narrow", given.narrowObjective)}) {
        job_state &job = cell.cell.jobs.at(id);
        job.objectiveAt = cell.now + objective;
        ensureOccurrence(job, 0);
        waiting.push_back(*makeWaitingStep(job, 0, 0, cell.now));
    }
    orderGangs(cell.cell, waiting, cell.now);
    BOOST_TEST((waiting[0] < waiting[1]) == given.wideFirst);
}

namespace {

/// What a worker leaves to scavenging tasks: its free processors, and how long such tasks took
/// there as a multiple of the usual time.
struct left_over_case
{
    const char *name;
    std::int64_t freeElsewhere;
    std::int64_t freeHere;
    double takenHere;
    bool startsHere;
};

const left_over_case leftOverCases[] = {
    {"most processors free", 1'000, 6'000, 1, true},
    {"fewest processors free", 6'000, 1'000, 1, false},
    {"tasks took shorter than elsewhere", 4'000, 4'000, 0.5, true},
    {"tasks took longer than elsewhere", 4'000, 4'000, 2, false},
    {"free processors of which tasks got nothing", 4'000, 6'000, 8, false},
};

std::ostream &operator<<(std::ostream &out, const left_over_case &given)
{
    return out << given.name;
}

} // namespace

// Guards against scavenging tasks on the fullest workers, where best fit places them as no
// processors are reserved for them, and on workers where they are seen to get little.
BOOST_DATA_TEST_CASE(scavenging_task_goes_where_processor_time_is_left_over,
                     boost::unit_test::data::make(leftOverCases), given)
{
    uneven_fixture cell;
    const std::string here = cell.entries[13].id;
    for (const auto &entry : cell.entries) {
        const bool isHere = entry.id == here;
        worker_state &worker = cell.cell.workers.at(entry.id);
        worker.life.used.cpuMilli = 8'000 - (isHere ? given.freeHere : given.freeElsewhere);
        worker.logScavenged = isHere ? std::log(given.takenHere) : 0;
    }
    step_spec step = cell.makeStep(1, 4'000);
    step.scavenging = true;
    const orders out = cell.run(cell.makeJob("job", {step}));
    BOOST_REQUIRE(out.starts.size() == 1U);
    BOOST_TEST((out.starts[0].worker == here) == given.startsHere);
}

// Guards against all tasks of a scavenging step on the one worker with the most processors free.
BOOST_AUTO_TEST_CASE(scavenging_tasks_spread_over_what_is_left_over)
{
    uneven_fixture cell;
    step_spec step = cell.makeStep(24, 8'000);
    step.scavenging = true;
    const orders out = cell.run(cell.makeJob("job", {step}));
    std::set<std::string> workers;
    for (const start_order &order : out.starts) {
        workers.insert(order.worker);
    }
    BOOST_TEST(workers.size() == 24U);
}

// Guards against workers that look slow as polls of them got no answer: the ends that they list
// afterwards may be seconds old. On a deployment of 48 like workers, 21 of which lost answers for 6
// s, the spread was taken for 0.32 to 0.37.
BOOST_AUTO_TEST_CASE(ends_reported_after_an_unanswered_poll_tell_nothing_about_speeds)
{
    for (const bool isPollLost : {false, true}) {
        BOOST_TEST_CONTEXT((isPollLost ? "a poll was lost" : "all polls were answered"))
        {
            cell_fixture fixture;
            // Means of workers count once the queue has ten runs.
            for (int run = 0; run < 12; ++run) {
                const std::string id = "job-" + std::to_string(run);
                const start_order order =
                    fixture.run(cell_fixture::makeJob(id, {cell_fixture::makeStep(1, 1'000)}))
                        .starts.at(0);
                fixture.confirm(order);
                fixture.now += second;
                if (isPollLost) {
                    orders out;
                    onPollFailed(fixture.cell, fixture.makePoll(order.worker),
                                 order_outcome::unanswered, fixture.now, out);
                }
                fixture.end(order.worker, run + 1, order.task, order.attempt, end_kind::done);
                fixture.decide();
            }
            BOOST_TEST(fixture.cell.speeds.queues.empty() == isPollLost);
        }
    }
}
