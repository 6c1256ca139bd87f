#include <algorithm>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Rows of changes in one write: a transaction of the users' store holds 100, of which the head
/// row takes two and the list of members one.
constexpr std::size_t changeRowsPerWrite = 97;
/// Rows of a new job, the usual change for which a caller waits.
constexpr std::size_t rowsPerChange = 2;
/// Rows that changes for which callers wait can be sure of in each write (`beginWrite`).
constexpr std::size_t urgentRowsPerWrite = changeRowsPerWrite * 3 / 4;
/// Least time between two writes, so that more changes share one.
constexpr microseconds writePause = 15 * millisecond;
/// Longest time that a change for which nobody waits is kept back.
constexpr microseconds lazyPause = 150 * millisecond;
constexpr microseconds writePatience = 1'200 * millisecond;
constexpr microseconds retryPause = 80 * millisecond;
/// A try that is silent for this long, and twice as long as writes take, gets another one beside
/// it, so that the return of a store that was away is seen. At most three are under way.
constexpr microseconds secondTryAfter = 600 * millisecond;
/// A write that takes longer than this shows a store that is down or slow: what would have to
/// wait for it is refused at once.
constexpr microseconds slowStore = 1'000 * millisecond;
/// Time after which a refused caller may come back.
constexpr microseconds refusedRetryAfter = 2 * second;

/// Whether a row in place of the job's own is all that is written of its end now. Its rows are
/// moved once there is room in a write.
bool endsInPlace(const leader_state &leaderState, const cell::job_state &job)
{
    return leaderState.backlogExceedsWrite && job.finalPhase && job.stored && !job.finalStored;
}

/// Rows that `addJobRows` adds for the job, or one for the list of workers.
std::size_t rowsOf(leader_state &leaderState, const std::string &id)
{
    const cell::job_state *job = cell::findJob(leaderState.cell, id);
    if (job == nullptr || endsInPlace(leaderState, *job)) {
        return 1;
    }
    if (job->finalPhase) {
        return job->stored ? 3 : 2;
    }
    return (job->stored ? 0 : 2) + (needsProgressRow(*job) ? 1 : 0);
}

/// Whether the changes that wait do not fit into one write.
bool isCrowded(leader_state &leaderState)
{
    std::size_t rows = 0;
    leaderState.backlogExceedsWrite = false;
    for (const auto &[id, change] : leaderState.cell.unsaved) {
        rows += rowsOf(leaderState, id);
    }
    return rows > changeRowsPerWrite;
}

void addEnd(leader_state &leaderState, const cell::job_state &job, table_write &write)
{
    const std::string &id = job.spec.id;
    const std::string value = encodeEnded({*job.finalPhase, wallNow()});
    if (endsInPlace(leaderState, job)) {
        write.puts.push_back({jobTable, id, value, 0, false});
        leaderState.endedInPlace.push_back(id);
        return;
    }
    write.puts.push_back({endedTable, id, value, 0, false});
    if (job.stored) {
        write.removals.push_back({jobTable, id, 0});
        write.removals.push_back({progressTable, id, 0});
    }
}

void addJobRows(entry_state &entry, const cell::job_state &job, table_write &write)
{
    leader_state &leaderState = *entry.leaderState;
    const std::string &id = job.spec.id;
    if (!job.stored) {
        write.expected.push_back({endedTable, id, 0});
        leaderState.newJobsInWrite.push_back(id);
    }
    if (job.finalPhase) {
        addEnd(leaderState, job, write);
        return;
    }
    if (!job.stored) {
        write.puts.push_back(
            {jobTable, id, encodeJob(job, leaderState.acceptedWall[id]), 0, false});
    }
    if (needsProgressRow(job)) {
        write.puts.push_back({progressTable, id, encodeProgress(job), 0, false});
    }
}

void buildWrite(entry_state &entry)
{
    leader_state &leaderState = *entry.leaderState;
    leaderState.newJobsInWrite.clear();
    leaderState.endedInPlace.clear();
    leaderState.backlogExceedsWrite = isCrowded(leaderState);
    table_write write;
    write.expected.push_back({headTable, headKey, leaderState.headVersion});
    leaderState.writeSequence = leaderState.sequence + 1;
    write.puts.push_back({headTable, headKey,
                          encodeHead({entry.epoch, leaderState.writeSequence, entry.settings.name,
                                      entry.settings.peerAddress, entry.incarnation}),
                          0, false});
    if (leaderState.membersChanged) {
        write.puts.push_back({headTable, membersKey, encodeMembers(entry.members), 0, false});
        leaderState.membersChanged = false;
    }
    for (const std::string &id : cell::beginWrite(
             leaderState.cell, changeRowsPerWrite,
             [&leaderState](const std::string &job) { return rowsOf(leaderState, job); })) {
        if (id == cell::workerListChange) {
            write.puts.push_back(
                {headTable, workersKey, encodeWorkers(leaderState.cell.workers), 0, false});
        } else if (const cell::job_state *job = cell::findJob(leaderState.cell, id)) {
            addJobRows(entry, *job, write);
        }
    }
    leaderState.write = std::move(write);
    leaderState.firstAttempt = leaderState.attemptCount + 1;
    leaderState.writeMayHaveCommitted = false;
    leaderState.writeStartedAt = steadyNow();
}

void answerStored(entry_state &entry, const std::vector<std::string> &ids)
{
    leader_state &leaderState = *entry.leaderState;
    for (const std::string &id : ids) {
        const cell::job_state *job = cell::findJob(leaderState.cell, id);
        const auto range = leaderState.waiters.equal_range(id);
        for (auto place = range.first; place != range.second;) {
            const bool ready = job == nullptr
                || (place->second.kind == call_kind::submit ? job->stored : job->finalStored);
            if (!ready) {
                ++place;
                continue;
            }
            caller_answer answer;
            answer.kind = answer_kind::accepted;
            place->second.answer(answer);
            place = leaderState.waiters.erase(place);
        }
    }
}

void endWrite(entry_state &entry, std::int64_t version)
{
    leader_state &leaderState = *entry.leaderState;
    const timestamp now = steadyNow();
    const microseconds took = now - leaderState.writeStartedAt;
    observeLatency(entry.metrics, "store_write_seconds", took);
    leaderState.averageWriteTime = (leaderState.averageWriteTime + took) / 2;
    if (leaderState.hasWriteFailed) {
        logEvent(entry, "store_write_done",
                 {{"sequence", std::to_string(leaderState.writeSequence)},
                  {"took_ms", std::to_string(took / millisecond)}});
        leaderState.hasWriteFailed = false;
    }
    std::vector<std::string> ids;
    for (const auto &[id, change] : leaderState.cell.inWrite) {
        ids.push_back(id);
    }
    leaderState.headVersion = version;
    leaderState.sequence = leaderState.writeSequence;
    leaderState.write.reset();
    leaderState.writtenAt = now;
    leaderState.confirmedAt = now;
    leaderState.nextWriteAt = now + writePause;
    cell::onWritten(leaderState.cell, now);
    for (const std::string &id : leaderState.endedInPlace) {
        cell::noteChange(leaderState.cell, id, false);
    }
    answerStored(entry, ids);
    for (const std::string &id : leaderState.newJobsInWrite) {
        leaderState.acceptedWall.erase(id); // its row holds the time now
        logEvent(entry, "job_stored", {{"job", id}, {"version", std::to_string(version)}});
    }
    requestDecision(entry);
}

/// Jobs that had ended under an earlier scheduler came again: they are known and run no more.
void forgetEndedBefore(entry_state &entry, const std::vector<stored_row> &rows)
{
    leader_state &leaderState = *entry.leaderState;
    cell::onWriteRefused(leaderState.cell);
    leaderState.membersChanged = true;
    leaderState.write.reset();
    for (const stored_row &row : rows) {
        if (row.table == endedTable && row.version != 0
            && cell::withdrawJob(leaderState.cell, row.key)) {
            leaderState.acceptedWall.erase(row.key);
            logEvent(entry, "job_ended_before", {{"job", row.key}});
            answerStored(entry, {row.key});
        }
    }
}

void onConflict(entry_state &entry, const store_result &result)
{
    leader_state &leaderState = *entry.leaderState;
    for (const stored_row &row : result.rows) {
        if (row.table != headTable || row.key != headKey
            || row.version == leaderState.headVersion) {
            continue;
        }
        const auto head = decodeHead(row.value);
        if (head && head->epoch == entry.epoch && head->sequence == leaderState.writeSequence
            && head->incarnation == entry.incarnation) {
            endWrite(entry, row.version); // an earlier try had taken effect
            return;
        }
        if (head) {
            recordScheduler(entry, head->epoch, {head->scheduler, head->address}, steadyNow());
        }
        if (entry.leaderState) {
            stepDown(entry, "the head row has changed");
        }
        return;
    }
    forgetEndedBefore(entry, result.rows);
}

/// Whether the answer changes nothing any more: it is to a try of an earlier write, or it tells
/// nothing of a try beside which a newer one is under way.
bool isStale(const leader_state &leaderState, const store_result &result, std::int64_t tried)
{
    const bool telling =
        result.outcome == store_outcome::done || result.outcome == store_outcome::conflict;
    return !leaderState.write || tried < leaderState.firstAttempt
        || (!telling && tried != leaderState.attemptCount);
}

void onWriteResult(entry_state &entry, const store_result &result)
{
    leader_state &leaderState = *entry.leaderState;
    leaderState.writeInFlight = false;
    ++entry.metrics.counters["store_writes_total{outcome=\""
                             + std::to_string(static_cast<int>(result.outcome)) + "\"}"];
    if (result.outcome == store_outcome::done) {
        endWrite(entry, result.version);
    } else if (result.outcome == store_outcome::conflict) {
        onConflict(entry, result);
    } else {
        const bool refused = result.outcome == store_outcome::refused;
        if (!leaderState.hasWriteFailed) {
            logEvent(entry, "store_write_failed",
                     {{"outcome", refused ? "refused" : "unanswered"},
                      {"sequence", std::to_string(leaderState.writeSequence)}});
        }
        leaderState.hasWriteFailed = true;
        leaderState.writeMayHaveCommitted = leaderState.writeMayHaveCommitted || !refused;
        leaderState.nextWriteAt = steadyNow() + retryPause;
        if (!leaderState.writeMayHaveCommitted) {
            const timestamp since = leaderState.writeStartedAt;
            cell::onWriteRefused(leaderState.cell);
            leaderState.membersChanged = true;
            buildWrite(entry);
            leaderState.writeStartedAt = since;
        }
    }
}

bool isWriteDue(const leader_state &leaderState, timestamp now)
{
    if (leaderState.write) {
        return true; // one that has to be sent again
    }
    if (leaderState.membersChanged && now > leaderState.writtenAt + lazyPause) {
        return true;
    }
    return !leaderState.cell.unsaved.empty()
        && (leaderState.cell.writeUrgent || now > leaderState.writtenAt + lazyPause);
}

} // namespace

bool isStoreSlow(const leader_state &leaderState, timestamp now)
{
    return leaderState.write && now > leaderState.writeStartedAt + slowStore;
}

timestamp expectedStoredAt(const leader_state &leaderState, timestamp now)
{
    microseconds took = leaderState.averageWriteTime;
    timestamp next = std::max(now, leaderState.nextWriteAt);
    if (leaderState.write) {
        const microseconds age = now - leaderState.writeStartedAt;
        took = std::max(took, age);
        next = now + (took - age) + writePause;
    }
    std::size_t rows = 0;
    for (const auto &[id, change] : leaderState.cell.unsaved) {
        rows += change.urgent ? rowsPerChange : 0;
    }
    const std::size_t ahead = rows / urgentRowsPerWrite;
    return next + took + static_cast<microseconds>(ahead) * (took + writePause);
}

void advanceWrites(entry_state &entry)
{
    if (!entry.leaderState || entry.role != entry_role::scheduler) {
        return;
    }
    leader_state &leaderState = *entry.leaderState;
    const timestamp now = steadyNow();
    const microseconds patience = std::max(secondTryAfter, 2 * leaderState.averageWriteTime);
    const bool silent = leaderState.writeInFlight && now > leaderState.attemptedAt + patience;
    if ((leaderState.writeInFlight && !silent) || !isWriteDue(leaderState, now)) {
        return;
    }
    leaderState.writeMayHaveCommitted = leaderState.writeMayHaveCommitted || silent;
    if (now < leaderState.nextWriteAt) {
        leaderState.writeWakeAt = leaderState.nextWriteAt;
        return;
    }
    leaderState.writeWakeAt = distantFuture;
    if (!leaderState.write && leaderState.handoverInFlight) {
        return;
    }
    if (!leaderState.write && leaderState.isHandoverRequested
        && !leaderState.mustWriteBeforeHandover) {
        handOver(entry, [](bool) {});
        return;
    }
    if (!leaderState.write) {
        leaderState.mustWriteBeforeHandover = false;
        buildWrite(entry);
    }
    leaderState.writeInFlight = true;
    leaderState.attemptedAt = now;
    entry.ports.store.write(*leaderState.write, now + writePatience,
                            [&entry, epoch = entry.epoch,
                             tried = ++leaderState.attemptCount](const store_result &result) {
                                if (entry.leaderState && entry.epoch == epoch
                                    && !isStale(*entry.leaderState, result, tried)) {
                                    onWriteResult(entry, result);
                                    requestDecision(entry);
                                }
                            });
}

void expireWaiters(entry_state &entry, timestamp now)
{
    leader_state &leaderState = *entry.leaderState;
    const bool trouble = isStoreSlow(leaderState, now);
    for (auto place = leaderState.waiters.begin(); place != leaderState.waiters.end();) {
        const bool over = now >= place->second.expiresAt;
        const bool untouched = (over || trouble) && place->second.kind == call_kind::submit
            && cell::withdrawJob(leaderState.cell, place->first);
        if (!over && !untouched) {
            ++place;
            continue;
        }
        if (untouched) {
            leaderState.acceptedWall.erase(place->first);
        }
        caller_answer answer;
        answer.kind = untouched ? answer_kind::refused : answer_kind::unknown;
        answer.retryAfter = refusedRetryAfter;
        answer.reason = "the table service does not answer";
        logEvent(
            entry, "call_given_up",
            {{"job", place->first},
             {"outcome", untouched ? "refused" : "unknown"},
             {"store_silent_ms", std::to_string((now - leaderState.writtenAt) / millisecond)}});
        place->second.answer(answer);
        place = leaderState.waiters.erase(place);
    }
}

} // namespace bramleygrade::entry
