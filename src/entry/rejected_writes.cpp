#include "entry/rejected_writes.h"

#include <algorithm>

#include "cell/workers/worker_list.h"
#include "entry/change_rows.h"

namespace bramleygrade::entry {

namespace {

/// Pause before the next write while the store rejects writes without changes.
constexpr microseconds rejectedProbePause = 500 * millisecond;

std::size_t largestValue(const table_write &write)
{
    std::size_t largest = 0;
    for (const stored_row &row : write.puts) {
        largest = std::max(largest, row.value.size());
    }
    return largest;
}

/// Sends a write without changes next. If the write under way is uncertain, its changes stay part
/// of it.
void beginProbe(entry_state &entry)
{
    leader_state &leaderState = *entry.leaderState;
    leaderState.rejection.isProbe = true;
    leaderState.rejection.uncertainSequence = leaderState.writeSequence;
    beginAttempts(entry, makeHeadWrite(entry, leaderState.writeSequence + 1));
}

/// Answers the callers of a job that cannot be stored; it was not accepted and never runs.
void refuseJob(entry_state &entry, const std::string &id)
{
    leader_state &leaderState = *entry.leaderState;
    cell::withdrawJob(leaderState.cell, id);
    leaderState.acceptedWall.erase(id);
    const auto range = leaderState.waiters.equal_range(id);
    for (auto waiter = range.first; waiter != range.second;
         waiter = leaderState.waiters.erase(waiter)) {
        caller_answer answer;
        answer.kind = answer_kind::bad_request;
        answer.reason = "the table service rejects the job's row; the job was not accepted";
        waiter->second.answer(answer);
    }
}

/// Takes a change out of all writes that the store rejects by itself: a new job is refused, any
/// other one fails, as it could be forgotten at a takeover.
void setApart(entry_state &entry, const std::string &id)
{
    leader_state &leaderState = *entry.leaderState;
    const change_rows rows = makeChangeRows(entry, id);
    ++entry.metrics.counters["changes_rejected_total"];
    std::size_t largest = 0;
    for (const stored_row &row : rows.puts) {
        largest = std::max(largest, row.value.size());
    }
    logEvent(entry, "change_rejected",
             {{"job", id},
              {"table", rows.puts.empty() ? "" : rows.puts.back().table},
              {"row", rows.puts.empty() ? "" : rows.puts.back().key},
              {"bytes", std::to_string(rows.size.bytes)},
              {"largest_row_bytes", std::to_string(largest)}});
    const cell::job_state *job = cell::findJob(leaderState.cell, id);
    if (job != nullptr && !job->stored) {
        refuseJob(entry, id);
        return;
    }
    leaderState.cell.unstored.erase(id);
    if (cell::job_state *stored = cell::findJob(leaderState.cell, id)) {
        cell::orders out;
        cell::finishJob(leaderState.cell, *stored, cell::job_phase::failed, steadyNow(), out);
        runOrders(entry, out);
    }
}

/// Divides the changes of a write that was rejected and has had no effect.
void isolate(entry_state &entry)
{
    leader_state &leaderState = *entry.leaderState;
    rejection_state &rejection = leaderState.rejection;
    const std::size_t changes = leaderState.cell.inWrite.size();
    const std::string first =
        changes == 0 ? std::string() : leaderState.cell.inWrite.begin()->first;
    cell::onWriteRefused(leaderState.cell);
    leaderState.membersChanged = true;
    leaderState.write.reset();
    if (changes > 1) {
        rejection.changesPerWrite = changes / 2;
    } else if (changes == 1 && rejection.suspect == first) {
        rejection.suspect.reset();
        setApart(entry, first);
    } else if (changes == 1) {
        rejection.suspect = first;
        beginProbe(entry);
    } else {
        leaderState.nextWriteAt = steadyNow() + rejectedProbePause;
    }
}

} // namespace

table_write makeHeadWrite(entry_state &entry, std::int64_t sequence)
{
    leader_state &leaderState = *entry.leaderState;
    leaderState.writeSequence = sequence;
    table_write write;
    write.expected.push_back({headTable, headKey, leaderState.headVersion});
    write.puts.push_back({headTable, headKey,
                          encodeHead({entry.epoch, sequence, entry.settings.name,
                                      entry.settings.peerAddress, entry.incarnation}),
                          0, false});
    return write;
}

void beginAttempts(entry_state &entry, table_write write)
{
    leader_state &leaderState = *entry.leaderState;
    leaderState.write = std::move(write);
    leaderState.firstAttempt = leaderState.attemptCount + 1;
    leaderState.writeMayHaveCommitted = false;
    leaderState.writeStartedAt = steadyNow();
}

void onRejected(entry_state &entry)
{
    leader_state &leaderState = *entry.leaderState;
    const bool isUncertain = leaderState.writeMayHaveCommitted;
    logEvent(entry, "store_write_rejected",
             {{"sequence", std::to_string(leaderState.writeSequence)},
              {"changes", std::to_string(leaderState.cell.inWrite.size())},
              {"rows", std::to_string(leaderState.write->puts.size())},
              {"largest_row_bytes", std::to_string(largestValue(*leaderState.write))},
              {"uncertain", isUncertain ? "yes" : "no"}});
    if (leaderState.rejection.isProbe) {
        leaderState.nextWriteAt = steadyNow() + rejectedProbePause;
    } else if (isUncertain) {
        beginProbe(entry);
    } else {
        isolate(entry);
    }
}

void endProbe(entry_state &entry, std::int64_t version)
{
    leader_state &leaderState = *entry.leaderState;
    leaderState.rejection.isProbe = false;
    leaderState.headVersion = version;
    leaderState.sequence = leaderState.writeSequence;
    leaderState.write.reset();
    leaderState.writtenAt = steadyNow();
    if (!leaderState.cell.inWrite.empty()) {
        isolate(entry);
    }
    requestDecision(entry);
}

void resumeUncertainWrite(leader_state &leaderState)
{
    leaderState.rejection.isProbe = false;
    leaderState.writeSequence = leaderState.rejection.uncertainSequence;
}

void noteAcceptedWrite(rejection_state &rejection)
{
    constexpr std::size_t most = std::numeric_limits<std::size_t>::max();
    rejection.changesPerWrite =
        rejection.changesPerWrite > most / 2 ? most : rejection.changesPerWrite * 2;
    rejection.suspect.reset();
}

} // namespace bramleygrade::entry
