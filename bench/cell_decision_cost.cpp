// Measures the time of one placement round by number of workers and of waiting steps.

#include <random>

#include <benchmark/benchmark.h>

#include "entry/rows.h"
#include "testing/cell/cell_driver.h"

using namespace bramleygrade;

namespace {

constexpr std::int64_t workerCpu = 32'000;

cell::worker_entry makeWorker(int number)
{
    cell::worker_entry entry;
    entry.id = "worker-" + std::to_string(number);
    entry.service = "booking";
    entry.address = "10.0.0.1:80";
    entry.rack = "rack-" + std::to_string(number / 8);
    entry.capacity = {workerCpu, 128'000, 0};
    return entry;
}

cell::job_spec makeJob(const std::string &id, const std::string &queue, int count, std::int64_t cpu,
                       bool gang)
{
    cell::step_spec step;
    step.count = count;
    step.demand = {cpu, 100, 0};
    step.estimate = 4 * second;
    step.gang = gang;
    cell::job_spec spec;
    spec.id = id;
    spec.queue = queue;
    spec.steps.push_back(step);
    return spec;
}

/// A cell whose workers have 500 thousandths of a processor left each, with `waiting` jobs that do
/// not fit; every eighth job is a gang of 20 tasks.
struct full_cell : testing::cell_driver
{
    full_cell(int workers, int waiting)
    {
        cell::cell_config config;
        config.version = 1;
        for (int number = 0; number < 2; ++number) {
            cell::queue_policy policy;
            policy.name = number == 0 ? "lookups" : "plans";
            policy.service = "booking";
            policy.priority = number;
            policy.slackFactor = 2;
            policy.latencyTarget = second;
            config.queues.push_back(policy);
        }
        cell::beginEpoch(cell, 1, now);
        cell::changeConfig(cell, config);
        std::vector<cell::worker_entry> entries;
        entries.reserve(static_cast<std::size_t>(workers));
        for (int number = 0; number < workers; ++number) {
            entries.push_back(makeWorker(number));
        }
        cell::changeWorkers(cell, entries, now);
        store();
        decide();
        for (const cell::worker_entry &entry : entries) {
            cell::worker_report report;
            report.workerClock = now;
            cell::orders out;
            cell::onReport(cell, {entry.id, cell::fencingToken(cell, cell.workers.at(entry.id))},
                           report, now, now, out);
        }
        store();
        for (int number = 0; number < workers; ++number) {
            submit("filler-" + std::to_string(number), 0, 1, workerCpu - 500);
        }
        store();
        decide();
        for (int number = 0; number < waiting; ++number) {
            submit("waiting-" + std::to_string(number), number % 8 == 0 ? 1 : 0,
                   number % 8 == 0 ? 20 : 3, 5'000);
        }
        store();
    }

    void submit(const std::string &id, int queue, int count, std::int64_t cpu)
    {
        const cell::queue_policy &policy = cell.config.queues[static_cast<std::size_t>(queue)];
        cell::acceptJob(cell, makeJob(id, policy.name, count, cpu, queue == 1), policy, now);
    }
};

/// A cell in which 17 tasks run on each worker and `waiting` jobs of 180 teams wait, half of them
/// for the cap of their team.
struct cell_with_teams : full_cell
{
    cell_with_teams(int workers, int waiting)
        : full_cell(workers, 0)
    {
        cell::cell_config config = cell.config;
        ++config.version;
        for (int team = 0; team < teamCount; ++team) {
            config.teams.push_back({nameOf(team), {}, 1.0, {team % 2 == 0 ? 0 : workerCpu, 0, 0}});
        }
        cell::changeConfig(cell, config);
        cell::orders out;
        for (int number = 0; number < workers; ++number) {
            cell::cancelJob(cell, "filler-" + std::to_string(number), now, out);
        }
        for (auto &[id, worker] : cell.workers) {
            cell::releaseAllRuns(cell, worker, now, out);
        }
        submitForTeams("running-", workers, 17, 1'850);
        store();
        for (int round = 0; round < 20; ++round) {
            now += bramleygrade::millisecond;
            decide();
        }
        submitForTeams("waiting-", waiting, 3, 5'000);
        store();
    }

    static constexpr int teamCount = 180;

    static std::string nameOf(int team) { return "team-" + std::to_string(team % teamCount); }

    void submitForTeams(const std::string &prefix, int jobs, int count, std::int64_t cpu)
    {
        for (int number = 0; number < jobs; ++number) {
            const cell::queue_policy &policy = cell.config.queues[0];
            cell::job_spec spec =
                makeJob(prefix + std::to_string(number), policy.name, count, cpu, false);
            spec.team = nameOf(number);
            cell::acceptJob(cell, spec, policy, now);
        }
    }
};

/// A full cell beside a job whose occurrences, of eight tasks, are all due.
void placementRoundWithDueOccurrences(benchmark::State &state)
{
    full_cell fixture(48, 40);
    cell::job_spec spec = makeJob("many", "lookups", 8, 5'000, false);
    spec.occurrences = static_cast<int>(state.range(0));
    cell::acceptJob(fixture.cell, spec, fixture.cell.config.queues[0], fixture.now);
    cell::findJob(fixture.cell, "many")->firstDueAt = fixture.now;
    fixture.store();
    fixture.decide();
    for (auto step : state) {
        (void)step;
        fixture.now += 1;
        benchmark::DoNotOptimize(fixture.decide());
    }
}

/// The first round of a successor beside a job of which all occurrences but ten are completed.
void takeoverWithCompletedOccurrences(benchmark::State &state)
{
    const auto occurrences = static_cast<int>(state.range(0));
    const std::string progress = R"({"begun":true,"completed":[[0,)"
        + std::to_string(occurrences - 11) + R"(]],"occurrences":[]})";
    const full_cell prepared(48, 40);
    for (auto step : state) {
        (void)step;
        state.PauseTiming();
        full_cell fixture(prepared);
        cell::job_state job;
        job.spec = makeJob("many", "lookups", 8, 5'000, false);
        job.spec.occurrences = occurrences;
        job.firstDueAt = fixture.now;
        state.ResumeTiming();
        entry::decodeProgress(progress, job);
        cell::restoreJob(fixture.cell, std::move(job), fixture.now);
        benchmark::DoNotOptimize(fixture.decide());
    }
}

void placementRoundWithTeams(benchmark::State &state)
{
    cell_with_teams fixture(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    for (auto step : state) {
        (void)step;
        fixture.now += 1;
        benchmark::DoNotOptimize(fixture.decide());
    }
    state.counters["starts"] = static_cast<double>(fixture.cell.counters.starts);
}

void placementRoundInFullCell(benchmark::State &state)
{
    full_cell fixture(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    for (auto step : state) {
        (void)step;
        benchmark::DoNotOptimize(fixture.decide());
    }
}

/// 64 images, each with evidence about all others.
struct busy_interference_table
{
    busy_interference_table()
    {
        for (int image = 0; image < cell::maxTrackedImages; ++image) {
            cell::countStart(table, "image-" + std::to_string(image), now);
        }
        for (int number = 0; number < 20'000; ++number) {
            addNext();
        }
    }

    void addNext()
    {
        cell::finished_run run;
        for (std::size_t column = 0; column < run.exposure.size(); ++column) {
            run.exposure[column] = (random() >> 16U) % 4 == 0 ? 1 : 0;
        }
        run.ratio = static_cast<double>((random() >> 16U) % 100) / 100;
        now += 10 * millisecond;
        addRun(table.images[random() % table.images.size()].evidence, worker, run, now);
    }

    timestamp now = 1'000 * second;
    cell::interference_table table;
    cell::exposure_means worker;
    std::minstd_rand random;
};

void learningFromRun(benchmark::State &state)
{
    busy_interference_table fixture;
    for (auto step : state) {
        (void)step;
        fixture.addNext();
    }
}

void evaluationOfImage(benchmark::State &state)
{
    busy_interference_table fixture;
    for (auto step : state) {
        (void)step;
        fixture.now = fixture.table.nextEvaluationAt;
        benchmark::DoNotOptimize(cell::evaluateDue(fixture.table, fixture.now));
    }
}

} // namespace

BENCHMARK(learningFromRun)->Unit(benchmark::kMicrosecond);
BENCHMARK(evaluationOfImage)->Unit(benchmark::kMicrosecond);
BENCHMARK(placementRoundWithTeams)
    ->ArgNames({"workers", "waiting"})
    ->Args({350, 0})
    ->Args({350, 400})
    ->Args({350, 4'000});

BENCHMARK(placementRoundInFullCell)
    ->ArgNames({"workers", "waiting"})
    ->Args({48, 0})
    ->Args({48, 100})
    ->Args({350, 0})
    ->Args({350, 100})
    ->Args({350, 400})
    ->Args({680, 100})
    ->Args({680, 400})
    ->Unit(benchmark::kMicrosecond);

BENCHMARK(placementRoundWithDueOccurrences)->Arg(100)->Arg(10'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(takeoverWithCompletedOccurrences)
    ->Arg(100)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
