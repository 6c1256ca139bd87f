#include <algorithm>

#include "cell/scheduler.h"

namespace bramleygrade::cell {

void beginEpoch(scheduler &cell, std::int64_t epoch, timestamp now)
{
    cell.epoch = epoch;
    cell.took_over_at = now;
}

const queue_policy *findQueue(const cell_config &config, const std::string &name)
{
    const auto found = std::find_if(config.queues.begin(), config.queues.end(),
                                    [&](const auto &queue) { return queue.name == name; });
    return found == config.queues.end() ? nullptr : &*found;
}

void changeConfig(scheduler &cell, const cell_config &config)
{
    if (config.version <= cell.config.version) {
        return;
    }
    cell.config = config;
    for (auto &[id, job] : cell.jobs) {
        if (const queue_policy *policy = findQueue(config, job.spec.queue)) {
            job.policy = *policy;
        }
    }
    cell.place_wanted = true;
}

job_state *findJob(scheduler &cell, const std::string &id)
{
    const auto found = cell.jobs.find(id);
    return found == cell.jobs.end() ? nullptr : &found->second;
}

const step_spec &stepOf(const job_state &job, int step)
{
    return job.spec.steps[static_cast<std::size_t>(step)];
}

std::uint64_t noteChange(scheduler &cell, const std::string &job, bool urgent)
{
    const std::uint64_t number = ++cell.change_number;
    cell.unsaved.emplace(job, number);
    cell.write_urgent = cell.write_urgent || urgent;
    return number;
}

void openJob(scheduler &cell, const job_state &job)
{
    if (!job.final_phase) {
        cell.open_jobs.insert(job.spec.id);
        cell.place_wanted = true;
    }
}

bool acceptJob(scheduler &cell, const job_spec &spec, const queue_policy &policy, timestamp now)
{
    if (cell.jobs.count(spec.id) > 0) {
        return false;
    }
    job_state job;
    job.spec = spec;
    job.policy = policy;
    job.accepted_epoch = cell.epoch;
    job.received_at = now;
    const auto slack = policy.slack_factor * static_cast<double>(longestChain(job));
    job.objective_at = now + static_cast<microseconds>(slack) + policy.latency_target;
    const auto [place, added] = cell.jobs.emplace(spec.id, std::move(job));
    noteChange(cell, spec.id, true);
    openJob(cell, place->second);
    ++cell.counters.jobs_accepted;
    return added;
}

bool isUnwritten(const scheduler &cell, const std::string &id)
{
    const auto found = cell.jobs.find(id);
    return found != cell.jobs.end() && !found->second.stored && cell.in_write.count(id) == 0;
}

bool withdrawJob(scheduler &cell, const std::string &id)
{
    if (!isUnwritten(cell, id)) {
        return false;
    }
    cell.jobs.erase(id);
    cell.unsaved.erase(id);
    cell.open_jobs.erase(id);
    return true;
}

void inheritJob(scheduler &cell, job_state job, timestamp now)
{
    job.inherited = true;
    job.stored = true;
    job.received_at = std::min(job.received_at, now);
    if (const queue_policy *policy = findQueue(cell.config, job.spec.queue)) {
        job.policy = *policy;
    }
    const std::string id = job.spec.id;
    const auto [place, added] = cell.jobs.emplace(id, std::move(job));
    if (added) {
        openJob(cell, place->second);
    }
}

void stopAllRuns(scheduler &cell, job_state &job, timestamp now, orders &out)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            auto &tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                // The other members of a gang that is done have ended too and will be listed.
                const bool ended = tasks[index].done && job.spec.steps[step].gang;
                if (tasks[index].phase != run_phase::none && !ended) {
                    stopRun(cell,
                            {job.spec.id, number, static_cast<int>(step), static_cast<int>(index)},
                            tasks[index], now, out);
                }
            }
        }
    }
}

void finishJob(scheduler &cell, job_state &job, job_phase phase, timestamp now, orders &out)
{
    if (job.final_phase) {
        return;
    }
    job.final_phase = phase;
    job.final_at = now;
    cell.open_jobs.erase(job.spec.id);
    noteChange(cell, job.spec.id, true);
    cell.counters.jobs_completed += phase == job_phase::completed ? 1 : 0;
    cell.counters.jobs_failed += phase == job_phase::failed ? 1 : 0;
    cell.counters.jobs_cancelled += phase == job_phase::cancelled ? 1 : 0;
    out.notes.push_back({"job_ended", job.spec.id,
                         "phase=" + std::to_string(static_cast<int>(phase)) + " age_ms="
                             + std::to_string((now - job.received_at) / millisecond) + " late_ms="
                             + std::to_string((now - job.objective_at) / millisecond)});
    stopAllRuns(cell, job, now, out);
}

bool cancelJob(scheduler &cell, const std::string &id, timestamp now, orders &out)
{
    job_state *job = findJob(cell, id);
    if (job == nullptr) {
        return false;
    }
    job->cancelled = true;
    finishJob(cell, *job, job_phase::cancelled, now, out);
    return true;
}

std::int64_t pendingJobs(const scheduler &cell, const std::string &queue)
{
    return std::count_if(cell.jobs.begin(), cell.jobs.end(), [&](const auto &entry) {
        const job_state &job = entry.second;
        return job.spec.queue == queue && job.stored && !job.started_any && !job.final_phase;
    });
}

std::vector<std::string> beginWrite(scheduler &cell, std::size_t most)
{
    std::vector<std::string> ids;
    while (!cell.unsaved.empty() && ids.size() < most) {
        const auto first = cell.unsaved.begin();
        ids.push_back(first->first);
        cell.in_write.insert(*first);
        cell.unsaved.erase(first);
    }
    for (auto &[id, worker] : cell.workers) {
        worker.in_write = cell.in_write.count(workerListChange) > 0;
    }
    cell.write_urgent = cell.write_urgent && !cell.unsaved.empty();
    return ids;
}

void onWritten(scheduler &cell, timestamp now)
{
    for (const auto &[id, change] : cell.in_write) {
        job_state *job = findJob(cell, id);
        if (job == nullptr) {
            continue;
        }
        job->stored = true;
        // A change made during the write leaves the job in `unsaved`.
        if (job->final_phase && cell.unsaved.count(id) == 0 && !job->final_stored) {
            job->final_stored = true;
            cell.forgotten_at.emplace(now + cell.settings.ended_kept, id);
        }
    }
    cell.in_write.clear();
    for (auto &[id, worker] : cell.workers) {
        worker.recorded = worker.recorded || worker.in_write;
        worker.in_write = false;
    }
    std::uint64_t stored = cell.change_number;
    for (const auto &[id, change] : cell.unsaved) {
        stored = std::min(stored, change - 1);
    }
    for (auto &[id, worker] : cell.workers) {
        const std::int64_t before = worker.acknowledged_end;
        acknowledgeStored(worker, stored);
        if (worker.acknowledged_end != before) {
            worker.next_look_at = std::min(worker.next_look_at, now);
        }
    }
    cell.place_wanted = true;
}

void onWriteRefused(scheduler &cell)
{
    for (const auto &[id, change] : cell.in_write) {
        auto [place, added] = cell.unsaved.emplace(id, change);
        place->second = std::min(place->second, change);
    }
    cell.in_write.clear();
    for (auto &[id, worker] : cell.workers) {
        worker.in_write = false;
    }
    cell.write_urgent = true;
}

} // namespace bramleygrade::cell
