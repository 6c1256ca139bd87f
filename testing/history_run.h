#pragma once

#include <map>
#include <set>
#include <string>

#include "testing/history.h"

/// \file
/// The course of one history; see history.h for what it is for.

namespace bramleygrade {

/// Time in which the cell forms before anything is broken.
constexpr microseconds warmUpTime = 15 * second;

/// What callers know of one request.
struct request_record
{
    std::string body;
    bool isUnrepeatable = false;
    int attempts = 0;
    int open = 0;
    bool isOver = false;
    bool toldDone = false;
    bool toldNotRun = false;
    bool gotWrongBody = false;
};

struct open_attempt
{
    std::string request;
    int entry = 0;
    std::uint64_t generation = 0;
    bool isRepeat = false;
    /// An entry that lives has answered by then.
    timestamp answerBy = 0;
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
    void repeatLater(const std::string &id);
    void noteAnswer(int entry, const answer_caller &answered);
    void scheduleOperators();
    void applyChange(int number);
    void scheduleJobs();
    void noteOperatorAnswer(const answer_operator &answered);
    void sampleAuthority();
    void judgeRequests();
    void judgePlaces();
    void judgeTasks();
    void violate(std::string text) { m_result.violations.push_back(std::move(text)); }
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
    std::map<std::uint64_t, open_attempt> m_open;
    std::map<std::uint64_t, std::string> m_operations;
    std::uint64_t m_nextHandle = 1;
};

} // namespace bramleygrade
