#include "checks.h"

#include <algorithm>
#include <set>

#include "record.h"

namespace bramleygrade::soak {

namespace {

using runs_by_task = std::map<std::string, std::vector<const observed_run *>>;

runs_by_task groupByTask(const run_book &book)
{
    runs_by_task grouped;
    for (const observed_run &run : book.runs) {
        grouped[run.task].push_back(&run);
    }
    return grouped;
}

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

std::string describe(const observed_run &run)
{
    return "attempt " + std::to_string(run.attempt) + " on " + run.worker + " from "
        + recordTime(run.startedAt) + " (" + (run.endedAt == 0 ? "running" : run.how + " at ")
        + (run.endedAt == 0 ? "" : recordTime(run.endedAt)) + ")";
}

std::string inMs(microseconds time)
{
    return std::to_string(time / millisecond) + " ms";
}

} // namespace

std::vector<std::string> findRepeatedRuns(const run_book &book, timestamp now)
{
    std::vector<std::string> found;
    for (const auto &[task, runs] : groupByTask(book)) {
        for (std::size_t later = 1; later < runs.size(); ++later) {
            for (std::size_t earlier = 0; earlier < later; ++earlier) {
                const observed_run &first = *runs[earlier];
                const observed_run &second = *runs[later];
                const timestamp end = first.endedAt == 0 ? now : first.endedAt;
                if (second.startedAt < end) {
                    found.push_back(task + " runs twice: " + describe(first) + ", and "
                                    + inMs(end - second.startedAt) + " before its end "
                                    + describe(second));
                } else if (first.how == "done" && first.acknowledgedAt != 0 && !first.isLost) {
                    found.push_back(task + " starts after its acknowledged end: " + describe(first)
                                    + ", and " + inMs(second.startedAt - end) + " later "
                                    + describe(second));
                }
            }
        }
    }
    return found;
}

microseconds longestSilence(const run_book &book)
{
    microseconds longest = 0;
    for (const auto &[task, runs] : groupByTask(book)) {
        for (std::size_t next = 1; next < runs.size(); ++next) {
            const observed_run &lost = *runs[next - 1];
            if (lost.how == "crashed") {
                longest = std::max(longest, runs[next]->startedAt - lost.endedAt);
            }
        }
    }
    return longest;
}

std::vector<std::string> findUnwantedRuns(const run_book &book,
                                          const std::map<std::string, client_job> &jobs,
                                          timestamp cancelledBefore)
{
    std::vector<std::string> found;
    for (const observed_run &run : book.runs) {
        const auto job = jobs.find(jobOf(run.task));
        if (run.endedAt == 0 && job != jobs.end() && job->second.cancelledAt != 0
            && job->second.cancelledAt < cancelledBefore) {
            found.push_back(run.task + " of a cancelled job runs on: " + describe(run));
        }
    }
    return found;
}

std::vector<std::string> findLostJobs(const run_book &book,
                                      const std::map<std::string, client_job> &jobs)
{
    std::map<std::string, std::set<std::string>> done;
    std::map<std::string, int> crashes;
    for (const observed_run &run : book.runs) {
        const std::string job = jobOf(run.task);
        crashes[job] += run.how == "crashed" ? 1 : 0;
        if (run.how == "done") {
            const bool isGang = book.jobs.at(job).front().gang;
            done[job].insert(isGang ? "all" : run.task);
        }
    }
    std::vector<std::string> found;
    for (const auto &[id, job] : jobs) {
        if (!job.accepted || job.isCancelRequested) {
            continue;
        }
        const step_behaviour &step = book.jobs.at(id).front();
        const std::size_t needed = step.gang ? 1 : static_cast<std::size_t>(step.count);
        if (job.state == "completed" && done[id].size() < needed) {
            found.push_back(id + " is shown as completed with " + std::to_string(done[id].size())
                            + " of " + std::to_string(needed) + " tasks done");
        } else if (job.state != "completed" && !(job.state == "failed" && crashes[id] >= 2)) {
            found.push_back(id + " is not completed: " + job.state);
        }
    }
    return found;
}

} // namespace bramleygrade::soak
