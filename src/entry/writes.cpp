#include <algorithm>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Jobs in one write: each may take three of the 100 rows that a transaction holds.
constexpr std::size_t jobsPerWrite = 30;
/// Least time between two writes, so that more changes share one.
constexpr microseconds writePause = 15 * millisecond;
/// Longest time that a change for which nobody waits is kept back.
constexpr microseconds lazyPause = 150 * millisecond;
constexpr microseconds writePatience = 1'200 * millisecond;
constexpr microseconds retryPause = 80 * millisecond;
/// A write that takes longer than this shows a store that is down or slow: what would have to
/// wait for it is refused at once.
constexpr microseconds slowStore = 1'000 * millisecond;
/// Time after which a refused caller may come back.
constexpr microseconds refusedRetryAfter = 2 * second;

void addJobRows(entry_state &entry, const cell::job_state &job, table_write &write)
{
    scheduler_side &lead = *entry.lead;
    const std::string &id = job.spec.id;
    if (!job.stored) {
        write.expected.push_back({endedTable, id, 0});
        lead.new_in_write.push_back(id);
    }
    if (job.final_phase) {
        write.puts.push_back(
            {endedTable, id, encodeEnded({*job.final_phase, wallNow()}), 0, false});
        if (job.stored) {
            write.removals.push_back({jobTable, id, 0});
            write.removals.push_back({progressTable, id, 0});
        }
        return;
    }
    if (!job.stored) {
        write.puts.push_back({jobTable, id, encodeJob(job, lead.accepted_wall[id]), 0, false});
    }
    if (needsProgressRow(job)) {
        write.puts.push_back({progressTable, id, encodeProgress(job), 0, false});
    }
}

void buildWrite(entry_state &entry)
{
    scheduler_side &lead = *entry.lead;
    lead.new_in_write.clear();
    table_write write;
    write.expected.push_back({headTable, headKey, lead.head_version});
    lead.write_sequence = lead.sequence + 1;
    write.puts.push_back({headTable, headKey,
                          encodeHead({entry.epoch, lead.write_sequence, entry.settings.name,
                                      entry.settings.peer_address, entry.incarnation}),
                          0, false});
    if (lead.members_changed) {
        write.puts.push_back({headTable, membersKey, encodeMembers(entry.members), 0, false});
        lead.members_changed = false;
    }
    for (const std::string &id : cell::beginWrite(lead.cell, jobsPerWrite)) {
        if (id == cell::workerListChange) {
            write.puts.push_back(
                {headTable, workersKey, encodeWorkers(lead.cell.workers), 0, false});
        } else if (const cell::job_state *job = cell::findJob(lead.cell, id)) {
            addJobRows(entry, *job, write);
        }
    }
    lead.write = std::move(write);
    lead.write_unclear = false;
    lead.write_started_at = steadyNow();
}

void answerStored(entry_state &entry, const std::vector<std::string> &ids)
{
    scheduler_side &lead = *entry.lead;
    for (const std::string &id : ids) {
        const cell::job_state *job = cell::findJob(lead.cell, id);
        const auto range = lead.waiters.equal_range(id);
        for (auto place = range.first; place != range.second;) {
            const bool ready = job == nullptr
                || (place->second.kind == call_kind::submit ? job->stored : job->final_stored);
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
    observeLatency(entry.metrics, "store_write_seconds", now - lead.write_started_at);
    std::vector<std::string> ids;
    for (const auto &[id, change] : lead.cell.in_write) {
        ids.push_back(id);
    }
    lead.head_version = version;
    lead.sequence = lead.write_sequence;
    lead.write.reset();
    lead.written_at = now;
    lead.confirmed_at = now;
    lead.next_write_at = now + writePause;
    cell::onWritten(lead.cell, now);
    answerStored(entry, ids);
    for (const std::string &id : lead.new_in_write) {
        logEvent(entry, "job_stored", {{"job", id}, {"version", std::to_string(version)}});
    }
    wantDecision(entry);
}

/// Jobs that had ended under an earlier scheduler came again: they are known and run no more.
void forgetEndedBefore(entry_state &entry, const std::vector<stored_row> &rows)
{
    scheduler_side &lead = *entry.lead;
    cell::onWriteRefused(lead.cell);
    lead.members_changed = true;
    lead.write.reset();
    for (const stored_row &row : rows) {
        if (row.table == endedTable && row.version != 0 && cell::withdrawJob(lead.cell, row.key)) {
            logEvent(entry, "job_ended_before", {{"job", row.key}});
            answerStored(entry, {row.key});
        }
    }
}

void onConflict(entry_state &entry, const store_result &result)
{
    scheduler_side &lead = *entry.lead;
    for (const stored_row &row : result.rows) {
        if (row.table != headTable || row.key != headKey || row.version == lead.head_version) {
            continue;
        }
        const auto head = decodeHead(row.value);
        if (head && head->epoch == entry.epoch && head->sequence == lead.write_sequence
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

void onWriteResult(entry_state &entry, const store_result &result)
{
    scheduler_side &lead = *entry.lead;
    lead.write_in_flight = false;
    ++entry.metrics.counters["store_writes_total{outcome=\""
                             + std::to_string(static_cast<int>(result.outcome)) + "\"}"];
    if (result.outcome == store_outcome::done) {
        endWrite(entry, result.version);
    } else if (result.outcome == store_outcome::conflict) {
        onConflict(entry, result);
    } else {
        const bool refused = result.outcome == store_outcome::refused;
        logEvent(entry, "store_write_failed",
                 {{"outcome", refused ? "refused" : "unanswered"},
                  {"sequence", std::to_string(lead.write_sequence)}});
        lead.write_unclear = lead.write_unclear || !refused;
        lead.next_write_at = steadyNow() + retryPause;
        if (!lead.write_unclear) {
            const timestamp since = lead.write_started_at;
            cell::onWriteRefused(lead.cell);
            lead.members_changed = true;
            buildWrite(entry);
            lead.write_started_at = since;
        }
    }
}

bool isWriteDue(const scheduler_side &lead, timestamp now)
{
    if (lead.write) {
        return true; // one that has to be sent again
    }
    if (lead.members_changed && now > lead.written_at + lazyPause) {
        return true;
    }
    return !lead.cell.unsaved.empty()
        && (lead.cell.write_urgent || now > lead.written_at + lazyPause);
}

} // namespace

bool isStoreInTrouble(const scheduler_side &lead, timestamp now)
{
    return lead.write && now > lead.write_started_at + slowStore;
}

void pumpWrites(entry_state &entry)
{
    if (!entry.lead || entry.role != entry_role::scheduler) {
        return;
    }
    scheduler_side &lead = *entry.lead;
    const timestamp now = steadyNow();
    if (lead.write_in_flight || !isWriteDue(lead, now)) {
        return;
    }
    if (now < lead.next_write_at) {
        lead.write_wanted_at = lead.next_write_at;
        return;
    }
    lead.write_wanted_at = distantFuture;
    if (!lead.write) {
        buildWrite(entry);
    }
    lead.write_in_flight = true;
    entry.ports.store.write(*lead.write, now + writePatience,
                            [&entry, epoch = entry.epoch](const store_result &result) {
                                if (entry.lead && entry.epoch == epoch) {
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
        const bool over = now >= place->second.give_up_at;
        const bool untouched = (over || trouble) && place->second.kind == call_kind::submit
            && cell::withdrawJob(lead.cell, place->first);
        if (!over && !untouched) {
            ++place;
            continue;
        }
        caller_answer answer;
        answer.kind = untouched ? answer_kind::refused : answer_kind::unknown;
        answer.retry_after = refusedRetryAfter;
        answer.reason = "the table service does not answer";
        logEvent(entry, "call_given_up",
                 {{"job", place->first},
                  {"outcome", untouched ? "refused" : "unknown"},
                  {"store_silent_ms", std::to_string((now - lead.written_at) / millisecond)}});
        place->second.answer(answer);
        place = lead.waiters.erase(place);
    }
}

} // namespace bramleygrade::entry
