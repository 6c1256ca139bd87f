#include <algorithm>
#include <string_view>
#include <unordered_map>

#include "cell/ends/crashes.h"
#include "cell/jobs/open_occurrences.h"
#include "cell/workers/worker_list.h"

namespace bramleygrade::cell {

namespace {

/// The rows of a write over this divisor are not reserved for urgent changes.
constexpr std::size_t nonUrgentShareDivisor = 4;

} // namespace

void beginEpoch(scheduler &cell, std::int64_t epoch, timestamp now)
{
    cell.epoch = epoch;
    cell.tookOverAt = now;
    cell.predecessorsOverAt = now;
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
    std::unordered_map<std::string_view, const queue_policy *> policies;
    for (const queue_policy &queue : config.queues) {
        policies.emplace(queue.name, &queue); // the first of equal names, as in findQueue()
    }
    applyTeams(cell);
    for (auto &[id, job] : cell.jobs) {
        const auto policy = policies.find(job.spec.queue);
        if (policy != policies.end()) {
            job.policy = *policy->second;
        }
    }
    cell.needsPlacement = true;
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

std::uint64_t recordChange(scheduler &cell, const std::string &job, bool urgent)
{
    const std::uint64_t number = ++cell.changeNumber;
    unstored_change &change =
        cell.unstored.emplace(job, unstored_change {number, urgent}).first->second;
    change.urgent = change.urgent || urgent;
    cell.writeUrgent = cell.writeUrgent || urgent;
    return number;
}

void noteBegin(job_state &job)
{
    job.ordered = true; // a previous scheduler may have ordered the start
    job.begun = true;
}

std::uint64_t recordBegin(scheduler &cell, job_state &job)
{
    if (!job.begun || job.beginRecorded || job.finalPhase) {
        return 0;
    }
    job.beginRecorded = true;
    return recordChange(cell, job.spec.id, false);
}

void updateObjective(const scheduler &cell, job_state &job)
{
    const auto found = cell.runTimes.find(job.spec.queue);
    const run_time_record runTimes =
        found == cell.runTimes.end() ? run_time_record {} : found->second;
    job.expectedToEnd = expectTimesToEnd(job, runTimes);
    job.objectiveAt = objectiveOf(job, runTimes);
}

void markRunnable(scheduler &cell, const job_state &job)
{
    if (!job.finalPhase) {
        cell.runnableJobs.insert(job.spec.id);
        cell.needsPlacement = true;
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
    job.acceptedEpoch = cell.epoch;
    job.receivedAt = now;
    updateObjective(cell, job);
    const auto [it, inserted] = cell.jobs.emplace(spec.id, std::move(job));
    reserveMemory(cell, it->second);
    recordChange(cell, spec.id, true);
    markRunnable(cell, it->second);
    ++cell.counters.jobsAccepted;
    ++cell.counters.acceptedBySize[sizeRangeOf(widestStep(spec))];
    return inserted;
}

bool isUnwritten(const scheduler &cell, const std::string &id)
{
    const auto found = cell.jobs.find(id);
    return found != cell.jobs.end() && !found->second.stored && cell.inWrite.count(id) == 0;
}

bool withdrawJob(scheduler &cell, const std::string &id)
{
    if (!isUnwritten(cell, id)) {
        return false;
    }
    releaseMemory(cell, cell.jobs.at(id));
    cell.jobs.erase(id);
    cell.unstored.erase(id);
    cell.runnableJobs.erase(id);
    return true;
}

void restoreJob(scheduler &cell, job_state job, timestamp now)
{
    job.restored = true;
    job.stored = true;
    job.beginRecorded = job.begun;
    job.receivedAt = std::min(job.receivedAt, now);
    if (const queue_policy *policy = findQueue(cell.config, job.spec.queue)) {
        job.policy = *policy;
    }
    updateObjective(cell, job);
    for (auto &[number, occurrence] : job.occurrences) {
        for (step_state &step : occurrence.steps) {
            step.crashedAt = isSuspected(step) ? now : distantPast;
        }
    }
    const std::string id = job.spec.id;
    const auto [it, inserted] = cell.jobs.emplace(id, std::move(job));
    if (inserted) {
        reserveMemory(cell, it->second);
        markRunnable(cell, it->second);
    }
}

void restoreEndedJob(scheduler &cell, const std::string &id, job_phase phase, timestamp now)
{
    job_state job;
    job.spec.id = id;
    job.stored = true;
    job.finalPhase = phase;
    job.finalStored = true;
    job.finalAt = now;
    if (cell.jobs.emplace(id, std::move(job)).second) {
        cell.jobExpiries.emplace(now + cell.settings.endedKept, id);
        recordChange(cell, id, false);
    }
}

void stopAllRuns(scheduler &cell, job_state &job, timestamp now, orders &out)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            auto &tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                // If one member of a gang is done, the others have ended too and will be reported.
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
    if (job.finalPhase) {
        return;
    }
    job.finalPhase = phase;
    job.finalAt = now;
    releaseMemory(cell, job);
    cell.runnableJobs.erase(job.spec.id);
    recordChange(cell, job.spec.id, true);
    cell.counters.jobsCompleted += phase == job_phase::completed ? 1 : 0;
    cell.counters.jobsFailed += phase == job_phase::failed ? 1 : 0;
    cell.counters.jobsCancelled += phase == job_phase::cancelled ? 1 : 0;
    countEnded(cell.counters.endedBySize, job, phase, now);
    out.events.push_back({"job_ended", job.spec.id,
                          "phase=" + std::to_string(static_cast<int>(phase))
                              + " age_ms=" + std::to_string((now - job.receivedAt) / millisecond)
                              + " late_ms=" + std::to_string((now - job.objectiveAt) / millisecond)
                              + " widest_step=" + std::to_string(widestStep(job.spec))});
    stopAllRuns(cell, job, now, out);
    if (hasRuns(job)) {
        cell.endedWithRuns.insert(job.spec.id);
    }
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

namespace {

bool isPending(const job_state &job)
{
    return job.stored && !job.begun && !job.finalPhase;
}

} // namespace

std::int64_t countPendingJobs(const scheduler &cell, const std::string &queue)
{
    return std::count_if(cell.jobs.begin(), cell.jobs.end(), [&](const auto &entry) {
        return isPending(entry.second) && entry.second.spec.queue == queue;
    });
}

std::map<std::string, std::int64_t> countPendingByQueue(const scheduler &cell)
{
    std::map<std::string, std::int64_t> counts;
    for (const auto &[id, job] : cell.jobs) {
        if (isPending(job)) {
            ++counts[job.spec.queue];
        }
    }
    return counts;
}

namespace {

/// A write that is being filled.
struct write_filling
{
    std::vector<std::string> ids;
    write_size size;
};

/// Returns whether a change of this size fits beside those of the write.
bool fitsIn(const write_filling &write, const write_size &size, const write_limits &limits)
{
    return write.size.rows + size.rows <= limits.rows
        && write.size.bytes + size.bytes <= limits.bytes && write.ids.size() < limits.changes;
}

/// Returns the limits without the part that is kept for changes by age.
write_limits limitsOfUrgent(const write_limits &limits)
{
    return {limits.rows - limits.rows / nonUrgentShareDivisor,
            limits.bytes - limits.bytes / nonUrgentShareDivisor, limits.changes};
}

void takeChange(scheduler &cell, write_filling &write, const std::string &id,
                const write_size &size)
{
    write.size = {write.size.rows + size.rows, write.size.bytes + size.bytes};
    write.ids.push_back(id);
    cell.inWrite.emplace(id, cell.unstored.at(id));
    cell.unstored.erase(id);
}

} // namespace

std::vector<std::string> beginWrite(scheduler &cell, const write_limits &limits,
                                    const size_of_change &sizeOf)
{
    std::vector<std::pair<unstored_change, std::string>> waiting;
    for (const auto &[id, change] : cell.unstored) {
        waiting.emplace_back(change, id);
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto &left, const auto &right) {
        return left.first.number < right.first.number;
    });
    write_filling write;
    const auto take = [&](bool urgentOnly, const write_limits &within) {
        for (const auto &[change, id] : waiting) {
            if ((urgentOnly && !change.urgent) || cell.unstored.count(id) == 0) {
                continue;
            }
            const write_size size = sizeOf(id);
            if (!fitsIn({}, size, limits)) {
                continue;
            }
            if (!fitsIn(write, size, within)) {
                return;
            }
            takeChange(cell, write, id, size);
        }
    };
    if (!waiting.empty()) {
        const std::string &oldest = waiting.front().second;
        const write_size size = sizeOf(oldest);
        const bool isLarge =
            size.rows > std::max<std::size_t>(limits.rows / nonUrgentShareDivisor, 1)
            || size.bytes > limits.bytes / nonUrgentShareDivisor;
        if (isLarge && fitsIn(write, size, limits)) {
            takeChange(cell, write, oldest, size);
        }
    }
    take(true, limitsOfUrgent(limits));
    take(false, limits);
    for (auto &[id, worker] : cell.workers) {
        worker.inWrite = worker.listRow && cell.inWrite.count(workerRowChange(*worker.listRow)) > 0;
    }
    cell.writeUrgent = std::any_of(cell.unstored.begin(), cell.unstored.end(),
                                   [](const auto &entry) { return entry.second.urgent; });
    return write.ids;
}

void onWritten(scheduler &cell, timestamp now)
{
    for (const auto &[id, change] : cell.inWrite) {
        job_state *job = findJob(cell, id);
        if (job == nullptr) {
            continue;
        }
        job->stored = true;
        // A job that changed during the write is in `unstored` again.
        if (job->finalPhase && cell.unstored.count(id) == 0 && !job->finalStored) {
            job->finalStored = true;
            cell.jobExpiries.emplace(now + cell.settings.endedKept, id);
            if (cell.endedWithRuns.count(id) == 0) {
                dropWork(*job);
            }
        }
    }
    cell.inWrite.clear();
    for (auto &[id, worker] : cell.workers) {
        worker.recorded = worker.recorded || worker.inWrite;
        worker.inWrite = false;
    }
    std::uint64_t stored = cell.changeNumber;
    for (const auto &[id, change] : cell.unstored) {
        stored = std::min(stored, change.number - 1);
    }
    for (auto &[id, worker] : cell.workers) {
        const std::int64_t before = worker.life.acknowledgedEnd;
        acknowledgeStored(worker, stored);
        if (worker.life.acknowledgedEnd != before) {
            worker.life.nextPollAt = std::min(worker.life.nextPollAt, now);
        }
    }
    cell.needsPlacement = true;
}

void onWriteRefused(scheduler &cell)
{
    for (const auto &[id, change] : cell.inWrite) {
        auto [it, inserted] = cell.unstored.emplace(id, change);
        it->second.number = std::min(it->second.number, change.number);
        it->second.urgent = it->second.urgent || change.urgent;
    }
    cell.inWrite.clear();
    for (auto &[id, worker] : cell.workers) {
        worker.inWrite = false;
    }
    cell.writeUrgent = true;
}

} // namespace bramleygrade::cell
