#define BOOST_TEST_MODULE runs_of_unseen_lives
#include <boost/test/unit_test.hpp>

#include "cut_off_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using namespace bramleygrade::testing;

namespace {

/// What the scheduler learns of a start and of the stop of its run.
struct unseen_run
{
    const char *name;
    bool isCancelled;
    bool isStopAnswered;
};

const unseen_run unseenRuns[] = {
    {"running", false, false},
    {"cancelled, the stop is not answered", true, false},
    {"cancelled, a former life has accepted the stop", true, true},
};

/// A cell that has answered for a while, whose only team may use two processors.
struct capped_cell : cut_off_fixture
{
    capped_cell()
    {
        cell_config config = cell.config;
        ++config.version;
        config.teams = {{"team", {"key"}, 1, {2'000, 0, 0}}};
        config.requiresKeys = true;
        changeConfig(cell, config);
        settle();
        now += 60 * second;
        settle();
    }

    static job_spec makeTeamJob(const std::string &id)
    {
        job_spec spec = makeJob(id, {makeStep(1, 2'000)});
        spec.team = "team";
        return spec;
    }
};

/// A run that its worker lists, or how it has ended.
struct listed_run
{
    start_order start;
    std::optional<end_kind> how;
};

/// A cell that has answered for a while, and a job that fills most of three workers with one task
/// each.
struct wide_job : cut_off_fixture
{
    explicit wide_job(bool isGang, int tasks)
    {
        settle();
        now += 60 * second;
        settle();
        step_spec step = makeStep(tasks, 5'000);
        step.gang = isGang;
        out = run(makeJob("a", {step}));
    }

    /// As `answerPolls`; the worker of `start` lists its run, or the end of the run.
    void answerPolls(const orders &polls, const listed_run &listed)
    {
        for (const poll_order &poll : polls.polls) {
            orders ignored;
            auto answer = reportOf(poll.worker);
            if (poll.worker == cutOff) {
                onPollFailed(cell, poll, order_outcome::unanswered, now, ignored);
                continue;
            }
            if (poll.worker == listed.start.worker && listed.how) {
                answer.ended.push_back(
                    {1, listed.start.task, listed.start.attempt, *listed.how, ""});
            } else if (poll.worker == listed.start.worker) {
                answer.running.push_back({listed.start.task, listed.start.attempt, "", 0});
            }
            onReport(cell, poll, answer, now, now, ignored);
        }
    }
    using cut_off_fixture::answerPolls;

    orders out;
};

} // namespace

// Guards against a run that no longer counts for its team's cap while a life that nothing shows has
// it.
BOOST_AUTO_TEST_CASE(cap_run_of_a_life_that_nothing_shows)
{
    for (const unseen_run &given : unseenRuns) {
        BOOST_TEST_CONTEXT(given.name)
        {
            capped_cell fixture;
            const orders out = fixture.run(capped_cell::makeTeamJob("a"));
            BOOST_REQUIRE(out.starts.size() == 1U);
            const start_order &order = out.starts[0];
            orders stops;
            if (given.isCancelled) {
                cancelJob(fixture.cell, "a", fixture.now, stops);
                BOOST_REQUIRE(stops.stops.size() == 1U);
            }
            fixture.restartWorkerOf(order);
            const timestamp leaseEnd = fixture.now + longestLease;
            BOOST_TEST(fixture.run(capped_cell::makeTeamJob("b")).starts.empty());
            fixture.now += orderTimeout;
            orders ignored;
            if (given.isCancelled) {
                onStopOutcome(fixture.cell, stops.stops[0],
                              given.isStopAnswered ? order_outcome::accepted
                                                   : order_outcome::unanswered,
                              fixture.now);
            }
            onStartOutcome(fixture.cell, order, order_outcome::unanswered, fixture.now, ignored);
            fixture.answerPolls(out);
            const auto startedAt = fixture.runUntilStart();
            BOOST_REQUIRE(startedAt.has_value());
            BOOST_TEST(*startedAt >= leaseEnd);
        }
    }
}

// Guards against starts of a cancelled job, also one that was held back, while or after a life that
// nothing shows has its run.
BOOST_AUTO_TEST_CASE(unasked_start_of_a_cancelled_job_on_a_life_that_nothing_shows)
{
    for (const bool isStopAnswered : {true, false}) {
        ordered_start fixture;
        orders stops;
        cancelJob(fixture.cell, "a", fixture.now, stops);
        BOOST_REQUIRE(stops.stops.size() == 1U);
        BOOST_TEST(!isAwaited(fixture.cell, fixture.order));
        onStopOutcome(fixture.cell, stops.stops[0],
                      isStopAnswered ? order_outcome::accepted : order_outcome::unanswered,
                      fixture.now);
        fixture.restartWorkerOf(fixture.order);
        fixture.now += orderTimeout;
        fixture.deliver(order_outcome::unanswered);
        fixture.answerPolls(fixture.out);
        BOOST_TEST(!fixture.runUntilStart().has_value());
        BOOST_TEST(fixture.life().runs.empty());
    }
}

// Guards against starts beside a run of a life that nothing showed: the worker is reached again
// while that life has the run.
BOOST_AUTO_TEST_CASE(limit_run_of_a_life_that_nothing_showed_until_it_is_reached_again)
{
    for (const microseconds cutFor : {second, 5'500 * millisecond}) {
        wide_job fixture(false, 1);
        BOOST_REQUIRE(fixture.out.starts.size() == 1U);
        const start_order &order = fixture.out.starts[0];
        fixture.restartWorkerOf(order);
        fixture.now += orderTimeout;
        orders ignored;
        onStartOutcome(fixture.cell, order, order_outcome::unanswered, fixture.now, ignored);
        fixture.answerPolls(fixture.out);
        std::size_t started =
            fixture.run(cell_fixture::makeJob("b", {cell_fixture::makeStep(3, 5'000)}))
                .starts.size();
        BOOST_TEST(started == 2U);
        for (const timestamp end = fixture.now + cutFor; fixture.now < end;
             fixture.now += stepTime) {
            const orders out = fixture.decide();
            started += out.starts.size();
            fixture.answerPolls(out);
        }
        fixture.cutOff.clear();
        for (const timestamp end = fixture.now + 2 * second; fixture.now < end;
             fixture.now += stepTime) {
            const orders out = fixture.decide();
            started += out.starts.size();
            fixture.answerPolls(out, {order, std::nullopt});
            fixture.store();
        }
        BOOST_TEST(started == 2U);
        const worker_life &life = fixture.cell.workers.at(order.worker).life;
        BOOST_TEST(life.number == 1U);
        BOOST_TEST(life.runs.count(order.task) == 1U);
        BOOST_TEST(life.used.cpuMilli == 5'000);
    }
}

// Guards against a gang that starts over while a life that nothing shows has one of its members;
// the other member has been confirmed elsewhere. It is stopped, or has ended, and the gang with it.
BOOST_AUTO_TEST_CASE(twice_gang_with_a_member_on_a_life_that_nothing_shows)
{
    for (const bool hasEnded : {false, true}) {
        BOOST_TEST_CONTEXT((hasEnded ? "the other member has ended" : "the other member runs"))
        {
            wide_job fixture(true, 2);
            BOOST_REQUIRE(fixture.out.starts.size() == 2U);
            const start_order &unseen = fixture.out.starts[0];
            const start_order &confirmed = fixture.out.starts[1];
            BOOST_REQUIRE(unseen.worker != confirmed.worker);
            fixture.restartWorkerOf(unseen);
            const timestamp leaseEnd = fixture.now + longestLease;
            orders ignored;
            onStartOutcome(fixture.cell, confirmed, order_outcome::accepted, fixture.now, ignored,
                           fixture.now);
            fixture.now += orderTimeout;
            onStartOutcome(fixture.cell, unseen, order_outcome::unanswered, fixture.now, ignored);
            fixture.answerPolls(fixture.out);
            std::optional<end_kind> how;
            if (hasEnded) {
                how = end_kind::done;
            }
            std::vector<start_order> starts;
            for (const timestamp end = fixture.now + 30 * second;
                 fixture.now < end && starts.empty(); fixture.now += stepTime) {
                const orders out = fixture.decide();
                fixture.store();
                starts = out.starts;
                if (!out.stops.empty() && !how) {
                    how = end_kind::stopped;
                }
                fixture.answerPolls(out, {confirmed, how});
            }
            BOOST_TEST(starts.size() == (hasEnded ? 0U : 2U));
            BOOST_TEST(fixture.now - stepTime >= leaseEnd);
        }
    }
}

// Guards against a worker that the scheduler forgets while a life that nothing shows has a run of
// it. Once inserted again, the worker refuses the orders of before by its token.
BOOST_AUTO_TEST_CASE(twice_worker_inserted_again_while_a_life_that_nothing_shows_has_a_run)
{
    ordered_start fixture;
    const std::string id = fixture.order.worker;
    fixture.restartWorkerOf(fixture.order);
    const timestamp leaseEnd = fixture.now + longestLease;
    fixture.now += orderTimeout;
    fixture.deliver(order_outcome::unanswered);
    fixture.answerPolls(fixture.out);
    const std::vector<worker_entry> all = fixture.entries;
    fixture.entries.erase(std::find_if(fixture.entries.begin(), fixture.entries.end(),
                                       [&](const auto &listed) { return listed.id == id; }));
    changeWorkers(fixture.cell, fixture.entries, fixture.now);
    for (const timestamp end = fixture.now + 60 * second;
         fixture.now < end && fixture.cell.workers.count(id) > 0; fixture.now += stepTime) {
        fixture.answerPolls(fixture.decide());
        fixture.store();
    }
    BOOST_REQUIRE(fixture.cell.workers.count(id) == 0U);
    BOOST_TEST(fixture.now >= leaseEnd);
    changeWorkers(fixture.cell, all, fixture.now);
    const worker_state &again = fixture.cell.workers.at(id);
    BOOST_TEST(fencingToken(fixture.cell, again) > fixture.order.fencingToken);
    BOOST_TEST(!isUsable(again, fixture.now));
}
