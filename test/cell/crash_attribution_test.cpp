#define BOOST_TEST_MODULE crash_attribution
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cell/ends/crashes.h"
#include "cell_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using cell_report = bramleygrade::cell::worker_report;
using cell_phase = bramleygrade::cell::job_phase;
using bramleygrade::testing::cell_fixture;

namespace {

/// How the scheduler learns that a worker has crashed.
enum class crash_sign { poll_refused, start_refused, address_listed_again, listed_after_silence };

/// A cell whose workers crash and come back at their address with a new id.
struct crashing_cell : cell_fixture
{
    /// Passes time during which all workers but `silent` answer.
    orders pass(microseconds duration, const std::string &silent = "")
    {
        orders last;
        for (const timestamp until = now + duration; now < until;) {
            now += 100 * millisecond;
            for (const worker_entry &entry : entries) {
                if (entry.id == silent) {
                    onPollFailed(cell, makePoll(silent), order_outcome::unanswered, now, last);
                } else {
                    report(entry.id, runningOn(entry.id));
                }
            }
            const orders out = decide();
            last.starts.insert(last.starts.end(), out.starts.begin(), out.starts.end());
        }
        return last;
    }

    /// Returns the report of a worker that still has all of its runs.
    cell_report runningOn(const std::string &worker)
    {
        cell_report answer;
        for (const task_id &id : cell.workers.at(worker).life.runs) {
            answer.running.push_back({id, findTask(cell.jobs.at(id.job), id)->attempt, "", 0});
        }
        return answer;
    }

    /// Ends the worker's life; returns the starts that follow.
    std::vector<start_order> crash(const start_order &order, crash_sign sign)
    {
        const std::string crashed = order.worker;
        orders out;
        std::vector<start_order> starts;
        if (sign == crash_sign::poll_refused) {
            onPollFailed(cell, makePoll(crashed), order_outcome::refused_incarnation, now, out);
        } else if (sign == crash_sign::start_refused) {
            onStartOutcome(cell, order, order_outcome::refused_incarnation, now, out);
        } else if (sign == crash_sign::listed_after_silence) {
            starts = pass(8 * second, crashed).starts;
        }
        const auto entry =
            std::find_if(entries.begin(), entries.end(),
                         [&](const worker_entry &listed) { return listed.id == crashed; });
        entry->id += "+";
        changeWorkers(cell, entries, now);
        store();
        const std::vector<start_order> first = decide().starts;
        report(entry->id, {});
        if (first.empty()) {
            store();
        }
        const std::vector<start_order> later = decide().starts;
        starts.insert(starts.end(), first.begin(), first.end());
        starts.insert(starts.end(), later.begin(), later.end());
        return starts;
    }
};

struct sign_case
{
    const char *description;
    crash_sign sign;
};

const std::vector<sign_case> allSigns {
    {"another incarnation refuses a poll", crash_sign::poll_refused},
    {"another incarnation refuses the start", crash_sign::start_refused},
    {"the registry lists another worker at the address", crash_sign::address_listed_again},
    {"the worker is silent, then another is listed", crash_sign::listed_after_silence},
};

} // namespace

// Guards against a task that crashed worker after worker, as crashes were not counted.
BOOST_AUTO_TEST_CASE(budget_task_that_crashes_every_worker)
{
    for (const sign_case &given : allSigns) {
        BOOST_TEST_CONTEXT(given.description)
        {
            crashing_cell fixture;
            std::vector<start_order> starts =
                fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)})).starts;
            int startsAfterThirdCrash = 0;
            constexpr int maxCrashes = 8;
            for (int crashes = 0; crashes < maxCrashes && !starts.empty(); ++crashes) {
                startsAfterThirdCrash += crashes >= 3 ? 1 : 0;
                fixture.now += 10 * millisecond;
                starts = fixture.crash(starts.front(), given.sign);
            }
            BOOST_TEST(startsAfterThirdCrash < 3);
            BOOST_TEST((fixture.cell.jobs.at("a").finalPhase == cell_phase::failed));
        }
    }
}

namespace {

/// Two jobs that start on the same worker at the same time.
struct shared_worker : crashing_cell
{
    shared_worker()
    {
        entries.resize(1);
        cell::changeWorkers(cell, entries, now);
        for (const char *id : {"deadly", "innocent"}) {
            acceptJob(cell, cell_fixture::makeJob(id, {cell_fixture::makeStep(1, 1'000)}), policy,
                      now);
        }
        store();
        for (const start_order &order : decide().starts) {
            confirm(order);
        }
        entries.push_back(makeWorker("worker-4"));
        entries.push_back(makeWorker("worker-5"));
        cell::changeWorkers(cell, entries, now);
        store();
    }

    const task_state &taskOf(const std::string &job)
    {
        return *findTask(cell.jobs.at(job), {job, 0, 0, 0});
    }

    /// Crashes each worker on which the deadly task starts, until both jobs have ended or no time
    /// is left. Other tasks end well after half a second.
    void play(microseconds duration)
    {
        std::map<std::string, std::int64_t> sequences;
        for (const timestamp until = now + duration; now < until;) {
            now += 10 * millisecond;
            const auto &deadly = taskOf("deadly");
            if (!cell.jobs.at("deadly").finalPhase && deadly.phase != run_phase::none) {
                crash({{"deadly", 0, 0, 0}, deadly.attempt, deadly.worker},
                      crash_sign::poll_refused);
            }
            const auto &innocent = taskOf("innocent");
            if (innocent.phase == run_phase::running
                && now >= innocent.startedAt + 500 * millisecond) {
                end(innocent.worker, ++sequences[innocent.worker], {"innocent", 0, 0, 0},
                    innocent.attempt, end_kind::done);
            }
            pass(100 * millisecond);
        }
    }
};

/// What happened to a worker on which a task was started.
struct survival_case
{
    const char *description;
    bool draining;
    order_outcome outcome;
    microseconds ranFor;
    std::size_t crashes;
    std::size_t attributed;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_task_that_shared_the_worker_of_a_crashing_task_completes)
{
    shared_worker fixture;
    BOOST_REQUIRE(fixture.cell.workers.at("worker-1").life.runs.size() == 2U);
    fixture.play(20 * second);
    BOOST_TEST((fixture.cell.jobs.at("deadly").finalPhase == cell_phase::failed));
    BOOST_TEST((fixture.cell.jobs.at("innocent").finalPhase == cell_phase::completed));
    BOOST_TEST(fixture.cell.counters.tasksGivenUp == 1U);
}

BOOST_AUTO_TEST_CASE(a_crash_counts_only_if_it_is_proven)
{
    const std::vector<survival_case> cases {
        {"crashed at the start", false, order_outcome::refused_incarnation, 0, 1, 1},
        {"crashed long after the start", false, order_outcome::refused_incarnation, 3 * second, 1,
         0},
        {"left and was replaced", true, order_outcome::refused_incarnation, 0, 0, 0},
        {"no connection", false, order_outcome::not_sent, 0, 0, 0},
        {"silent", false, order_outcome::unanswered, 0, 0, 0},
    };
    for (const survival_case &given : cases) {
        BOOST_TEST_CONTEXT(given.description)
        {
            crashing_cell fixture;
            const start_order start =
                fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)}))
                    .starts.at(0);
            fixture.confirm(start);
            fixture.pass(given.ranFor);
            fixture.cell.workers.at(start.worker).entry.draining = given.draining;
            orders out;
            // Another poll of the same worker must not count the crash again.
            for (int poll = 0; poll < 2; ++poll) {
                onPollFailed(fixture.cell, fixture.makePoll(start.worker), given.outcome,
                             fixture.now, out);
            }
            const task_state &task = *findTask(fixture.cell.jobs.at("a"), start.task);
            BOOST_TEST(task.crashedLives.size() == given.crashes);
            BOOST_TEST(task.attributedCrashes.size() == given.attributed);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_task_that_ran_for_long_is_no_suspect_beside_a_recent_start)
{
    crashing_cell fixture;
    fixture.entries.resize(1);
    changeWorkers(fixture.cell, fixture.entries, fixture.now);
    fixture.confirm(
        fixture.run(cell_fixture::makeJob("old", {cell_fixture::makeStep(1, 1'000)})).starts.at(0));
    fixture.pass(3 * second);
    const start_order recent =
        fixture.run(cell_fixture::makeJob("new", {cell_fixture::makeStep(1, 1'000)})).starts.at(0);
    fixture.confirm(recent);
    fixture.crash(recent, crash_sign::poll_refused);
    BOOST_TEST(findTask(fixture.cell.jobs.at("old"), {"old", 0, 0, 0})->crashedLives.empty());
    BOOST_TEST(findTask(fixture.cell.jobs.at("new"), recent.task)->attributedCrashes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_worker_on_trial_takes_no_other_job_until_it_has_answered)
{
    crashing_cell fixture;
    const start_order first =
        fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)})).starts.at(0);
    const std::vector<start_order> again = fixture.crash(first, crash_sign::poll_refused);
    BOOST_REQUIRE(again.size() == 1U);
    fixture.confirm(again.front());
    const auto other = fixture.run(cell_fixture::makeJob("b", {cell_fixture::makeStep(3, 8'000)}));
    for (const start_order &start : other.starts) {
        BOOST_TEST(start.worker != again.front().worker);
    }
    BOOST_TEST(other.starts.size() == 2U);
    fixture.pass(1'500 * millisecond);
    const auto late = fixture.run(cell_fixture::makeJob("c", {cell_fixture::makeStep(1, 7'000)}));
    BOOST_REQUIRE(late.starts.size() == 1U);
    BOOST_TEST(late.starts.front().worker == again.front().worker);
}

// Guards against a job given up for a start that may never have reached the worker.
BOOST_AUTO_TEST_CASE(lost_job_whose_start_was_not_confirmed)
{
    crashing_cell fixture;
    const start_order start =
        fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)})).starts.at(0);
    fixture.crash(start, crash_sign::poll_refused);
    const task_state &task = *findTask(fixture.cell.jobs.at("a"), start.task);
    BOOST_TEST(task.crashedLives.size() == 1U);
    BOOST_TEST(task.attributedCrashes.empty());
}

// Guards against a crash that a successor attributes to a trial that was over before.
BOOST_AUTO_TEST_CASE(lost_job_for_a_trial_that_was_over)
{
    crashing_cell fixture;
    const start_order first =
        fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)})).starts.at(0);
    const std::vector<start_order> again = fixture.crash(first, crash_sign::poll_refused);
    BOOST_REQUIRE(again.size() == 1U);
    const task_state &task = *findTask(fixture.cell.jobs.at("a"), first.task);
    fixture.store();
    BOOST_TEST(task.trialLife == again.front().worker);
    fixture.confirm(again.front());
    fixture.pass(startTrial + 200 * millisecond);
    BOOST_TEST(task.trialLife.empty());
    BOOST_TEST(fixture.cell.unstored.count("a") == 1U);
}

// Guards against counts that a takeover forgets, as they were not stored before the next start.
BOOST_AUTO_TEST_CASE(budget_start_before_the_crash_is_stored)
{
    crashing_cell fixture;
    const start_order start =
        fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)})).starts.at(0);
    fixture.confirm(start);
    orders out;
    onPollFailed(fixture.cell, fixture.makePoll(start.worker), order_outcome::refused_incarnation,
                 fixture.now, out);
    BOOST_TEST(fixture.decide().starts.empty());
    fixture.store();
    BOOST_TEST(fixture.decide().starts.size() == 1U);
}

// Guards against crashes of a task that no scheduler counts, as each of its workers crashes shortly
// before a takeover: a restored task may have crashed a worker that never answers.
BOOST_AUTO_TEST_CASE(budget_start_after_an_unknown_crash)
{
    for (const bool crashes : {false, true}) {
        BOOST_TEST_CONTEXT((crashes ? "a worker of the predecessor has crashed" : "none has"))
        {
            crashing_cell after;
            job_state stored;
            stored.spec = cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)});
            stored.policy = after.policy;
            stored.acceptedEpoch = after.cell.epoch - 1;
            restoreJob(after.cell, stored, after.now);
            restoreWorker(after.cell, cell_fixture::makeWorker("worker-9"), after.now);
            orders out;
            if (crashes) {
                onPollFailed(after.cell, after.makePoll("worker-9"),
                             order_outcome::refused_incarnation, after.now, out);
            } else {
                after.report("worker-9", {});
            }
            const orders next = after.decide();
            BOOST_REQUIRE(next.starts.size() == 1U);
            const task_state &task = *findTask(after.cell.jobs.at("a"), next.starts.front().task);
            BOOST_TEST(task.trialLife == (crashes ? next.starts.front().worker : ""));
            BOOST_TEST((after.cell.unstored.count("a") == 1U) == crashes);
        }
    }
}

namespace {

/// Restores the stored job in a successor and proves that `worker` has crashed, which had not
/// answered it. Returns the job.
job_state crashAfterTakeover(job_state stored, const std::string &worker)
{
    crashing_cell after;
    after.cell.workers.clear(); // no worker has answered the new scheduler
    task_state &task = *findTask(stored, {stored.spec.id, 0, 0, 0});
    task.phase = run_phase::none;
    task.worker.clear();
    restoreJob(after.cell, stored, after.now);
    restoreWorker(after.cell, cell_fixture::makeWorker(worker), after.now);
    orders out;
    onPollFailed(after.cell, after.makePoll(worker), order_outcome::refused_incarnation, after.now,
                 out);
    return after.cell.jobs.at(stored.spec.id);
}

} // namespace

// Guards against crashes that are not counted, as a takeover comes before their proof.
BOOST_AUTO_TEST_CASE(budget_crash_of_a_worker_on_trial_around_a_takeover)
{
    crashing_cell before;
    const start_order first =
        before.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)})).starts.at(0);
    const std::vector<start_order> again = before.crash(first, crash_sign::poll_refused);
    BOOST_REQUIRE(again.size() == 1U);
    job_state job = before.cell.jobs.at("a");
    BOOST_TEST(findTask(job, first.task)->trialLife == again.front().worker);
    BOOST_TEST(before.cell.unstored.count("a") == 1U);
    int startsAfterThirdCrash = 0;
    std::string worker = again.front().worker;
    for (std::size_t crashes = 2; crashes < 8 && !job.finalPhase; ++crashes) {
        job = crashAfterTakeover(job, worker);
        task_state &task = *findTask(job, first.task);
        BOOST_TEST(task.crashedLives.size() == crashes);
        if (!job.finalPhase) {
            startsAfterThirdCrash += crashes >= 3 ? 1 : 0;
            worker += "+";
            task.trialLife = worker;
        }
    }
    BOOST_TEST((job.finalPhase == cell_phase::failed));
    BOOST_TEST(startsAfterThirdCrash < 3);
}
