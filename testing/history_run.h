#pragma once

#include <map>
#include <set>
#include <string>

#include "testing/history.h"

/// \file
/// Execution of one history; see history.h for its purpose.

namespace bramleygrade {

/// Time for the cell to form before faults are injected.
constexpr microseconds warmUpTime = 15 * second;

/// The callers' view of one request.
struct request_record
{
    std::string body;
    bool isUnrepeatable = false;
    int attempts = 0;
    int open = 0;
    bool isFinished = false;
    bool wasReportedDone = false;
    bool wasReportedNotRun = false;
    bool hasWrongBody = false;
};

struct open_attempt
{
    std::string request;
    int entry = 0;
    std::uint64_t generation = 0;
    bool isRepeat = false;
    /// A live entry must have answered by this time.
    timestamp answerDeadline = 0;
    bool hasArrived = false;
};

class history_run
{
public:
    explicit history_run(const history_options &options)
        : m_options(options)
        , m_cell(cellOptions(options))
    {
    }

    history_result run();

private:
    static cell_options cellOptions(const history_options &options);
    void scheduleFaults();
    void scheduleEntryFaults(timestamp from, timestamp until);
    void scheduleWorkerFaults(timestamp from, timestamp until);
    void scheduleCallers();
    void sendAttempt(const std::string &id);
    void scheduleRetry(const std::string &id);
    void recordAnswer(int entry, const answer_caller &answered);
    void scheduleOperators();
    void applyChange(int number);
    void scheduleJobs();
    void recordOperatorAnswer(const answer_operator &answered);
    void sampleAuthority();
    void checkRequests();
    void checkPlacements();
    void checkTasks();
    void addViolation(std::string text) { m_result.violations.push_back(std::move(text)); }
    void trace(const std::string &text) const;
    timestamp randomTime(timestamp from, timestamp until)
    {
        return from + static_cast<timestamp>(m_cell.draw(static_cast<std::uint64_t>(until - from)));
    }
    timestamp end() const { return historyStart + m_options.length; }
    int randomEntry() { return static_cast<int>(m_cell.draw(m_cell.entries().size())); }

    history_options m_options;
    cell_fake m_cell;
    history_result m_result;
    std::map<std::string, request_record> m_requests;
    std::map<std::uint64_t, open_attempt> m_openAttempts;
    std::map<std::uint64_t, std::string> m_operations;
    std::uint64_t m_nextHandle = 1;
};

} // namespace bramleygrade
