#include <algorithm>

#include "entry/authentication/admission.h"
#include "entry/change_rows.h"
#include "entry/entry.h"
#include "entry/rejected_writes.h"

namespace bramleygrade::entry {

namespace {

/// Limits of the changes in one write. A transaction of the users' store holds 100 rows, of which
/// the head row takes two (expectation and put) and the members row one, and 1 MB.
constexpr std::size_t changeRowsPerWrite = 97;
constexpr std::size_t changeBytesPerWrite = 900'000;
/// Rows that a new job takes, the usual change for which a caller waits.
constexpr std::size_t rowsPerNewJob = 2;
/// Rows that `beginWrite` reserves in each write for changes for which callers wait.
constexpr std::size_t urgentRowsPerWrite = changeRowsPerWrite * 3 / 4;
/// Minimum time between two writes, so that more changes are batched into one.
constexpr microseconds writeInterval = 15 * millisecond;
/// Maximum delay of a change for which no caller waits.
constexpr microseconds maxBackgroundWriteDelay = 150 * millisecond;
/// A scheduler that no majority of the entries has confirmed for this long confirms its leadership
/// by a write, as it would be suspended otherwise.
constexpr microseconds confirmationWriteDelay = 1 * second;
constexpr microseconds writeTimeout = 1'200 * millisecond;
constexpr microseconds writeRetryDelay = 80 * millisecond;
/// An attempt without an answer is hedged by another one after this time, or twice the average
/// write latency if that is longer, so that the recovery of the store is noticed. At most three
/// attempts are under way.
constexpr microseconds minHedgeDelay = 600 * millisecond;
/// A write that takes longer shows that the store is down or slow; new submissions are refused at
/// once instead of waiting for it.
constexpr microseconds slowWriteLimit = 1'000 * millisecond;
/// Delay after which a refused caller may retry while the store is down or slow.
constexpr microseconds storeRetryAfter = 2 * second;

/// Returns true if the backlog of changes does not fit into one write.
bool doesBacklogExceedWrite(leader_state &leaderState)
{
    std::size_t rows = 0;
    // Each ended job is counted with all its rows, not as a tombstone in place.
    leaderState.backlogExceedsWrite = false;
    for (const auto &[id, change] : leaderState.cell.unstored) {
        rows += estimateRows(leaderState, id);
    }
    return rows > changeRowsPerWrite;
}

void appendRows(leader_state &leaderState, const std::string &id, change_rows rows,
                table_write &write)
{
    write.expected.insert(write.expected.end(), rows.expected.begin(), rows.expected.end());
    std::move(rows.puts.begin(), rows.puts.end(), std::back_inserter(write.puts));
    write.removals.insert(write.removals.end(), rows.removals.begin(), rows.removals.end());
    if (rows.isNewJob) {
        leaderState.newJobsInWrite.push_back(id);
    }
    if (rows.endsInPlace) {
        leaderState.endedInPlace.push_back(id);
    }
    if (cell::job_state *job = cell::findJob(leaderState.cell, id)) {
        job->progressRows = std::max(job->progressRows, rows.progressRows);
    }
}

/// Logs what a change leaves out as there is no room, and a change that no write takes.
void noteLimits(entry_state &entry, const std::string &id, const change_rows &rows)
{
    if (rows.checkpointsLeftOut > 0) {
        entry.metrics.counters["checkpoints_not_stored_total"] += rows.checkpointsLeftOut;
        logEvent(entry, "checkpoints_not_stored",
                 {{"job", id}, {"checkpoints", std::to_string(rows.checkpointsLeftOut)}});
    }
    if (rows.itemsLeftOut > 0 || rows.size.rows > changeRowsPerWrite
        || rows.size.bytes > changeBytesPerWrite) {
        ++entry.metrics.counters["changes_too_large_total"];
        logEvent(entry, "change_too_large",
                 {{"job", id},
                  {"rows", std::to_string(rows.size.rows)},
                  {"bytes", std::to_string(rows.size.bytes)},
                  {"left_out", std::to_string(rows.itemsLeftOut)}});
    }
}

void buildWrite(entry_state &entry)
{
    leader_state &leaderState = *entry.leaderState;
    leaderState.newJobsInWrite.clear();
    leaderState.endedInPlace.clear();
    leaderState.backlogExceedsWrite = doesBacklogExceedWrite(leaderState);
    table_write write = makeHeadWrite(entry, leaderState.sequence + 1);
    const rejection_state &rejection = leaderState.rejection;
    const bool isIsolating = rejection.suspect.has_value()
        || rejection.changesPerWrite <= leaderState.cell.unstored.size();
    if (leaderState.membersChanged && !isIsolating) {
        write.puts.push_back({headTable, membersKey, encodeMembers(entry.members), 0, false});
        leaderState.membersChanged = false;
    }
    std::map<std::string, change_rows> prepared;
    const auto sizeOf = [&](const std::string &id) {
        if (rejection.suspect && *rejection.suspect != id) {
            return cell::write_size {changeRowsPerWrite + 1, 0}; // not in this write
        }
        const auto [rows, inserted] = prepared.try_emplace(id);
        if (inserted) {
            rows->second = makeChangeRows(entry, id);
            noteLimits(entry, id, rows->second);
        }
        return rows->second.size;
    };
    const cell::write_limits limits {changeRowsPerWrite, changeBytesPerWrite,
                                     rejection.changesPerWrite};
    for (const std::string &id : cell::beginWrite(leaderState.cell, limits, sizeOf)) {
        appendRows(leaderState, id, std::move(prepared.at(id)), write);
    }
    beginAttempts(entry, std::move(write));
}

void answerStoredWaiters(entry_state &entry, const std::vector<std::string> &ids,
                         answer_kind kind = answer_kind::accepted)
{
    leader_state &leaderState = *entry.leaderState;
    for (const std::string &id : ids) {
        const cell::job_state *job = cell::findJob(leaderState.cell, id);
        const auto range = leaderState.waiters.equal_range(id);
        for (auto waiter = range.first; waiter != range.second;) {
            const bool ready = job == nullptr
                || (waiter->second.kind == call_kind::submit ? job->stored : job->finalStored);
            if (!ready) {
                ++waiter;
                continue;
            }
            caller_answer answer;
            answer.kind = kind;
            waiter->second.answer(answer);
            waiter = leaderState.waiters.erase(waiter);
        }
    }
}

void endWrite(entry_state &entry, std::int64_t version)
{
    leader_state &leaderState = *entry.leaderState;
    const timestamp now = steadyNow();
    if (leaderState.rejection.isProbe) {
        endProbe(entry, version);
        return;
    }
    noteAcceptedWrite(leaderState.rejection);
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
    confirmByWrite(entry, leaderState.writeStartedAt);
    forgetSilentMembers(entry);
    leaderState.nextWriteAt = now + writeInterval;
    cell::onWritten(leaderState.cell, now);
    for (const std::string &id : leaderState.endedInPlace) {
        cell::recordChange(leaderState.cell, id, false);
    }
    answerStoredWaiters(entry, ids);
    for (const std::string &id : leaderState.newJobsInWrite) {
        leaderState.acceptedWall.erase(id); // stored in the job's row
        logEvent(entry, "job_stored", {{"job", id}, {"version", std::to_string(version)}});
    }
    requestDecision(entry);
}

/// Withdraws the submitted jobs that have already ended under an earlier scheduler, and answers
/// their callers that the job is accepted, or that it is another team's. The rest of the write is
/// built again.
void dropEndedJobs(entry_state &entry, const std::vector<stored_row> &rows)
{
    leader_state &leaderState = *entry.leaderState;
    cell::onWriteRefused(leaderState.cell);
    leaderState.membersChanged = true;
    leaderState.write.reset();
    for (const stored_row &row : rows) {
        const cell::job_state *job = cell::findJob(leaderState.cell, row.key);
        const std::string team = job == nullptr ? "" : job->spec.team;
        if (row.table == endedTable && row.version != 0
            && cell::withdrawJob(leaderState.cell, row.key)) {
            leaderState.acceptedWall.erase(row.key);
            logEvent(entry, "job_ended_before", {{"job", row.key}});
            const bool isOwnJob = mayUseJob(currentKeys(entry), decodeJobTeam(row.value), team);
            answerStoredWaiters(entry, {row.key},
                                isOwnJob ? answer_kind::accepted : answer_kind::forbidden);
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
        const bool isOwn =
            head && head->epoch == entry.epoch && head->incarnation == entry.incarnation;
        if (isOwn && leaderState.rejection.isProbe
            && head->sequence == leaderState.rejection.uncertainSequence) {
            resumeUncertainWrite(leaderState);
        }
        if (isOwn && head->sequence == leaderState.writeSequence) {
            endWrite(entry, row.version); // an earlier attempt had taken effect
            return;
        }
        if (head) {
            recordScheduler(entry, head->epoch, {head->scheduler, head->address}, steadyNow());
        }
        if (entry.leaderState) {
            stepDown(entry, "the head row was rewritten by another entry");
        }
        return;
    }
    dropEndedJobs(entry, result.rows);
}

/// Returns true if the answer is to be ignored: it belongs to an attempt of an earlier write, or it
/// is inconclusive and a newer attempt is under way.
bool isStale(const leader_state &leaderState, const store_result &result, std::int64_t attempt)
{
    const bool isConclusive = result.outcome == store_outcome::done
        || result.outcome == store_outcome::conflict || result.outcome == store_outcome::rejected;
    return !leaderState.write || attempt < leaderState.firstAttempt
        || (!isConclusive && attempt != leaderState.attemptCount);
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
    } else if (result.outcome == store_outcome::rejected) {
        onRejected(entry);
    } else {
        const bool refused = result.outcome == store_outcome::refused;
        if (!leaderState.hasWriteFailed) {
            logEvent(entry, "store_write_failed",
                     {{"outcome", refused ? "refused" : "unanswered"},
                      {"sequence", std::to_string(leaderState.writeSequence)}});
        }
        leaderState.hasWriteFailed = true;
        leaderState.writeMayHaveCommitted = leaderState.writeMayHaveCommitted || !refused;
        leaderState.nextWriteAt = steadyNow() + writeRetryDelay;
        if (!leaderState.writeMayHaveCommitted && !leaderState.rejection.isProbe) {
            const timestamp since = leaderState.writeStartedAt;
            cell::onWriteRefused(leaderState.cell);
            leaderState.membersChanged = true;
            buildWrite(entry);
            leaderState.writeStartedAt = since;
        }
    }
}

bool isWriteDue(const entry_state &entry, timestamp now)
{
    const leader_state &leaderState = *entry.leaderState;
    if (leaderState.write || needsVerification(entry)) {
        return true; // to be retried, or to verify the leadership
    }
    if (leaderState.cell.awaitsProof) {
        return true;
    }
    if (entry.members.size() > 1 && now > leaderState.confirmedAt + confirmationWriteDelay) {
        return true;
    }
    if (leaderState.membersChanged && now > leaderState.writtenAt + maxBackgroundWriteDelay) {
        return true;
    }
    return !leaderState.cell.unstored.empty()
        && (leaderState.cell.writeUrgent || now > leaderState.writtenAt + maxBackgroundWriteDelay);
}

} // namespace

bool isStoreSlow(const leader_state &leaderState, timestamp now)
{
    return leaderState.write && now > leaderState.writeStartedAt + slowWriteLimit;
}

timestamp expectedStoredAt(const leader_state &leaderState, timestamp now)
{
    microseconds took = leaderState.averageWriteTime;
    timestamp next = std::max(now, leaderState.nextWriteAt);
    if (leaderState.write) {
        const microseconds age = now - leaderState.writeStartedAt;
        took = std::max(took, age);
        next = now + (took - age) + writeInterval;
    }
    std::size_t rows = 0;
    for (const auto &[id, change] : leaderState.cell.unstored) {
        rows += change.urgent ? rowsPerNewJob : 0;
    }
    const std::size_t ahead = rows / urgentRowsPerWrite;
    return next + took + static_cast<microseconds>(ahead) * (took + writeInterval);
}

void advanceWrites(entry_state &entry)
{
    if (!entry.leaderState || entry.role != entry_role::scheduler) {
        return;
    }
    const net::duty_scope scope(&entry.meter, net::duty::store);
    leader_state &leaderState = *entry.leaderState;
    const timestamp now = steadyNow();
    const microseconds hedgeDelay = std::max(minHedgeDelay, 2 * leaderState.averageWriteTime);
    const bool isOverdue = leaderState.writeInFlight && now > leaderState.attemptedAt + hedgeDelay;
    if ((leaderState.writeInFlight && !isOverdue) || !isWriteDue(entry, now)) {
        return;
    }
    leaderState.writeMayHaveCommitted = leaderState.writeMayHaveCommitted || isOverdue;
    if (now < leaderState.nextWriteAt) {
        leaderState.writeWakeAt = leaderState.nextWriteAt;
        return;
    }
    leaderState.writeWakeAt = distantFuture;
    if (!leaderState.write && leaderState.handoverInFlight) {
        return;
    }
    // A busy scheduler is never without a write for long, so the time between two is used.
    if (isHandoverToLargerDue(entry, now)) {
        handOverToLarger(entry, now);
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
    entry.ports.store.write(*leaderState.write, now + writeTimeout,
                            [&entry, epoch = entry.epoch,
                             attempt = ++leaderState.attemptCount](const store_result &result) {
                                if (entry.leaderState && entry.epoch == epoch
                                    && !isStale(*entry.leaderState, result, attempt)) {
                                    onWriteResult(entry, result);
                                    requestDecision(entry);
                                }
                            });
}

void expireWaiters(entry_state &entry, timestamp now)
{
    leader_state &leaderState = *entry.leaderState;
    const bool storeSlow = isStoreSlow(leaderState, now);
    for (auto waiter = leaderState.waiters.begin(); waiter != leaderState.waiters.end();) {
        const bool expired = now >= waiter->second.expiresAt;
        const bool withdrawn = (expired || storeSlow) && waiter->second.kind == call_kind::submit
            && cell::withdrawJob(leaderState.cell, waiter->first);
        if (!expired && !withdrawn) {
            ++waiter;
            continue;
        }
        if (withdrawn) {
            leaderState.acceptedWall.erase(waiter->first);
        }
        caller_answer answer;
        answer.kind = withdrawn ? answer_kind::refused : answer_kind::unknown;
        answer.retryAfter = storeRetryAfter;
        answer.reason = "the table service did not store the change in time; retry the call";
        logEvent(
            entry, "call_given_up",
            {{"job", waiter->first},
             {"outcome", withdrawn ? "refused" : "unknown"},
             {"store_silent_ms", std::to_string((now - leaderState.writtenAt) / millisecond)}});
        waiter->second.answer(answer);
        waiter = leaderState.waiters.erase(waiter);
    }
}

} // namespace bramleygrade::entry
