#include <algorithm>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

constexpr microseconds lookupTimeout = 800 * millisecond;

/// Reads one row of `table` and passes it to `found`, or null if it does not exist. If the read
/// fails, passes a failed lookup to `done` instead.
void readRow(entry_state &entry, const char *table, const std::string &key,
             const lookup_completion &done, const std::function<void(const stored_row *)> &found)
{
    entry.ports.store.read(
        {table, key, key + "!", true}, {steadyNow() + lookupTimeout, distantPast, {}},
        [key, done, found](const store_result &result) {
            if (result.outcome != store_outcome::done) {
                done({});
                return;
            }
            const auto row =
                std::find_if(result.rows.begin(), result.rows.end(),
                             [&](const stored_row &candidate) { return candidate.key == key; });
            found(row == result.rows.end() ? nullptr : &*row);
        });
}

job_lookup makeLookup(std::optional<cell::job_phase> phase, const std::string &team = "")
{
    job_lookup lookup;
    lookup.outcome = phase ? lookup_outcome::found : lookup_outcome::no_such_job;
    lookup.phase = phase.value_or(cell::job_phase::queued);
    lookup.team = team;
    return lookup;
}

/// Passes the phase of an ended job to `done`, and calls `otherwise` if the job has not ended.
void lookUpEndedJob(entry_state &entry, const std::string &job, const lookup_completion &done,
                    const std::function<void()> &otherwise)
{
    readRow(entry, endedTable, job, done, [done, otherwise](const stored_row *row) {
        if (const auto ended = row == nullptr ? std::nullopt : decodeEnded(row->value)) {
            done(makeLookup(ended->phase, ended->team));
        } else {
            otherwise();
        }
    });
}

void lookUpProgress(entry_state &entry, const std::string &job, const std::string &team,
                    const lookup_completion &done)
{
    readRow(entry, progressTable, job, done, [team, done](const stored_row *row) {
        const bool hasBegun = row != nullptr && showsBegin(row->value);
        done(makeLookup(hasBegun ? cell::job_phase::running : cell::job_phase::queued, team));
    });
}

void lookUpLiveJob(entry_state &entry, const std::string &job, const lookup_completion &done)
{
    readRow(entry, jobTable, job, done, [&entry, job, done](const stored_row *row) {
        if (row == nullptr) {
            // The job may have ended, and moved to the other table, since that was read.
            lookUpEndedJob(entry, job, done, [done] { done(makeLookup(std::nullopt)); });
        } else if (const auto ended = decodeEnded(row->value)) {
            done(makeLookup(ended->phase, ended->team));
        } else {
            lookUpProgress(entry, job, decodeJobTeam(row->value), done);
        }
    });
}

} // namespace

void lookUpJob(entry_state &entry, const std::string &job, const lookup_completion &done)
{
    // Most jobs that are looked up have ended.
    lookUpEndedJob(entry, job, done, [&entry, job, done] { lookUpLiveJob(entry, job, done); });
}

} // namespace bramleygrade::entry
