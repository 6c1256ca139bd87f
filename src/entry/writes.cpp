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
bool endsInPlace(const scheduler_side &lead, const cell::job_state &job)
{
    return lead.crowded && job.finalPhase && job.stored && !job.finalStored;
}

/// Rows that `addJobRows` adds for the job, or one for the list of workers.
std::size_t rowsOf(scheduler_side &lead, const std::string &id)
{
    const cell::job_state *job = cell::findJob(lead.cell, id);
    if (job == nullptr || endsInPlace(lead, *job)) {
        return 1;
    }
    if (job->finalPhase) {
        return job->stored ? 3 : 2;
    }
    return (job->stored ? 0 : 2) + (needsProgressRow(*job) ? 1 : 0);
}

/// Whether the changes that wait do not fit into one write.
bool isCrowded(scheduler_side &lead)
{
    std::size_t rows = 0;
    lead.crowded = false;
    for (const auto &[id, change] : lead.cell.unsaved) {
        rows += rowsOf(lead, id);
    }
    return rows > changeRowsPerWrite;
}

void addEnd(scheduler_side &lead, const cell::job_state &job, table_write &write)
{
    const std::string &id = job.spec.id;
    const std::string value = encodeEnded({*job.finalPhase, wallNow()});
    if (endsInPlace(lead, job)) {
        write.puts.push_back({jobTable, id, value, 0, false});
        lead.endedInPlace.push_back(id);
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
    scheduler_side &lead = *entry.lead;
    const std::string &id = job.spec.id;
    if (!job.stored) {
        write.expected.push_back({endedTable, id, 0});
        lead.newInWrite.push_back(id);
    }
    if (job.finalPhase) {
        addEnd(lead, job, write);
        return;
    }
    if (!job.stored) {
        write.puts.push_back({jobTable, id, encodeJob(job, lead.acceptedWall[id]), 0, false});
    }
    if (needsProgressRow(job)) {
        write.puts.push_back({progressTable, id, encodeProgress(job), 0, false});
    }
}

void buildWrite(entry_state &entry)
{
    scheduler_side &lead = *entry.lead;
    lead.newInWrite.clear();
    lead.endedInPlace.clear();
    lead.crowded = isCrowded(lead);
    table_write write;
    write.expected.push_back({headTable, headKey, lead.headVersion});
    lead.writeSequence = lead.sequence + 1;
    write.puts.push_back({headTable, headKey,
                          encodeHead({entry.epoch, lead.writeSequence, entry.settings.name,
                                      entry.settings.peerAddress, entry.incarnation}),
                          0, false});
    if (lead.membersChanged) {
        write.puts.push_back({headTable, membersKey, encodeMembers(entry.members), 0, false});
        lead.membersChanged = false;
    }
    for (const std::string &id :
         cell::beginWrite(lead.cell, changeRowsPerWrite,
                          [&lead](const std::string &job) { return rowsOf(lead, job); })) {
        if (id == cell::workerListChange) {
            write.puts.push_back(
                {headTable, workersKey, encodeWorkers(lead.cell.workers), 0, false});
        } else if (const cell::job_state *job = cell::findJob(lead.cell, id)) {
            addJobRows(entry, *job, write);
        }
    }
    lead.write = std::move(write);
    lead.firstTry = lead.tries + 1;
    lead.writeUnclear = false;
    lead.writeStartedAt = steadyNow();
}

void answerStored(entry_state &entry, const std::vector<std::string> &ids)
{
    scheduler_side &lead = *entry.lead;
    for (const std::string &id : ids) {
        const cell::job_state *job = cell::findJob(lead.cell, id);
        const auto range = lead.waiters.equal_range(id);
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
            place = lead.waiters.erase(place);
        }
    }
}

void endWrite(entry_state &entry, std::int64_t version)
{
    scheduler_side &lead = *entry.lead;
    const timestamp now = steadyNow();
    const microseconds took = now - lead.writeStartedAt;
    observeLatency(entry.metrics, "store_write_seconds", took);
    lead.writeTook = (lead.writeTook + took) / 2;
    if (lead.writeFailed) {
        logEvent(entry, "store_write_done",
                 {{"sequence", std::to_string(lead.writeSequence)},
                  {"took_ms", std::to_string(took / millisecond)}});
        lead.writeFailed = false;
    }
    std::vector<std::string> ids;
    for (const auto &[id, change] : lead.cell.inWrite) {
        ids.push_back(id);
    }
    lead.headVersion = version;
    lead.sequence = lead.writeSequence;
    lead.write.reset();
    lead.writtenAt = now;
    lead.confirmedAt = now;
    lead.nextWriteAt = now + writePause;
    cell::onWritten(lead.cell, now);
    for (const std::string &id : lead.endedInPlace) {
        cell::noteChange(lead.cell, id, false);
    }
    answerStored(entry, ids);
    for (const std::string &id : lead.newInWrite) {
        lead.acceptedWall.erase(id); // its row holds the time now
        logEvent(entry, "job_stored", {{"job", id}, {"version", std::to_string(version)}});
    }
    wantDecision(entry);
}

/// Jobs that had ended under an earlier scheduler came again: they are known and run no more.
void forgetEndedBefore(entry_state &entry, const std::vector<stored_row> &rows)
{
    scheduler_side &lead = *entry.lead;
    cell::onWriteRefused(lead.cell);
    lead.membersChanged = true;
    lead.write.reset();
    for (const stored_row &row : rows) {
        if (row.table == endedTable && row.version != 0 && cell::withdrawJob(lead.cell, row.key)) {
            lead.acceptedWall.erase(row.key);
            logEvent(entry, "job_ended_before", {{"job", row.key}});
            answerStored(entry, {row.key});
        }
    }
}

void onConflict(entry_state &entry, const store_result &result)
{
    scheduler_side &lead = *entry.lead;
    for (const stored_row &row : result.rows) {
        if (row.table != headTable || row.key != headKey || row.version == lead.headVersion) {
            continue;
        }
        const auto head = decodeHead(row.value);
        if (head && head->epoch == entry.epoch && head->sequence == lead.writeSequence
            && head->incarnation == entry.incarnation) {
            endWrite(entry, row.version); // an earlier try had taken effect
            return;
        }
        if (head) {
            noteScheduler(entry, head->epoch, {head->scheduler, head->address}, steadyNow());
        }
        if (entry.lead) {
            stepDown(entry, "the head row has changed");
        }
        return;
    }
    forgetEndedBefore(entry, result.rows);
}

/// Whether the answer changes nothing any more: it is to a try of an earlier write, or it tells
/// nothing of a try beside which a newer one is under way.
bool isStale(const scheduler_side &lead, const store_result &result, std::int64_t tried)
{
    const bool telling =
        result.outcome == store_outcome::done || result.outcome == store_outcome::conflict;
    return !lead.write || tried < lead.firstTry || (!telling && tried != lead.tries);
}

void onWriteResult(entry_state &entry, const store_result &result)
{
    scheduler_side &lead = *entry.lead;
    lead.writeInFlight = false;
    ++entry.metrics.counters["store_writes_total{outcome=\""
                             + std::to_string(static_cast<int>(result.outcome)) + "\"}"];
    if (result.outcome == store_outcome::done) {
        endWrite(entry, result.version);
    } else if (result.outcome == store_outcome::conflict) {
        onConflict(entry, result);
    } else {
        const bool refused = result.outcome == store_outcome::refused;
        if (!lead.writeFailed) {
            logEvent(entry, "store_write_failed",
                     {{"outcome", refused ? "refused" : "unanswered"},
                      {"sequence", std::to_string(lead.writeSequence)}});
        }
        lead.writeFailed = true;
        lead.writeUnclear = lead.writeUnclear || !refused;
        lead.nextWriteAt = steadyNow() + retryPause;
        if (!lead.writeUnclear) {
            const timestamp since = lead.writeStartedAt;
            cell::onWriteRefused(lead.cell);
            lead.membersChanged = true;
            buildWrite(entry);
            lead.writeStartedAt = since;
        }
    }
}

bool isWriteDue(const scheduler_side &lead, timestamp now)
{
    if (lead.write) {
        return true; // one that has to be sent again
    }
    if (lead.membersChanged && now > lead.writtenAt + lazyPause) {
        return true;
    }
    return !lead.cell.unsaved.empty()
        && (lead.cell.writeUrgent || now > lead.writtenAt + lazyPause);
}

} // namespace

bool isStoreInTrouble(const scheduler_side &lead, timestamp now)
{
    return lead.write && now > lead.writeStartedAt + slowStore;
}

timestamp expectedStoredAt(const scheduler_side &lead, timestamp now)
{
    microseconds took = lead.writeTook;
    timestamp next = std::max(now, lead.nextWriteAt);
    if (lead.write) {
        const microseconds age = now - lead.writeStartedAt;
        took = std::max(took, age);
        next = now + (took - age) + writePause;
    }
    std::size_t rows = 0;
    for (const auto &[id, change] : lead.cell.unsaved) {
        rows += change.urgent ? rowsPerChange : 0;
    }
    const std::size_t ahead = rows / urgentRowsPerWrite;
    return next + took + static_cast<microseconds>(ahead) * (took + writePause);
}

void pumpWrites(entry_state &entry)
{
    if (!entry.lead || entry.role != entry_role::scheduler) {
        return;
    }
    scheduler_side &lead = *entry.lead;
    const timestamp now = steadyNow();
    const microseconds patience = std::max(secondTryAfter, 2 * lead.writeTook);
    const bool silent = lead.writeInFlight && now > lead.triedAt + patience;
    if ((lead.writeInFlight && !silent) || !isWriteDue(lead, now)) {
        return;
    }
    lead.writeUnclear = lead.writeUnclear || silent;
    if (now < lead.nextWriteAt) {
        lead.writeWantedAt = lead.nextWriteAt;
        return;
    }
    lead.writeWantedAt = distantFuture;
    if (!lead.write && lead.handoverInFlight) {
        return;
    }
    if (!lead.write && lead.handoverWanted && !lead.writeBeforeHandover) {
        handOver(entry, [](bool) {});
        return;
    }
    if (!lead.write) {
        lead.writeBeforeHandover = false;
        buildWrite(entry);
    }
    lead.writeInFlight = true;
    lead.triedAt = now;
    entry.ports.store.write(
        *lead.write, now + writePatience,
        [&entry, epoch = entry.epoch, tried = ++lead.tries](const store_result &result) {
            if (entry.lead && entry.epoch == epoch && !isStale(*entry.lead, result, tried)) {
                onWriteResult(entry, result);
                wantDecision(entry);
            }
        });
}

void expireWaiters(entry_state &entry, timestamp now)
{
    scheduler_side &lead = *entry.lead;
    const bool trouble = isStoreInTrouble(lead, now);
    for (auto place = lead.waiters.begin(); place != lead.waiters.end();) {
        const bool over = now >= place->second.giveUpAt;
        const bool untouched = (over || trouble) && place->second.kind == call_kind::submit
            && cell::withdrawJob(lead.cell, place->first);
        if (!over && !untouched) {
            ++place;
            continue;
        }
        if (untouched) {
            lead.acceptedWall.erase(place->first);
        }
        caller_answer answer;
        answer.kind = untouched ? answer_kind::refused : answer_kind::unknown;
        answer.retryAfter = refusedRetryAfter;
        answer.reason = "the table service does not answer";
        logEvent(entry, "call_given_up",
                 {{"job", place->first},
                  {"outcome", untouched ? "refused" : "unknown"},
                  {"store_silent_ms", std::to_string((now - lead.writtenAt) / millisecond)}});
        place->second.answer(answer);
        place = lead.waiters.erase(place);
    }
}

} // namespace bramleygrade::entry
