#include "core/job_home.h"

#include <algorithm>
#include <string_view>

#include "core/invariant.h"
#include "core/job_placement.h"
#include "core/table_rows.h"
#include "core/task_messages.h"

namespace bramleygrade {

namespace {

constexpr microseconds rowWriteInterval = 500 * millisecond;
constexpr std::size_t maxRowsPerWrite = 20;
/// Interval at which recovery steps are repeated.
constexpr microseconds recoveryInterval = second;

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
    home.nextRecoveryStepAt = context.now + tableResponseTimeout + recoveryInterval;
}

void queryRacks(entry_state &state, const std::string &shard, job_home &home, step_context &context)
{
    for (auto rack = home.unansweredRacks.begin(); rack != home.unansweredRacks.end();) {
        // The workers of a rack that the platform no longer lists cannot run anything.
        const bool isRemoved =
            isRackRemoved(state.cell, *rack, home.discoveryStartedAt, context.now);
        rack = isRemoved ? home.unansweredRacks.erase(rack) : std::next(rack);
    }
    if (home.unansweredRacks.empty()) {
        home.phase = home_phase::ready;
        return;
    }
    for (const std::string &rack : home.unansweredRacks) {
        find_tasks query;
        query.home_shard = shard;
        query.home_epoch = home.epoch;
        query.shard = rack;
        query.number = home.discoveryNumber;
        sendToOwner(state, rack, std::move(query), context);
    }
    home.nextRecoveryStepAt = context.now + recoveryInterval;
}

void removeJobsOfHome(entry_state &state, const std::string &shard)
{
    for (auto job = state.jobs.jobs.begin(); job != state.jobs.jobs.end();) {
        const bool isOfHome = jobHomeOf(serviceOfJob(job->first)) == shard;
        job = isOfHome ? state.jobs.jobs.erase(job) : std::next(job);
    }
}

void advanceRecovery(entry_state &state, const std::string &shard, const shard_view &view,
                     step_context &context)
{
    job_home &home = state.jobs.homes[shard];
    const bool isOwned = view.row.owner == state.cell.identity && !view.isRelinquished;
    if (!isOwned || home.epoch != view.row.epoch) {
        if (home.phase != home_phase::unknown) {
            removeJobsOfHome(state, shard);
        }
        home = job_home {};
        home.epoch = view.row.epoch;
    }
    if (!isOwned || !holdsLease(state.authority, state.cell.identity, shard, context.now)
        || context.now < home.nextRecoveryStepAt) {
        return;
    }
    if (home.phase == home_phase::unknown || home.phase == home_phase::loading) {
        beginRecovery(state, shard, home, context);
    } else if (home.phase == home_phase::discovering) {
        queryRacks(state, shard, home, context);
    }
}

/// Writes outdated rows of one home, at most `maxRowsPerWrite`, in one transaction.
void writeOutdatedRows(entry_state &state, step_context &context)
{
    if (context.now < state.jobs.nextRowWriteAt
        || isAnyOperationPending(state.operations, operation_purpose::updateJob)) {
        return;
    }
    table_operation write;
    write.purpose = operation_purpose::updateJob;
    for (const auto &[name, job] : state.jobs.jobs) {
        const std::string home = jobHomeOf(serviceOfJob(name));
        const bool isSameHome = write.subject.empty() || write.subject == home;
        if (!job.isRowOutdated || !isSameHome || job.rowVersion == 0
            || write.request.writes.size() >= maxRowsPerWrite
            || !holdsLease(state.authority, state.cell.identity, home, context.now)) {
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

/// Updates the version of the job's row, and clears `isRowOutdated` if the stored row is current.
void applyStoredRow(entry_state &state, const table_row &row)
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

} // namespace

job_view makeJobView(const job_row &row, std::uint64_t version, timestamp now)
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
        job.evictAt = now + endedJobRetention;
    }
    return job;
}

bool isJobHome(const entry_state &state, const std::string &service, timestamp now)
{
    const std::string shard = jobHomeOf(service);
    const auto home = state.jobs.homes.find(shard);
    return home != state.jobs.homes.end() && home->second.phase == home_phase::ready
        && holdsLease(state.authority, state.cell.identity, shard, now);
}

void handleJobWriteResult(entry_state &state, const table_result &result, step_context &context)
{
    for (const auto &row : result.rows) {
        const std::string_view prefix = jobPrefix;
        if (row->key.compare(0, prefix.size(), prefix) == 0) {
            applyStoredRow(state, *row);
        }
    }
    for (auto &[name, job] : state.jobs.jobs) {
        if (!job.isRowOutdated && job.row.phase != job_phase::accepted) {
            job.evictAt = std::min(job.evictAt, context.now + endedJobRetention);
        }
    }
}

void handleJobsLoaded(entry_state &state, const table_operation &operation,
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
                                    makeJobView(*value, stored->version, context.now));
        }
    }
    home.phase = home_phase::discovering;
    home.discoveryNumber = state.jobs.nextDiscoveryNumber++;
    home.nextRecoveryStepAt = context.now;
    home.discoveryStartedAt = context.now;
    // Includes the racks known from the table, because the platform's list may still be empty on an
    // entry that has just started.
    home.unansweredRacks = state.cell.listedRacks;
    for (const auto &[known, view] : state.authority.shards) {
        if (known.compare(0, 5, "rack-") == 0) {
            home.unansweredRacks.insert(known);
        }
    }
}

void maintainJobs(entry_state &state, step_context &context)
{
    for (const auto &[shard, view] : state.authority.shards) {
        if (shard.compare(0, 5, "home-") == 0) {
            advanceRecovery(state, shard, view, context);
        }
    }
    writeOutdatedRows(state, context);
    for (auto job = state.jobs.jobs.begin(); job != state.jobs.jobs.end();) {
        job = context.now >= job->second.evictAt ? state.jobs.jobs.erase(job) : std::next(job);
    }
    placeTasks(state, context);
}

} // namespace bramleygrade
