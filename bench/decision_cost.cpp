/// Measures the time of single decisions and its growth with the number of workers an entry owns.

#include <benchmark/benchmark.h>

#include "core/job_placement.h"
#include "core/task_owner.h"

namespace bramleygrade {

namespace {

constexpr timestamp start = 1000 * second;
const std::string self = "entry-1#1";

/// Returns an entry that owns `workers` workers in racks of 8 and has one document in force.
std::unique_ptr<entry_state> makeEntry(int workers)
{
    auto state = std::make_unique<entry_state>();
    state->cell.identity = self;
    list_update list;
    for (int number = 0; number < workers; ++number) {
        auto worker = std::make_unique<instance>();
        worker->name = "worker-" + std::to_string(number);
        worker->failure_domain = "domain-a";
        worker->rack = std::to_string(number / 8);
        worker->service = "booking";
        worker->slots = 8;
        worker->cpu_millis = 32'000;
        worker->memory_mb = 128'000;
        list.instances.push_back(std::move(worker));
    }
    updateInstanceList(state->cell, list, start);
    updateWorkers(state->pool, state->cell);
    shard_row row;
    row.epoch = 1;
    row.owner = self;
    for (auto &[name, worker] : state->pool.workers) {
        updateShardRow(state->authority, self, worker.shard, row, 1, start, start);
        worker.lastReportRequestedAt = start + clockOffsetBound;
    }
    document_row document;
    document.sequence = 1;
    document.document = std::make_unique<service_document>();
    document.document->service = "booking";
    document.document->team = "salon-a";
    document.document->allowed_domains = {"domain-a"};
    state->documents.documents["booking"].row = document;
    state->documents.isLoaded = true;
    state->documents.freshUntil = start + 5 * second;
    return state;
}

/// Routes a request to an endpoint and handles its answer.
void routeRequest(benchmark::State &bench)
{
    const auto state = makeEntry(static_cast<int>(bench.range(0)));
    std::vector<command> commands;
    request_environment environment = environmentOf(*state);
    std::uint64_t handle = 0;
    for (auto _ : bench) {
        commands.clear();
        step_context context {start + second, commands};
        caller_request request;
        request.handle = ++handle;
        request.service = "booking";
        request.team = "salon-a";
        request.deadline = start + 3 * second;
        handleCallerRequest(state->requests, environment, request, context);
        endpoint_result result;
        result.attempt = std::get<dispatch_request>(commands.at(0)).attempt;
        result.status = 200;
        handleEndpointResult(state->requests, environment, result, context);
    }
}

/// Places a task on a worker of one rack and releases it.
void placeTask(benchmark::State &bench)
{
    const auto state = makeEntry(static_cast<int>(bench.range(0)));
    std::vector<command> commands;
    std::uint64_t incarnation = 0;
    for (auto _ : bench) {
        commands.clear();
        step_context context {start + second, commands};
        place_task wanted;
        wanted.job = std::make_unique<job_specification>();
        wanted.job->id = "job";
        wanted.job->service = "booking";
        wanted.incarnation = ++incarnation;
        wanted.shard = "rack-0";
        wanted.step = placement_step::hold;
        wanted.start_by = start + 2 * second;
        wanted.cpu_millis = 1000;
        wanted.memory_mb = 1000;
        handlePlaceTask(*state, "entry-2#1", wanted, context);
        wanted.step = placement_step::release;
        handlePlaceTask(*state, "entry-2#1", wanted, context);
        state->endedPlacements.clear();
    }
}

/// Processes one tick of an idle entry.
void passTick(benchmark::State &bench)
{
    decision_core core({"entry-1", "1", "domain-a", "127.0.0.1", 7000, 1});
    auto state = makeEntry(static_cast<int>(bench.range(0)));
    core.state() = std::move(*state);
    core.state().cell.name = "entry-1";
    timestamp now = start + second;
    for (auto _ : bench) {
        now += 10;
        benchmark::DoNotOptimize(step(core, tick {}, now));
    }
}

} // namespace

BENCHMARK(routeRequest)->Arg(14)->Arg(97)->Arg(680);
BENCHMARK(placeTask)->Arg(14)->Arg(97)->Arg(680);
BENCHMARK(passTick)->Arg(14)->Arg(97)->Arg(680);

} // namespace bramleygrade

BENCHMARK_MAIN();
