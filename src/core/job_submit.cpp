#include <algorithm>
#include <map>
#include <set>

#include "core/job_home.h"
#include "core/job_placement.h"
#include "core/table_rows.h"
#include "core/task_messages.h"

namespace bramleygrade {

namespace {

constexpr int taskCountLimit = 10'000;

/// Returns why the job can never run, or an empty text if it can.
std::string explainInfeasibility(const entry_state &state, const job_specification &job,
                                 const service_document &document)
{
    const resources need {job.cpu_millis, job.memory_mb, job.accelerators};
    const resources quota {document.quota_cpu_millis, document.quota_memory_mb,
                           document.quota_accelerators};
    const std::int64_t simultaneousTasks = job.all_or_nothing ? job.task_count : 1;
    const resources simultaneousNeed {need.cpuMillis * simultaneousTasks,
                                      need.memoryMb * simultaneousTasks,
                                      need.accelerators * simultaneousTasks};
    if (!fits(simultaneousNeed, quota)) {
        return "the job needs more resources at once than the quota of its service; raise the "
               "quota, or request fewer resources";
    }
    std::int64_t fittingTasks = 0;
    for (const auto &[name, worker] : state.pool.workers) {
        if (isAllowedDomain(document, worker.info.failure_domain)
            && fits(need, capacityOf(worker.info))) {
            ++fittingTasks;
            const resources capacity = capacityOf(worker.info);
            const auto times = [](std::int64_t whole, std::int64_t part) {
                return part > 0 ? whole / part : taskCountLimit;
            };
            fittingTasks += std::min({times(capacity.cpuMillis, need.cpuMillis),
                                      times(capacity.memoryMb, need.memoryMb),
                                      times(capacity.accelerators, need.accelerators)})
                - 1;
        }
    }
    if (fittingTasks < simultaneousTasks) {
        return "no worker or group of workers in the allowed failure domains could hold the job "
               "even when idle; request fewer resources, or allow more failure domains";
    }
    return {};
}

std::string explainJobRejection(const entry_state &state, const job_specification &job,
                                timestamp now)
{
    const service_document *document = findDocument(state.documents, job.service);
    if (document == nullptr || !areDocumentsFresh(state.documents, now)) {
        return "service: this entry has no up-to-date document of the service; apply one first";
    }
    if (job.id.empty() || job.id.find_first_of("/ ") != std::string::npos) {
        return "id: must be a non-empty name without '/' and spaces";
    }
    if (job.task_count < 1 || job.task_count > taskCountLimit) {
        return "task_count: must be between 1 and 10000";
    }
    if (job.cpu_millis <= 0 || job.memory_mb <= 0 || job.accelerators < 0 || job.run_time_ms < 0) {
        return "cpu_millis and memory_mb must be positive, accelerators and run_time_ms not "
               "negative";
    }
    return explainInfeasibility(state, job, *document);
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

void answerSubmit(entry_state &state, const std::string &name, operator_outcome outcome,
                  const std::string &text, step_context &context)
{
    const auto submit = state.jobs.pendingSubmits.find(name);
    if (submit == state.jobs.pendingSubmits.end()) {
        return;
    }
    answerOperation(submit->second.origin, outcome, text, 0, state.cell, context);
    state.jobs.pendingSubmits.erase(submit);
}

} // namespace

void handleSubmitWriteResult(entry_state &state, const table_operation &operation,
                             const table_result &result, step_context &context)
{
    const std::string &name = operation.subject;
    const auto found = state.jobs.jobs.find(name);
    if (found == state.jobs.jobs.end()) {
        return;
    }
    if (result.outcome == table_outcome::unknown || result.outcome == table_outcome::not_applied) {
        const auto submit = state.jobs.pendingSubmits.find(name);
        if (submit != state.jobs.pendingSubmits.end()
            && context.now < submit->second.responseDeadline) {
            writeJobRow(state, name, operation_purpose::submitJob, context);
            return;
        }
        answerSubmit(state, name, operator_outcome::unknown,
                     "it is unknown whether the job is accepted; `bramleygrade job " + name
                         + "` shows its state",
                     context);
        state.jobs.jobs.erase(found);
        state.jobs.homes.erase(jobHomeOf(serviceOfJob(name))); // Recovery reloads the rows.
        return;
    }
    const table_row *row = findRow(result.rows, jobKey(jobHomeOf(serviceOfJob(name)), name));
    const auto value = row == nullptr ? tl::expected<job_row, codec_error>(job_row {})
                                      : parseJson<job_row>(row->value);
    const bool isStoredJobEqual = row != nullptr && value && value->specification != nullptr
        && *value->specification == *found->second.row.specification;
    if (isStoredJobEqual) {
        found->second.rowVersion = row->version;
        answerSubmit(state, name, operator_outcome::accepted, "job " + name + " is accepted",
                     context);
        return;
    }
    answerSubmit(state, name, operator_outcome::refused,
                 row == nullptr
                     ? "this entry no longer decides on the jobs of the service; submit again"
                     : "another job has this id; choose a new id",
                 context);
    state.jobs.jobs.erase(found);
    if (row != nullptr) {
        state.jobs.homes.erase(jobHomeOf(serviceOfJob(name)));
    }
}

void startSubmit(entry_state &state, const operation_origin &origin, const job_specification &job,
                 step_context &context)
{
    const auto refuse = [&](const std::string &reason) {
        answerOperation(origin, operator_outcome::refused, reason, 0, state.cell, context);
    };
    if (!isJobHome(state, job.service, context.now)) {
        return refuse(
            "the entry that decides on the jobs of the service is not ready; submit again in 5 s");
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
                            : isSame       ? "the job is being stored; submit again in 1 s"
                                           : "another job has this id; choose a new id",
                        0, state.cell, context);
        return;
    }
    job_row row;
    row.specification = std::make_unique<job_specification>(job);
    state.jobs.jobs.emplace(name, makeJobView(row, 0, context.now));
    state.jobs.pendingSubmits[name] = {origin, context.now + operationTimeout};
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
    answerOperation(
        origin, isHome ? operator_outcome::accepted : operator_outcome::refused,
        isHome
            ? std::to_string(known) + " jobs found; their tasks are being stopped"
            : "the entry that decides on the jobs of the service is not ready; cancel again in 5 s",
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
            text +=
                name + " is not known: it was never accepted, or was removed 600 s after its end. ";
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

} // namespace bramleygrade
