#include "core/job_home.h"

#include <algorithm>
#include <string_view>

#include "core/invariant.h"
#include "core/job_placement.h"
#include "core/table_rows.h"
#include "core/task_messages.h"

namespace bramleygrade {

namespace {

constexpr int taskCountLimit = 10'000;
constexpr microseconds rowWriteInterval = 500 * millisecond;
constexpr std::size_t rowsPerWrite = 20;
constexpr microseconds recoveryInterval = second;
constexpr microseconds endedJobMemory = 600 * second;
/// A task that failed this often ends its job.
constexpr int failureLimit = 5;
constexpr microseconds firstRetryDelay = 200 * millisecond;
constexpr int retryDoublingLimit = 6;

/// Why the job can never run, or nothing.
std::string explainImpossible(const entry_state &state, const job_specification &job,
                              const service_document &document)
{
    const resources need {job.cpu_millis, job.memory_mb, job.accelerators};
    const resources quota {document.quota_cpu_millis, document.quota_memory_mb,
                           document.quota_accelerators};
    const std::int64_t together = job.all_or_nothing ? job.task_count : 1;
    const resources atOnce {need.cpuMillis * together, need.memoryMb * together,
                            need.accelerators * together};
    if (!fits(atOnce, quota)) {
        return "the job needs more at once than the service's quota; raise the quota or ask less";
    }
    std::int64_t places = 0;
    for (const auto &[name, worker] : state.pool.workers) {
        if (isAllowedDomain(document, worker.info.failure_domain)
            && fits(need, capacityOf(worker.info))) {
            ++places;
            const resources capacity = capacityOf(worker.info);
            const auto times = [](std::int64_t whole, std::int64_t part) {
                return part > 0 ? whole / part : taskCountLimit;
            };
            places += std::min({times(capacity.cpuMillis, need.cpuMillis),
                                times(capacity.memoryMb, need.memoryMb),
                                times(capacity.accelerators, need.accelerators)})
                - 1;
        }
    }
    if (places < together) {
        return "no worker in the allowed failure domains could hold the job even when empty; "
               "ask less, or allow more domains";
    }
    return {};
}

std::string explainJobRejection(const entry_state &state, const job_specification &job,
                                timestamp now)
{
    const service_document *document = findDocument(state.documents, job.service);
    if (document == nullptr || !areDocumentsFresh(state.documents, now)) {
        return "service: no document of this service is in force here; apply one first";
    }
    if (job.id.empty() || job.id.find_first_of("/ ") != std::string::npos) {
        return "id: give a name without '/' and blanks";
    }
    if (job.task_count < 1 || job.task_count > taskCountLimit) {
        return "task_count: must be between 1 and 10000";
    }
    if (job.cpu_millis <= 0 || job.memory_mb <= 0 || job.accelerators < 0 || job.run_time_ms < 0) {
        return "cpu_millis and memory_mb must be positive, accelerators and run_time_ms not "
               "negative";
    }
    return explainImpossible(state, job, *document);
}

void writeJobRow(entry_state &state, const std::string &name, operation_purpose purpose,
                 step_context &context)
{
    const job_view &job = state.jobs.jobs.at(name);
    const std::string home = jobHomeOf(job.row.specification->service);
    table_operation write;
    write.purpose = purpose;
    write.subject = name;
    addCondition(write.request, shardKey(home), state.authority.shards.at(home).rowVersion);
    addCondition(write.request, jobKey(home, name), job.rowVersion);
    addWrite(write.request, jobKey(home, name), job.row);
    startOperation(state.operations, std::move(write), context);
}

job_view viewOf(const job_row &row, std::uint64_t version, timestamp now)
{
    job_view job;
    job.row = row;
    job.rowVersion = version;
    job.acceptedAt = now;
    job.tasks.resize(static_cast<std::size_t>(std::max(row.specification->task_count, 0)));
    for (const int finished : row.finished_tasks) {
        if (finished >= 0 && finished < static_cast<int>(job.tasks.size())) {
            job.tasks[static_cast<std::size_t>(finished)].phase = job_task_phase::ended;
        }
    }
    if (row.phase != job_phase::accepted) {
        job.forgetAt = now + endedJobMemory;
    }
    return job;
}

job_task *findJobTask(entry_state &state, const std::string &service, const std::string &id,
                      int task)
{
    const auto job = state.jobs.jobs.find(service + "/" + id);
    const bool isKnown = job != state.jobs.jobs.end() && task >= 0
        && task < static_cast<int>(job->second.tasks.size());
    return isKnown ? &job->second.tasks[static_cast<std::size_t>(task)] : nullptr;
}

void tellToStop(entry_state &state, const task_report &report, step_context &context)
{
    stop_task stop;
    stop.service = report.service;
    stop.job = report.job;
    stop.task = report.task;
    stop.incarnation = report.incarnation;
    stop.shard = report.shard;
    sendToOwner(state, report.shard, std::move(stop), context);
}

bool isEnd(placement_result result)
{
    return result != placement_result::running && result != placement_result::held;
}

/// A task that finished is on record only once its row is written; until then the worker keeps it.
void recordFinish(job_view &job, int task)
{
    job_task &ended = job.tasks[static_cast<std::size_t>(task)];
    if (ended.phase == job_task_phase::ended) {
        return;
    }
    ended.phase = job_task_phase::ended;
    job.row.finished_tasks.push_back(task);
    job.isRowOutdated = true;
    const bool isAllDone =
        std::all_of(job.tasks.begin(), job.tasks.end(),
                    [](const job_task &other) { return other.phase == job_task_phase::ended; });
    if (isAllDone && job.row.phase == job_phase::accepted) {
        job.row.phase = job_phase::finished;
    }
}

void retryTask(job_view &job, job_task &task, placement_result result, timestamp now)
{
    task.phase = job_task_phase::waiting;
    if (result == placement_result::failed) {
        ++task.failures;
        const int doublings = std::min(task.failures, retryDoublingLimit);
        task.notBefore = now + (firstRetryDelay << doublings);
        if (task.failures >= failureLimit && job.row.phase == job_phase::accepted) {
            job.row.phase = job_phase::failed;
            job.isRowOutdated = true;
        }
    } else if (result == placement_result::refused) {
        task.notBefore = now + (job.row.specification->urgent ? 50 : 100) * millisecond;
    }
}

/// News of a task that this home does not expect to exist: an orphan must end.
void noteStrayTask(entry_state &state, const task_report &report, step_context &context)
{
    const auto home = state.jobs.homes.find(jobHomeOf(report.service));
    const bool isReady = home != state.jobs.homes.end() && home->second.phase == home_phase::ready;
    if (isReady && report.result != placement_result::refused
        && report.result != placement_result::absent) {
        tellToStop(state, report, context);
    }
}

void noteRunning(entry_state &state, job_view &job, job_task &task, const task_report &report,
                 step_context &context)
{
    const bool isWanted = job.row.phase == job_phase::accepted;
    task.phase = job_task_phase::running;
    task.shard = report.shard;
    task.worker = report.worker;
    task.heardAt = context.now;
    task.committed = {report.committed_cpu_millis, report.committed_memory_mb, report.accelerators};
    learnUsage(state.jobs.usage[report.service], *job.row.specification, report);
    if (!isWanted) {
        tellToStop(state, report, context);
    }
}

void beginRecovery(entry_state &state, const std::string &shard, job_home &home,
                   step_context &context)
{
    table_operation load;
    load.purpose = operation_purpose::loadJobs;
    load.subject = shard;
    load.request.reads = {shardKey(shard)};
    load.request.prefixes = {jobHomePrefix(shard)};
    startOperation(state.operations, std::move(load), context);
    home.phase = home_phase::loading;
    home.nextStepAt = context.now + tableAnswerLimit + recoveryInterval;
}

void askRacks(entry_state &state, const std::string &shard, job_home &home, step_context &context)
{
    for (auto rack = home.missing.begin(); rack != home.missing.end();) {
        // The workers of a rack that the platform no longer lists cannot run anything.
        const bool isGone = isRackGone(state.cell, *rack, home.findingSince, context.now);
        rack = isGone ? home.missing.erase(rack) : std::next(rack);
    }
    if (home.missing.empty()) {
        home.phase = home_phase::ready;
        return;
    }
    for (const std::string &rack : home.missing) {
        find_tasks ask;
        ask.home_shard = shard;
        ask.home_epoch = home.epoch;
        ask.shard = rack;
        ask.number = home.findNumber;
        sendToOwner(state, rack, std::move(ask), context);
    }
    home.nextStepAt = context.now + recoveryInterval;
}

void forgetJobsOf(entry_state &state, const std::string &shard)
{
    for (auto job = state.jobs.jobs.begin(); job != state.jobs.jobs.end();) {
        const bool isOfHome = jobHomeOf(serviceOfJob(job->first)) == shard;
        job = isOfHome ? state.jobs.jobs.erase(job) : std::next(job);
    }
}

void tendHome(entry_state &state, const std::string &shard, const shard_view &view,
              step_context &context)
{
    job_home &home = state.jobs.homes[shard];
    const bool isOwned = view.row.owner == state.cell.identity && !view.givenUp;
    if (!isOwned || home.epoch != view.row.epoch) {
        if (home.phase != home_phase::unknown) {
            forgetJobsOf(state, shard);
        }
        home = job_home {};
        home.epoch = view.row.epoch;
    }
    if (!isOwned || !holdsAuthority(state.authority, state.cell.identity, shard, context.now)
        || context.now < home.nextStepAt) {
        return;
    }
    if (home.phase == home_phase::unknown || home.phase == home_phase::loading) {
        beginRecovery(state, shard, home, context);
    } else if (home.phase == home_phase::finding) {
        askRacks(state, shard, home, context);
    }
}

/// Rows of several jobs of one home go into one transaction.
void writeOutdatedRows(entry_state &state, step_context &context)
{
    if (context.now < state.jobs.nextRowWriteAt
        || isAnyUnderway(state.operations, operation_purpose::updateJob)) {
        return;
    }
    table_operation write;
    write.purpose = operation_purpose::updateJob;
    for (const auto &[name, job] : state.jobs.jobs) {
        const std::string home = jobHomeOf(serviceOfJob(name));
        const bool isSameHome = write.subject.empty() || write.subject == home;
        if (!job.isRowOutdated || !isSameHome || job.rowVersion == 0
            || write.request.writes.size() >= rowsPerWrite
            || !holdsAuthority(state.authority, state.cell.identity, home, context.now)) {
            continue;
        }
        if (write.subject.empty()) {
            write.subject = home;
            addCondition(write.request, shardKey(home), state.authority.shards.at(home).rowVersion);
        }
        addCondition(write.request, jobKey(home, name), job.rowVersion);
        addWrite(write.request, jobKey(home, name), job.row);
    }
    if (!write.subject.empty()) {
        state.jobs.nextRowWriteAt = context.now + rowWriteInterval;
        startOperation(state.operations, std::move(write), context);
    }
}

/// Takes in the version of a row that the table returned, and whether it holds what is known here.
void noteJobRow(entry_state &state, const table_row &row)
{
    const auto value = parseJson<job_row>(row.value);
    if (!value || value->specification == nullptr) {
        return;
    }
    const auto found = state.jobs.jobs.find(jobName(*value->specification));
    if (found == state.jobs.jobs.end()) {
        return;
    }
    job_view &job = found->second;
    job.rowVersion = std::max(job.rowVersion, row.version);
    job.isRowOutdated = job.isRowOutdated && !(*value == job.row);
}

void endSubmit(entry_state &state, const std::string &name, operator_outcome outcome,
               const std::string &text, step_context &context)
{
    const auto submit = state.jobs.submits.find(name);
    if (submit == state.jobs.submits.end()) {
        return;
    }
    answerOperation(submit->second.origin, outcome, text, 0, state.cell, context);
    state.jobs.submits.erase(submit);
}

void noteSubmitWrite(entry_state &state, const table_operation &operation,
                     const table_result &result, step_context &context)
{
    const std::string &name = operation.subject;
    const auto found = state.jobs.jobs.find(name);
    if (found == state.jobs.jobs.end()) {
        return;
    }
    if (result.outcome == table_outcome::unknown || result.outcome == table_outcome::not_applied) {
        const auto submit = state.jobs.submits.find(name);
        if (submit != state.jobs.submits.end() && context.now < submit->second.answerBy) {
            writeJobRow(state, name, operation_purpose::submitJob, context);
            return;
        }
        endSubmit(state, name, operator_outcome::unknown,
                  "the job may be accepted or not; `bramleygrade job " + name + "` shows which",
                  context);
        state.jobs.jobs.erase(found);
        state.jobs.homes.erase(jobHomeOf(serviceOfJob(name))); // Loads the rows again.
        return;
    }
    const table_row *row = findRow(result.rows, jobKey(jobHomeOf(serviceOfJob(name)), name));
    const auto value = row == nullptr ? tl::expected<job_row, codec_error>(job_row {})
                                      : parseJson<job_row>(row->value);
    const bool isOurs = row != nullptr && value && value->specification != nullptr
        && *value->specification == *found->second.row.specification;
    if (isOurs) {
        found->second.rowVersion = row->version;
        endSubmit(state, name, operator_outcome::accepted, "job " + name + " is accepted", context);
        return;
    }
    endSubmit(state, name, operator_outcome::refused,
              row == nullptr ? "this entry no longer decides on the service; submit again"
                             : "another job has this id; choose a new id",
              context);
    state.jobs.jobs.erase(found);
    if (row != nullptr) {
        state.jobs.homes.erase(jobHomeOf(serviceOfJob(name)));
    }
}

} // namespace

bool isJobHome(const entry_state &state, const std::string &service, timestamp now)
{
    const std::string shard = jobHomeOf(service);
    const auto home = state.jobs.homes.find(shard);
    return home != state.jobs.homes.end() && home->second.phase == home_phase::ready
        && holdsAuthority(state.authority, state.cell.identity, shard, now);
}

void startSubmit(entry_state &state, const operation_origin &origin, const job_specification &job,
                 step_context &context)
{
    const auto refuse = [&](const std::string &reason) {
        answerOperation(origin, operator_outcome::refused, reason, 0, state.cell, context);
    };
    if (!isJobHome(state, job.service, context.now)) {
        return refuse("the home of this service's jobs is not ready; submit again in 5 s");
    }
    const std::string rejection = explainJobRejection(state, job, context.now);
    if (!rejection.empty()) {
        return refuse(rejection);
    }
    const std::string name = jobName(job);
    const auto known = state.jobs.jobs.find(name);
    if (known != state.jobs.jobs.end()) {
        const bool isSame = *known->second.row.specification == job;
        const bool isStored = known->second.rowVersion != 0;
        answerOperation(origin,
                        isSame && isStored ? operator_outcome::accepted : operator_outcome::refused,
                        isSame && isStored ? "job " + name + " is accepted"
                            : isSame       ? "the job is being written; ask again in 1 s"
                                           : "another job has this id; choose a new id",
                        0, state.cell, context);
        return;
    }
    job_row row;
    row.specification = std::make_unique<job_specification>(job);
    state.jobs.jobs.emplace(name, viewOf(row, 0, context.now));
    state.jobs.submits[name] = {origin, context.now + applyAnswerLimit};
    writeJobRow(state, name, operation_purpose::submitJob, context);
}

void startCancel(entry_state &state, const operation_origin &origin,
                 const std::vector<std::string> &names, step_context &context)
{
    int known = 0;
    for (const std::string &name : names) {
        const auto job = state.jobs.jobs.find(name);
        if (job == state.jobs.jobs.end()) {
            continue;
        }
        ++known;
        if (job->second.row.phase == job_phase::accepted) {
            job->second.row.phase = job_phase::cancelled;
            job->second.isRowOutdated = true;
            stopAllTasks(state, job->second, context);
        }
    }
    const bool isHome =
        !names.empty() && isJobHome(state, serviceOfJob(names.front()), context.now);
    answerOperation(origin, isHome ? operator_outcome::accepted : operator_outcome::refused,
                    isHome ? std::to_string(known) + " jobs known, their tasks are being stopped"
                           : "the home of this service's jobs is not ready; cancel again in 5 s",
                    0, state.cell, context);
}

void describeJobs(entry_state &state, const operation_origin &origin,
                  const std::vector<std::string> &names, step_context &context)
{
    std::string text;
    bool isAllKnown = true;
    for (const std::string &name : names) {
        const auto job = state.jobs.jobs.find(name);
        if (job == state.jobs.jobs.end()) {
            text += name + " is not known; it ended long ago or was never accepted. ";
            isAllKnown = false;
            continue;
        }
        std::map<job_task_phase, int> counts;
        std::set<std::string> workers;
        for (const job_task &task : job->second.tasks) {
            ++counts[task.phase];
            if (task.phase == job_task_phase::running) {
                workers.insert(task.worker);
            }
        }
        text += name + " " + wire::EnumNamejob_phase(job->second.row.phase) + ": "
            + std::to_string(counts[job_task_phase::running]) + " running, "
            + std::to_string(counts[job_task_phase::ended]) + " ended, "
            + std::to_string(job->second.tasks.size()) + " in all";
        for (const std::string &worker : workers) {
            text += " " + worker;
        }
        text += ". ";
    }
    answerOperation(origin, isAllKnown ? operator_outcome::accepted : operator_outcome::refused,
                    text, 0, state.cell, context);
}

void noteJobWrite(entry_state &state, const table_operation &operation, const table_result &result,
                  step_context &context)
{
    if (operation.purpose == operation_purpose::submitJob) {
        noteSubmitWrite(state, operation, result, context);
        return;
    }
    for (const auto &row : result.rows) {
        const std::string_view prefix = jobPrefix;
        if (row->key.compare(0, prefix.size(), prefix) == 0) {
            noteJobRow(state, *row);
        }
    }
    for (auto &[name, job] : state.jobs.jobs) {
        if (!job.isRowOutdated && job.row.phase != job_phase::accepted) {
            job.forgetAt = std::min(job.forgetAt, context.now + endedJobMemory);
        }
    }
}

void noteJobsLoaded(entry_state &state, const table_operation &operation,
                    const table_result &result, step_context &context)
{
    const std::string &shard = operation.subject;
    job_home &home = state.jobs.homes[shard];
    const table_row *row = findRow(result.rows, shardKey(shard));
    const auto owner = row == nullptr ? tl::expected<shard_row, codec_error>(shard_row {})
                                      : parseJson<shard_row>(row->value);
    const bool isCurrent = home.phase == home_phase::loading && owner && owner->epoch == home.epoch
        && result.outcome == table_outcome::committed;
    if (!isCurrent) {
        return;
    }
    const std::string prefix = jobHomePrefix(shard);
    for (const auto &stored : result.rows) {
        if (stored->key.compare(0, prefix.size(), prefix) != 0) {
            continue;
        }
        const auto value = parseJson<job_row>(stored->value);
        if (value && value->specification != nullptr) {
            state.jobs.jobs.emplace(jobName(*value->specification),
                                    viewOf(*value, stored->version, context.now));
        }
    }
    home.phase = home_phase::finding;
    home.findNumber = state.jobs.nextFind++;
    home.nextStepAt = context.now;
    home.findingSince = context.now;
    // Racks that the table knows as well: the list of an entry that has just started may be empty.
    home.missing = state.cell.listedRacks;
    for (const auto &[known, view] : state.authority.shards) {
        if (known.compare(0, 5, "rack-") == 0) {
            home.missing.insert(known);
        }
    }
}

void noteFoundTasks(entry_state &state, const found_tasks &found, step_context &context)
{
    const auto home = state.jobs.homes.find(found.home_shard);
    if (home == state.jobs.homes.end() || home->second.phase != home_phase::finding
        || home->second.findNumber != found.number
        || home->second.missing.erase(found.shard) == 0) {
        return;
    }
    for (const auto &report : found.tasks) {
        job_task *task = findJobTask(state, report->service, report->job, report->task);
        if (task != nullptr && task->phase != job_task_phase::ended) {
            task->incarnation = std::max(task->incarnation, report->incarnation);
            noteRunning(state, state.jobs.jobs.at(report->service + "/" + report->job), *task,
                        *report, context);
        }
    }
    if (home->second.missing.empty()) {
        home->second.phase = home_phase::ready;
    }
}

void noteTaskNews(entry_state &state, const std::string &from, const task_report &report,
                  step_context &context)
{
    noteShardLoad(state, from, report);
    const auto home = state.jobs.homes.find(jobHomeOf(report.service));
    const bool isReady = home != state.jobs.homes.end() && home->second.phase == home_phase::ready;
    if (!isReady) {
        return; // Asked for again during recovery, and reported again by the worker's owner.
    }
    job_task *task = findJobTask(state, report.service, report.job, report.task);
    if (task == nullptr) {
        noteStrayTask(state, report, context);
        return;
    }
    job_view &job = state.jobs.jobs.at(report.service + "/" + report.job);
    if (report.incarnation != task->incarnation || task->phase == job_task_phase::ended) {
        const bool isStray = report.result == placement_result::running;
        const bool isOnRecord = !job.isRowOutdated && isEnd(report.result);
        if (isStray || isOnRecord) {
            tellToStop(state, report, context);
        }
        return;
    }
    if (report.result == placement_result::running) {
        noteRunning(state, job, *task, report, context);
    } else if (report.result == placement_result::held) {
        noteHeld(state, job, *task, report, context);
    } else if (report.result == placement_result::finished) {
        recordFinish(job, report.task);
    } else if (task->phase != job_task_phase::waiting) {
        noteGangMiss(state, job, *task, report, context);
        retryTask(job, *task, report.result, context.now);
        tellToStop(state, report, context);
    } else if (report.result != placement_result::refused) {
        tellToStop(state, report, context); // Ended before, and the worker still lists it.
    }
}

void tendJobs(entry_state &state, step_context &context)
{
    for (const auto &[shard, view] : state.authority.shards) {
        if (shard.compare(0, 5, "home-") == 0) {
            tendHome(state, shard, view, context);
        }
    }
    writeOutdatedRows(state, context);
    for (auto job = state.jobs.jobs.begin(); job != state.jobs.jobs.end();) {
        job = context.now >= job->second.forgetAt ? state.jobs.jobs.erase(job) : std::next(job);
    }
    placeTasks(state, context);
}

} // namespace bramleygrade
