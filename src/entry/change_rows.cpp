#include "entry/change_rows.h"

#include "cell/workers/worker_list.h"

namespace bramleygrade::entry {

namespace {

/// Bytes of a row in a call to the store beside table, key and value.
constexpr std::size_t rowOverheadBytes = 80;

/// Returns the bytes of the rows in a call to the store, where values are in base64.
std::size_t bytesOf(const change_rows &rows)
{
    std::size_t bytes = 0;
    for (const stored_row &row : rows.puts) {
        bytes +=
            (row.value.size() + 2) / 3 * 4 + row.table.size() + row.key.size() + rowOverheadBytes;
    }
    for (const auto *keys : {&rows.expected, &rows.removals}) {
        for (const row_expectation &row : *keys) {
            bytes += row.table.size() + row.key.size() + rowOverheadBytes;
        }
    }
    return bytes;
}

/// Returns true if the end of the job is written by replacing its row with a tombstone, which takes
/// one row. A later write that has room moves the tombstone to the table of ended jobs.
bool endsInPlace(const leader_state &leaderState, const cell::job_state &job)
{
    return leaderState.backlogExceedsWrite && job.finalPhase && job.stored && !job.finalStored;
}

void addEndRows(const leader_state &leaderState, const cell::job_state &job, change_rows &rows)
{
    const std::string &id = job.spec.id;
    const std::string value = encodeEnded({*job.finalPhase, wallNow(), job.spec.team});
    rows.endsInPlace = endsInPlace(leaderState, job);
    if (rows.endsInPlace) {
        rows.puts.push_back({jobTable, id, value, 0, false});
        return;
    }
    rows.puts.push_back({endedTable, id, value, 0, false});
    if (job.stored) {
        rows.removals.push_back({jobTable, id, 0});
        for (std::size_t index = 0; index < job.progressRows; ++index) {
            rows.removals.push_back({progressTable, progressRowKey(id, index), 0});
        }
    }
}

void addProgressRows(const cell::job_state &job, change_rows &rows)
{
    encoded_progress progress = encodeProgress(job);
    rows.progressRows = progress.rows.size();
    rows.checkpointsLeftOut = progress.checkpointsLeftOut;
    rows.itemsLeftOut = progress.itemsLeftOut;
    for (std::size_t index = 0; index < progress.rows.size(); ++index) {
        rows.puts.push_back({progressTable, progressRowKey(job.spec.id, index),
                             std::move(progress.rows[index]), 0, false});
    }
}

void addJobRows(const leader_state &leaderState, const cell::job_state &job, change_rows &rows)
{
    const std::string &id = job.spec.id;
    rows.isNewJob = !job.stored;
    if (!job.stored) {
        rows.expected.push_back({endedTable, id, 0});
    }
    if (job.finalPhase) {
        addEndRows(leaderState, job, rows);
        return;
    }
    if (!job.stored) {
        const auto accepted = leaderState.acceptedWall.find(id);
        const std::int64_t wall = accepted == leaderState.acceptedWall.end() ? 0 : accepted->second;
        rows.puts.push_back({jobTable, id, encodeJob(job, wall), 0, false});
    }
    if (needsProgressRow(job)) {
        addProgressRows(job, rows);
    }
}

} // namespace

change_rows makeChangeRows(const entry_state &entry, const std::string &id)
{
    const leader_state &leaderState = *entry.leaderState;
    change_rows rows;
    const auto job = leaderState.cell.jobs.find(id);
    if (const auto row = cell::changedWorkerRow(id)) {
        rows.puts.push_back({headTable, workersRowKey(*row),
                             encodeWorkerRow(leaderState.cell.workers, *row), 0, false});
    } else if (job != leaderState.cell.jobs.end()) {
        addJobRows(leaderState, job->second, rows);
    }
    rows.size = {rows.expected.size() + rows.puts.size() + rows.removals.size(), bytesOf(rows)};
    return rows;
}

std::size_t estimateRows(const leader_state &leaderState, const std::string &id)
{
    const auto found = leaderState.cell.jobs.find(id);
    if (found == leaderState.cell.jobs.end() || endsInPlace(leaderState, found->second)) {
        return 1;
    }
    const cell::job_state &job = found->second;
    if (job.finalPhase) {
        return job.stored ? 2 + job.progressRows : 2;
    }
    return (job.stored ? 0 : 2) + (needsProgressRow(job) ? job.progressRows : 0);
}

} // namespace bramleygrade::entry
