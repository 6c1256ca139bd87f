#define BOOST_TEST_MODULE worker_restart
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>

#include "cell_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using cell_report = bramleygrade::cell::worker_report;
using cell_phase = bramleygrade::cell::job_phase;
using bramleygrade::testing::cell_fixture;

namespace {

constexpr std::int64_t firstBorn = 1'790'000'000'000;
constexpr std::int64_t secondBorn = firstBorn + 60'000;
/// Clock of a worker shortly after its start.
constexpr std::int64_t youngClock = 300 * millisecond;

/// A cell with one worker, whose answers name the life `born`.
struct restarting_cell : cell_fixture
{
    restarting_cell()
        : cell_fixture(1, false)
    {
        entries.resize(1);
        entries.front().born = firstBorn;
        cell.workers.clear();
        changeWorkers(cell, entries, now);
        store();
        settle();
    }

    /// Returns the next poll that is ordered and not answered.
    poll_order nextPoll()
    {
        for (int round = 0; polls.empty() && round < 100; ++round) {
            decideNow();
            now += polls.empty() ? 10 * millisecond : 0;
        }
        BOOST_REQUIRE(!polls.empty());
        poll_order poll = polls.front();
        polls.erase(polls.begin());
        return poll;
    }

    /// Collects the orders of the next decision.
    void decideNow()
    {
        const orders out = decide();
        starts.insert(starts.end(), out.starts.begin(), out.starts.end());
        polls.insert(polls.end(), out.polls.begin(), out.polls.end());
    }

    /// Delivers the answer to `poll` of the life `born` at `now`.
    void answer(const poll_order &poll, cell_report given, timestamp sentAt)
    {
        given.born = born;
        given.workerClock = workerNow();
        orders out;
        onReport(cell, poll, given, sentAt, now, out);
        starts.insert(starts.end(), out.starts.begin(), out.starts.end());
    }

    std::int64_t workerNow() const { return now - clockZero; }

    /// Lets the worker answer polls with `given` for a second, and stores all changes; until the
    /// first start order if `untilStart` is set.
    void settle(const cell_report &given = {}, bool untilStart = false)
    {
        for (int round = 0; round < 20 && !(untilStart && !starts.empty()); ++round) {
            decideNow();
            const timestamp sentAt = now;
            now += millisecond;
            for (const poll_order &poll : std::exchange(polls, {})) {
                answer(poll, given, sentAt);
            }
            store();
            now += 50 * millisecond;
        }
    }

    /// The worker crashes, its next poll fails, and it starts again under its id.
    void restart(std::int64_t startTime = secondBorn)
    {
        fail(nextPoll());
        startAgain(startTime);
    }

    void startAgain(std::int64_t startTime)
    {
        now += second;
        born = startTime;
        clockZero = now - youngClock;
    }

    void fail(const poll_order &poll, order_outcome outcome = order_outcome::unanswered)
    {
        now += 100 * millisecond;
        orders out;
        onPollFailed(cell, poll, outcome, now, out);
    }

    /// The registry shows the worker's current life.
    void list(const resources &capacity = {8'000, 16'000, 0})
    {
        entries.front().born = born;
        entries.front().capacity = capacity;
        changeWorkers(cell, entries, now);
    }

    /// Submits a job of one task and returns its start order, which the worker accepts.
    start_order start(const std::string &job)
    {
        starts.clear();
        acceptJobOfOneTask(job);
        decideNow();
        BOOST_REQUIRE(starts.size() == 1U);
        start_order order = starts.front();
        starts.clear();
        confirm(order);
        return order;
    }

    void acceptJobOfOneTask(const std::string &job)
    {
        acceptJob(cell, cell_fixture::makeJob(job, {cell_fixture::makeStep(1, 1'000)}), policy,
                  now);
        store();
    }

    /// Runs jobs to their ends, which get the sequence numbers from 1 on.
    void runToEnd(int jobs)
    {
        for (int number = 1; number <= jobs; ++number) {
            const start_order order = start("before" + std::to_string(number));
            cell_report ended;
            ended.ended.push_back({number, order.task, order.attempt, end_kind::done, ""});
            settle(ended);
        }
    }

    const worker_state &worker() const { return cell.workers.at("worker-1"); }
    /// Whether the job, which has one task, has ended with it. The task is dropped then.
    bool isCompleted(const std::string &job) const
    {
        return cell.jobs.at(job).finalPhase == bramleygrade::cell::job_phase::completed;
    }

    const task_state &taskOf(const std::string &job)
    {
        return *findTask(cell.jobs.at(job), {job, 0, 0, 0});
    }

    std::int64_t born = firstBorn;
    /// Time at which the worker's clock was 0.
    timestamp clockZero = 0;
    /// Orders that were given and not taken by a function of the fixture.
    std::vector<start_order> starts;
    std::vector<poll_order> polls;
};

} // namespace

// Ends that a worker numbered from 1 on after its restart were skipped, and the task ran again.
BOOST_AUTO_TEST_CASE(twice_end_of_a_restarted_worker)
{
    restarting_cell fixture;
    fixture.runToEnd(3);
    fixture.restart();
    fixture.list();
    fixture.settle();
    const start_order order = fixture.start("after");
    cell_report ended;
    ended.ended.push_back({1, order.task, order.attempt, end_kind::done, ""});
    fixture.settle(ended);
    BOOST_TEST(fixture.isCompleted("after"));
    BOOST_TEST(fixture.starts.empty());
}

// A worker that had restarted was told to discard ends that it had not reported yet.
BOOST_AUTO_TEST_CASE(twice_acknowledgement_for_a_former_life)
{
    restarting_cell fixture;
    fixture.runToEnd(3);
    BOOST_TEST(fixture.worker().life.deliveredAcknowledgement == 3);
    const start_order pending = fixture.start("pending");
    cell_report ended;
    ended.ended.push_back({4, pending.task, pending.attempt, end_kind::done, ""});
    fixture.answer(fixture.nextPoll(), ended, fixture.now);
    fixture.store();
    const poll_order last = fixture.nextPoll();
    BOOST_TEST(last.acknowledgedEnd == 4);
    fixture.fail(last);
    fixture.startAgain(secondBorn);
    const poll_order first = fixture.nextPoll();
    BOOST_TEST(first.acknowledgedEnd == 0);
    BOOST_TEST(first.leaseUntil == 0);
    fixture.answer(first, {}, fixture.now);
    BOOST_TEST(fixture.nextPoll().acknowledgedEnd == 0);
}

// An answer of a former life that arrived late was applied to its successor.
BOOST_AUTO_TEST_CASE(twice_late_answer_of_a_former_life)
{
    restarting_cell fixture;
    const start_order order = fixture.start("lost");
    const poll_order late = fixture.nextPoll();
    const timestamp lateSentAt = fixture.now;
    const std::int64_t formerClock = fixture.workerNow();
    // A start without an answer lets a second poll be sent beside the first.
    orders out;
    fixture.acceptJobOfOneTask("unanswered");
    fixture.decideNow();
    BOOST_REQUIRE(fixture.starts.size() == 1U);
    onStartOutcome(fixture.cell, fixture.starts.front(), order_outcome::unanswered, fixture.now,
                   out);
    const poll_order fence = fixture.nextPoll();
    BOOST_REQUIRE(fence.fence);
    fixture.startAgain(secondBorn);
    fixture.list();
    fixture.answer(fence, {}, fixture.now);
    fixture.settle();
    BOOST_REQUIRE(!fixture.starts.empty());
    const auto again =
        std::find_if(fixture.starts.rbegin(), fixture.starts.rend(),
                     [](const start_order &start) { return start.task.job == "lost"; });
    BOOST_REQUIRE((again != fixture.starts.rend()));
    BOOST_TEST(again->attempt > order.attempt);
    fixture.confirm(*again);
    cell_report former;
    former.born = firstBorn;
    former.workerClock = formerClock;
    former.running.push_back({order.task, order.attempt, "", 50});
    for (int number = 1; number <= 9; ++number) {
        former.ended.push_back({number, {"other", 0, 0, 0}, 1, end_kind::done, ""});
    }
    out = {};
    onReport(fixture.cell, late, former, lateSentAt, fixture.now, out);
    BOOST_TEST(out.stops.empty());
    const poll_order next = fixture.nextPoll();
    BOOST_TEST(next.acknowledgedEnd == 0);
    BOOST_TEST(next.leaseUntil <= fixture.workerNow() + leaseLength);
    cell_report ended;
    ended.ended.push_back({1, again->task, again->attempt, end_kind::done, ""});
    fixture.answer(next, ended, fixture.now);
    BOOST_TEST(fixture.isCompleted("lost"));
}

// Crashes of a worker that started again under its id were not noticed, or counted as one.
BOOST_AUTO_TEST_CASE(budget_crashes_of_one_worker)
{
    restarting_cell fixture;
    start_order order = fixture.start("deadly");
    for (int crashes = 1; crashes <= 2; ++crashes) {
        fixture.starts.clear();
        fixture.restart(firstBorn + std::int64_t {10'000} * crashes);
        fixture.list();
        fixture.settle({}, true);
        if (crashes == 1) {
            BOOST_REQUIRE(fixture.starts.size() == 1U);
            order = fixture.starts.front();
            fixture.confirm(order);
        }
    }
    BOOST_TEST(fixture.cell.counters.crashedWorkers == 2U);
    BOOST_TEST((fixture.cell.jobs.at("deadly").finalPhase == cell_phase::failed));
}

// A scheduler that had been replaced started tasks on a worker whose new life its successor had not
// fenced yet.
BOOST_AUTO_TEST_CASE(twice_life_that_a_replaced_scheduler_uses)
{
    restarting_cell fixture;
    fixture.restart();
    fixture.list();
    fixture.acceptJobOfOneTask("a");
    fixture.polls.clear();
    for (int round = 0; round < 20; ++round) {
        fixture.decideNow();
        for (const poll_order &poll : std::exchange(fixture.polls, {})) {
            fixture.answer(poll, {}, fixture.now);
        }
        fixture.now += 50 * millisecond;
    }
    BOOST_TEST(fixture.worker().life.fenced);
    // The list of workers is not stored, as it is not by a scheduler that has been replaced.
    BOOST_TEST(fixture.starts.empty());
    fixture.settle({}, true);
    BOOST_TEST(fixture.starts.size() == 1U);
}

// A task was started on a worker that had restarted with less capacity than the registry showed.
BOOST_AUTO_TEST_CASE(limit_restarted_worker_of_another_kind)
{
    restarting_cell fixture;
    fixture.restart();
    fixture.settle();
    acceptJob(fixture.cell, cell_fixture::makeJob("big", {cell_fixture::makeStep(1, 6'000)}),
              fixture.policy, fixture.now);
    fixture.store();
    fixture.settle();
    BOOST_TEST(fixture.starts.empty());
    fixture.list({4'000, 16'000, 0});
    fixture.settle();
    BOOST_TEST(fixture.starts.empty());
    fixture.list({8'000, 16'000, 0});
    fixture.settle();
    BOOST_TEST(fixture.starts.size() == 1U);
}

// A start on its way to a worker that restarts may be carried out by its new life.
BOOST_AUTO_TEST_CASE(twice_start_on_its_way_to_a_restarted_worker)
{
    for (const bool isConfirmed : {true, false}) {
        BOOST_TEST_CONTEXT((isConfirmed ? "the start was answered" : "the start is on its way"))
        {
            restarting_cell fixture;
            const poll_order poll = fixture.nextPoll();
            const timestamp sentAt = fixture.now;
            fixture.acceptJobOfOneTask("a");
            fixture.decideNow();
            BOOST_REQUIRE(fixture.starts.size() == 1U);
            const start_order order = fixture.starts.front();
            if (isConfirmed) {
                fixture.confirm(order);
            }
            // The new life has answered before it carries out the start.
            fixture.born = secondBorn;
            fixture.clockZero = fixture.now - youngClock;
            fixture.starts.clear();
            fixture.now += 10 * millisecond;
            fixture.list();
            fixture.answer(poll, {}, sentAt);
            const poll_order fence = fixture.nextPoll();
            BOOST_TEST(fence.fencingToken > order.fencingToken);
            BOOST_TEST(fixture.starts.empty());
            cell_report running;
            running.running.push_back({order.task, order.attempt, "", 10});
            fixture.answer(fence, running, fixture.now);
            fixture.settle(running);
            BOOST_TEST(fixture.starts.empty());
            BOOST_TEST((fixture.taskOf("a").phase == run_phase::running));
        }
    }
}

// A worker's restart was taken for a crash of its former life by no scheduler that had taken over.
BOOST_AUTO_TEST_CASE(budget_crash_of_a_restarted_worker_around_a_takeover)
{
    restarting_cell before;
    start_order order = before.start("deadly");
    before.restart();
    before.list();
    before.settle({}, true);
    BOOST_REQUIRE(before.starts.size() == 1U);
    const std::int64_t trialBorn = before.born;
    for (const bool restarts : {true, false}) {
        BOOST_TEST_CONTEXT((restarts ? "the worker restarts again" : "it lives on"))
        {
            restarting_cell after;
            after.cell.workers.clear();
            job_state stored = before.cell.jobs.at("deadly");
            task_state &task = *findTask(stored, order.task);
            task.phase = run_phase::none;
            task.worker.clear();
            restoreJob(after.cell, stored, after.now);
            worker_entry entry = before.entries.front();
            entry.born = trialBorn;
            restoreWorker(after.cell, entry, after.now);
            after.entries = {entry};
            after.born = restarts ? trialBorn + 5'000 : trialBorn;
            changeWorkers(after.cell, after.entries, after.now);
            after.settle();
            // The trial may have ended before the crash, so that the job goes on.
            BOOST_TEST(findTask(after.cell.jobs.at("deadly"), order.task)->crashedLives.size()
                       == (restarts ? 2U : 1U));
            BOOST_TEST(!after.cell.jobs.at("deadly").finalPhase);
        }
    }
}

namespace {

/// Answers of a worker, by what names its life, after an answer of the life `firstBorn`.
struct life_case
{
    const char *description;
    std::int64_t born;
    /// The worker's clock begins anew.
    bool clockRestarts;
    bool isOtherLife;
    std::uint64_t crashes;
};

const std::vector<life_case> lifeCases {
    {"the same start time", firstBorn, false, false, 0},
    {"a later start time", secondBorn, true, true, 1},
    {"an earlier start time, as the time of day was set back", firstBorn - 5'000, true, true, 1},
    {"the same start time, but the clock runs backwards", firstBorn, true, true, 1},
    {"no start time", 0, false, true, 0},
    {"no start time, and the clock runs backwards", 0, true, true, 1},
};

} // namespace

BOOST_AUTO_TEST_CASE(twice_life_of_a_worker_without_a_later_start_time)
{
    for (const life_case &given : lifeCases) {
        BOOST_TEST_CONTEXT(given.description)
        {
            restarting_cell fixture;
            fixture.runToEnd(3);
            fixture.fail(fixture.nextPoll());
            fixture.born = given.born;
            fixture.clockZero = given.clockRestarts ? fixture.now : 0;
            fixture.now += 300 * millisecond;
            fixture.list();
            for (const timestamp until = fixture.now + 4 * second; fixture.now < until;) {
                fixture.settle();
            }
            BOOST_TEST(fixture.cell.counters.crashedWorkers == given.crashes);
            const start_order order = fixture.start("after");
            cell_report ended;
            ended.ended.push_back(
                {given.isOtherLife ? 1 : 4, order.task, order.attempt, end_kind::done, ""});
            fixture.settle(ended);
            BOOST_TEST(fixture.isCompleted("after"));
            BOOST_TEST(fixture.starts.empty());
        }
    }
}
