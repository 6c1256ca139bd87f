#define BOOST_TEST_MODULE task_owner
#include <boost/test/unit_test.hpp>

#include "core/task_owner.h"
#include "core/worker_polling.h"

using namespace bramleygrade;

namespace {

constexpr timestamp start = 1000 * second;
const std::string self = "entry-1#1";

/// An entry that owns rack 1 with two workers and is not the home of any job.
struct owner_fixture
{
    owner_fixture()
    {
        state.cell.identity = self;
        list_update list;
        for (int number = 1; number <= 2; ++number) {
            auto worker = std::make_unique<instance>();
            worker->name = "worker-" + std::to_string(number);
            worker->failure_domain = "domain-a";
            worker->rack = "1";
            worker->cpu_millis = 4000;
            worker->memory_mb = 8000;
            worker->accelerators = number == 2 ? 2 : 0;
            list.instances.push_back(std::move(worker));
        }
        updateInstanceList(state.cell, list, start);
        updateWorkers(state.pool, state.cell);
        shard_row row;
        row.epoch = 1;
        row.owner = self;
        updateShardRow(state.authority, self, "rack-1", row, 1, start, start);
        row.owner = "entry-2#1";
        updateShardRow(state.authority, self, homeShardOf("seats"), row, 2, start, start);
        for (auto &[name, worker] : state.pool.workers) {
            worker.lastReportRequestedAt = start + clockOffsetBound;
            worker.ownedEpoch = 1;
        }
        document_row document;
        document.sequence = 1;
        document.document = std::make_unique<service_document>();
        document.document->service = "seats";
        document.document->allowed_domains = {"domain-a"};
        document.document->policy = placement_policy::best_packing;
        state.documents.documents["seats"].row = document;
        state.documents.isLoaded = true;
        state.documents.freshUntil = start + 5 * second;
    }

    place_task makePlacement(int task, std::int64_t cpu,
                             placement_step step = placement_step::start)
    {
        place_task wanted;
        wanted.job = std::make_unique<job_specification>();
        wanted.job->id = "job";
        wanted.job->service = "seats";
        wanted.task = task;
        wanted.incarnation = 7;
        wanted.shard = "rack-1";
        wanted.step = step;
        wanted.start_by = start + 2 * second;
        wanted.cpu_millis = cpu;
        wanted.memory_mb = 1000;
        return wanted;
    }

    void place(const place_task &wanted)
    {
        commands.clear();
        step_context context {start + second, commands};
        handlePlaceTask(state, "entry-2#1", wanted, context);
    }

    int countStartOrders() const
    {
        int count = 0;
        for (const command &wanted : commands) {
            const auto *call = std::get_if<worker_call>(&wanted);
            count += call != nullptr && call->kind == worker_call_kind::start ? 1 : 0;
        }
        return count;
    }

    placement_result reportedResult() const
    {
        for (const command &wanted : commands) {
            const auto *message = std::get_if<peer_message>(&wanted);
            const auto *report = message == nullptr ? nullptr : message->body.Astask_report();
            if (report != nullptr) {
                return report->result;
            }
        }
        return placement_result::absent;
    }

    void answerStart(const std::string &worker, bool accepted, int task = 0)
    {
        commands.clear();
        step_context context {start + second, commands};
        worker_result result;
        result.worker = worker;
        result.kind = worker_call_kind::start;
        result.asked_at = start + second;
        result.reached = true;
        result.accepted = accepted;
        result.seen = std::make_unique<worker_report>();
        result.order = std::make_unique<task_order>();
        result.order->job = "job";
        result.order->task = task;
        result.order->incarnation = 7;
        handleTaskCallResult(state, state.pool.workers.at(worker), result, context);
    }

    entry_state state;
    std::vector<command> commands;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(no_worker_is_committed_beyond_its_resources, owner_fixture)
{
    for (int task = 0; task < 4; ++task) {
        place(makePlacement(task, 2000));
        BOOST_TEST(countStartOrders() == 1);
    }
    place(makePlacement(4, 2000));
    BOOST_TEST(countStartOrders() == 0);
    for (const auto &[name, worker] : state.pool.workers) {
        BOOST_TEST(worker.committed.cpuMillis == 4000);
    }
}

BOOST_FIXTURE_TEST_CASE(a_repeated_placement_message_starts_the_task_once, owner_fixture)
{
    place(makePlacement(0, 2000));
    BOOST_TEST(countStartOrders() == 1);
    place(makePlacement(0, 2000));
    BOOST_TEST(countStartOrders() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_refused_placement_stays_refused_when_its_message_is_repeated,
                        owner_fixture)
{
    place(makePlacement(0, 2000));
    answerStart("worker-1", false);
    BOOST_TEST(state.pool.workers.at("worker-1").tasks.empty());
    place(makePlacement(0, 2000));
    BOOST_TEST(countStartOrders() == 0);
    BOOST_TEST((reportedResult() == placement_result::refused
                || reportedResult() == placement_result::absent));
}

BOOST_FIXTURE_TEST_CASE(a_placement_past_its_start_deadline_starts_nothing, owner_fixture)
{
    place_task late = makePlacement(0, 2000);
    late.start_by = start + second;
    place(late);
    BOOST_TEST(countStartOrders() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_placement_with_an_older_home_epoch_starts_nothing, owner_fixture)
{
    state.homeFencingEpoch[homeShardOf("seats")] = 5;
    place(makePlacement(0, 2000));
    BOOST_TEST(countStartOrders() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_closing_shard_starts_no_new_task, owner_fixture)
{
    state.authority.shards.at("rack-1").isClosing = true;
    place(makePlacement(0, 2000));
    BOOST_TEST(countStartOrders() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_placement_for_a_relinquished_shard_gets_no_answer, owner_fixture)
{
    place(makePlacement(0, 2000));
    state.authority.shards.at("rack-1").isRelinquished = true;
    // The duplicate is not refused: the task may run, and only the present owner knows.
    place(makePlacement(0, 2000));
    BOOST_TEST(commands.empty());
}

BOOST_FIXTURE_TEST_CASE(workers_with_accelerators_are_kept_for_tasks_that_need_them, owner_fixture)
{
    place(makePlacement(0, 2000));
    BOOST_TEST(state.pool.workers.at("worker-1").tasks.size() == 1u);
    place_task wanted = makePlacement(1, 1000);
    wanted.accelerators = 1;
    place(wanted);
    BOOST_TEST(state.pool.workers.at("worker-2").tasks.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_hold_commits_resources_and_a_release_frees_them, owner_fixture)
{
    place(makePlacement(0, 4000, placement_step::hold));
    BOOST_TEST((reportedResult() == placement_result::held));
    BOOST_TEST(state.pool.workers.at("worker-1").committed.cpuMillis == 4000);
    place(makePlacement(0, 4000, placement_step::release));
    BOOST_TEST(state.pool.workers.at("worker-1").committed.cpuMillis == 0);
}

BOOST_FIXTURE_TEST_CASE(an_urgent_task_requests_checkpoints_on_a_full_worker, owner_fixture)
{
    state.pool.workers.at("worker-2").hasReportedLeaving = true;
    place_task first = makePlacement(0, 4000);
    first.job->checkpointable = true;
    place(first);
    answerStart("worker-1", true);
    place_task urgent = makePlacement(1, 4000);
    urgent.job->urgent = true;
    place(urgent);
    int checkpoints = 0;
    for (const command &wanted : commands) {
        const auto *call = std::get_if<worker_call>(&wanted);
        checkpoints += call != nullptr && call->kind == worker_call_kind::checkpoint ? 1 : 0;
    }
    BOOST_TEST(checkpoints == 1);
    BOOST_TEST(countStartOrders() == 0);
}

// The versions of a worker that starts again under its name begin anew. The next life has started a
// task and has come to the version that the owner knows of the former one.
BOOST_FIXTURE_TEST_CASE(a_restarted_worker_with_an_equal_report_version_loses_its_former_tasks,
                        owner_fixture)
{
    constexpr std::uint64_t version = 1;
    const auto answerPoll = [&](timestamp at, const std::vector<int> &tasks) {
        commands.clear();
        step_context polling {at, commands};
        worker_view &worker = state.pool.workers.at("worker-1");
        worker.nextPollAt = at;
        pollWorkers(state, polling);
        std::uint64_t knownVersion = 0;
        for (const command &wanted : commands) {
            const auto *call = std::get_if<worker_call>(&wanted);
            if (call != nullptr && call->worker == "worker-1") {
                BOOST_REQUIRE(call->kind == worker_call_kind::poll);
                knownVersion = call->order->known_version;
            }
        }
        worker_result result;
        result.worker = "worker-1";
        result.kind = worker_call_kind::poll;
        result.asked_at = at;
        result.reached = true;
        result.accepted = true;
        result.seen = std::make_unique<worker_report>();
        result.seen->version = version;
        result.seen->is_unchanged = knownVersion == version;
        for (const int task : result.seen->is_unchanged ? std::vector<int>() : tasks) {
            auto seen = std::make_unique<worker_task>();
            seen->job = "job";
            seen->task = task;
            seen->incarnation = 7;
            seen->service = "seats";
            seen->cpu_millis = 1000;
            seen->memory_mb = 1000;
            result.seen->tasks.push_back(std::move(seen));
        }
        step_context context {at, commands};
        handleWorkerResult(state, result, context);
    };
    state.pool.workers.at("worker-2").hasReportedLeaving = true;
    place(makePlacement(0, 1000));
    answerStart("worker-1", true);
    answerPoll(start + second + 100 * millisecond, {0});
    const worker_view &worker = state.pool.workers.at("worker-1");
    BOOST_REQUIRE(worker.tasks.size() == 1u);
    BOOST_REQUIRE(worker.reportVersion == version);
    // The worker crashes, is back under its name and gets another task; both between two polls.
    place(makePlacement(1, 1000));
    BOOST_REQUIRE(worker.tasks.size() == 2u);
    answerStart("worker-1", true, 1);
    answerPoll(start + second + 200 * millisecond, {1});
    BOOST_TEST(worker.tasks.size() == 1u); // the former life's task does not run any more
}
