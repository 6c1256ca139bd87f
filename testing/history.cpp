#include "testing/history_run.h"

#include <algorithm>
#include <iostream>
#include <set>

#include "bramleygrade/json_codec.h"

namespace bramleygrade {

namespace {

constexpr microseconds sampleInterval = 40 * millisecond;

} // namespace

cell_options history_run::cellOptions(const history_options &options)
{
    cell_options cell;
    cell.seed = options.seed * 0x9e3779b97f4a7c15ull + 1;
    if (options.hasFaults) {
        cell.lossPerMille = 20;
        cell.duplicatePerMille = 20;
        cell.delayPerMille = 20;
        cell.tableLossPerMille = 20;
        cell.tableAnswerLossPerMille = 50;
        cell.tableDelayPerMille = 30;
        cell.answerLossPerMille = 20;
        cell.hasClockErrors = true;
    }
    return cell;
}

void history_run::trace(const std::string &text) const
{
    if (m_options.isTraced) {
        std::cout << (m_cell.now() - historyStart) / millisecond << " ms " << text << '\n';
    }
}

void history_run::scheduleCallers()
{
    const int count = 150 + static_cast<int>(m_cell.draw(150));
    for (int number = 0; number < count; ++number) {
        const timestamp when = randomTime(historyStart + warmUpTime / 2, end() - 8 * second);
        m_cell.at(when, [this, number, when] {
            const microseconds clockError =
                static_cast<microseconds>(m_cell.draw(200 * millisecond)) - 100 * millisecond;
            const std::string id =
                std::to_string((when + clockError) / millisecond) + "-" + std::to_string(number);
            request_record &record = m_requests[id];
            record.body = "body of " + id;
            record.isUnrepeatable = m_cell.draw(4) != 0;
            ++m_result.requests;
            sendAttempt(id);
        });
    }
}

void history_run::sendAttempt(const std::string &id)
{
    request_record &record = m_requests.at(id);
    const int entry = randomEntry();
    const cell_entry &target = m_cell.entries()[static_cast<std::size_t>(entry)];
    if (!target.isAlive) {
        scheduleRetry(id);
        return;
    }
    const microseconds timeout =
        500 * millisecond + static_cast<microseconds>(m_cell.draw(3 * second));
    const std::uint64_t handle = m_nextHandle++;
    m_openAttempts[handle] = {id, entry, target.generation, record.attempts > 0,
                              m_cell.now() + timeout + second};
    caller_request request;
    request.handle = handle;
    request.service = "booking";
    request.team = "salon-a";
    request.request_id = record.isUnrepeatable ? id : std::string();
    request.unrepeatable = record.isUnrepeatable;
    request.is_repeat = record.isUnrepeatable && record.attempts > 0;
    request.deadline = m_cell.localTime(entry) + timeout;
    request.path = "/reserve";
    request.body = record.body;
    ++record.attempts;
    ++record.open;
    m_cell.after(1000 + static_cast<microseconds>(m_cell.draw(2000)), [this, entry, request] {
        const cell_entry &reached = m_cell.entries()[static_cast<std::size_t>(entry)];
        const auto open = m_openAttempts.find(request.handle);
        if (open != m_openAttempts.end()) {
            open->second.hasArrived = reached.isAlive && m_cell.now() >= reached.pausedUntil;
        }
        m_cell.deliver(entry, request);
    });
    // A caller stops waiting when the connection ends without an answer; some retry early, while
    // the first attempt is open.
    const bool isEarlyRetry = m_cell.draw(8) == 0;
    m_cell.after(isEarlyRetry ? timeout / 4 : timeout + second, [this, id, handle] {
        if (m_openAttempts.count(handle) > 0) {
            scheduleRetry(id);
        }
    });
}

void history_run::scheduleRetry(const std::string &id)
{
    const request_record &record = m_requests.at(id);
    constexpr int maxAttempts = 5;
    if (!record.isFinished && record.isUnrepeatable && record.attempts < maxAttempts) {
        m_cell.after(static_cast<microseconds>(m_cell.draw(2 * second)), [this, id] {
            if (!m_requests.at(id).isFinished) {
                sendAttempt(id);
            }
        });
    }
}

void history_run::recordAnswer(int entry, const answer_caller &answered)
{
    const auto found = m_openAttempts.find(answered.handle);
    if (found == m_openAttempts.end()) {
        addViolation("duplicate answer for handle " + std::to_string(answered.handle));
        return;
    }
    const open_attempt attempt = found->second;
    m_openAttempts.erase(found);
    if (attempt.entry != entry) {
        addViolation("entry index " + std::to_string(entry)
                     + " answered a request that was sent to another entry");
    }
    request_record &record = m_requests.at(attempt.request);
    --record.open;
    trace("answer " + attempt.request + " " + wire::EnumNameoutcome(answered.outcome->outcome) + " "
          + answered.outcome->reason);
    switch (answered.outcome->outcome) {
    case outcome::done:
        record.wasReportedDone = true;
        record.isFinished = true;
        record.hasWrongBody = record.hasWrongBody
            || (answered.outcome->status == 200 && answered.outcome->body != record.body);
        ++m_result.done;
        return;
    case outcome::not_run: {
        // Final for a retry, where the answer comes from the request's home, and for a request that
        // was sent only once.
        const bool isFinal = attempt.isRepeat || record.attempts == 1;
        record.wasReportedNotRun = record.wasReportedNotRun || isFinal;
        record.isFinished = record.isFinished || isFinal;
        ++m_result.notRun;
        return;
    }
    case outcome::may_have_run:
        ++m_result.mayHaveRun;
        scheduleRetry(attempt.request);
        return;
    }
}

void history_run::applyChange(int number)
{
    static const std::vector<std::vector<std::string>> choices {
        {"domain-a", "domain-b", "domain-c"},
        {"domain-a", "domain-b"},
        {"domain-b", "domain-c"},
        {"domain-a", "domain-c"}};
    operator_request request;
    request.handle = m_nextHandle++;
    request.action = operator_action::apply;
    request.document = std::make_unique<service_document>();
    request.document->service = "booking";
    request.document->team = "carpathian";
    request.document->callers = {"salon-a"};
    request.document->allowed_domains = choices[m_cell.draw(choices.size())];
    request.document->quota_cpu_millis = 1'000'000 + number;
    request.document->quota_memory_mb = 1'000'000;
    // The operator knows the newest version or, in one of five cases, the previous one.
    std::uint64_t expected = 0;
    const auto row = m_cell.table().rows.find("document/booking");
    if (row != m_cell.table().rows.end()) {
        const auto value = parseJson<document_row>(row->second.value);
        expected = value ? value->sequence : 0;
    }
    request.expected = m_cell.draw(5) == 0 && expected > 0 ? expected - 1 : expected;
    m_operations[request.handle] = "apply";
    const int entry = randomEntry();
    m_cell.deliver(entry, request);
}

void history_run::scheduleOperators()
{
    for (int number = 0; number < 6; ++number) {
        m_cell.at(historyStart + (4 + number) * second, [this, number] {
            if (m_cell.documentChanges.empty()) {
                applyChange(number);
            }
        });
    }
    if (!m_options.hasOperators) {
        return;
    }
    for (std::uint64_t count = 2 + m_cell.draw(8); count > 0; --count) {
        const timestamp when = randomTime(historyStart + warmUpTime, end());
        const int number = static_cast<int>(count) + 100;
        m_cell.at(when, [this, number] { applyChange(number); });
        if (m_cell.draw(3) == 0) {
            m_cell.at(when + millisecond, [this, number] { applyChange(number + 100); });
        }
    }
}

void history_run::scheduleJobs()
{
    for (int number = 0; number < 12; ++number) {
        m_cell.at(randomTime(historyStart + warmUpTime, end() - 15 * second), [this, number] {
            operator_request request;
            request.handle = m_nextHandle++;
            request.action = operator_action::submit;
            request.job = std::make_unique<job_specification>();
            request.job->id = "job-" + std::to_string(number);
            request.job->service = "booking";
            request.job->task_count = 1 + static_cast<int>(m_cell.draw(4));
            request.job->cpu_millis = 500 + static_cast<std::int64_t>(m_cell.draw(3500));
            request.job->memory_mb = 500 + static_cast<std::int64_t>(m_cell.draw(7000));
            request.job->all_or_nothing = m_cell.draw(3) == 0;
            request.job->checkpointable = m_cell.draw(2) == 0;
            request.job->urgent = m_cell.draw(4) == 0;
            request.job->run_time_ms = static_cast<std::int64_t>(m_cell.draw(20'000));
            m_operations[request.handle] = "submit";
            m_cell.deliver(randomEntry(), request);
        });
    }
    for (int number = 0; number < 12; number += 3) {
        m_cell.at(randomTime(historyStart + warmUpTime, end()), [this, number] {
            operator_request request;
            request.handle = m_nextHandle++;
            request.action = operator_action::cancel;
            request.names = {"booking/job-" + std::to_string(number)};
            m_operations[request.handle] = "cancel";
            m_cell.deliver(randomEntry(), request);
        });
    }
}

void history_run::recordOperatorAnswer(const answer_operator &answered)
{
    const auto found = m_operations.find(answered.handle);
    if (found == m_operations.end()) {
        return;
    }
    trace("operator " + found->second + " " + wire::EnumNameoperator_outcome(answered.outcome) + " "
          + answered.text);
    if (answered.outcome == operator_outcome::accepted) {
        m_result.changesAccepted += found->second == "apply" ? 1 : 0;
        m_result.jobsAccepted += found->second == "submit" ? 1 : 0;
    }
    m_operations.erase(found);
}

void history_run::sampleAuthority()
{
    static const std::vector<std::string> shards {"documents", "home-0", "home-7",
                                                  "rack-1",    "rack-2", "rack-3"};
    const bool isOutage = isWithin(m_cell.tableOutages, m_cell.now());
    const bool isWarmedUp = m_cell.now() > historyStart + warmUpTime;
    for (const std::string &shard : shards) {
        int holders = 0;
        for (std::size_t index = 0; index < m_cell.entries().size(); ++index) {
            const cell_entry &entry = m_cell.entries()[index];
            holders += entry.isAlive
                    && holdsShardLease(*entry.core, shard,
                                       m_cell.localTime(static_cast<int>(index)))
                ? 1
                : 0;
        }
        if (holders > 1) {
            for (std::size_t index = 0; index < m_cell.entries().size(); ++index) {
                const cell_entry &entry = m_cell.entries()[index];
                const timestamp local = m_cell.localTime(static_cast<int>(index));
                if (entry.isAlive && holdsShardLease(*entry.core, shard, local)) {
                    trace(dumpState(*entry.core, local));
                }
            }
            addViolation(std::to_string(holders) + " entries act for " + shard + " at "
                         + std::to_string((m_cell.now() - historyStart) / millisecond) + " ms");
        }
        if (isWarmedUp) {
            ++m_result.samples;
            m_result.samplesHeld += holders > 0 ? 1 : 0;
            m_result.outageSamples += isOutage ? 1 : 0;
            m_result.outageSamplesHeld += isOutage && holders > 0 ? 1 : 0;
        }
    }
    m_cell.after(sampleInterval, [this] { sampleAuthority(); });
}

history_result history_run::run()
{
    m_cell.onAnswer = [this](int entry, const answer_caller &answered) {
        recordAnswer(entry, answered);
    };
    m_cell.onOperatorAnswer = [this](int, const answer_operator &answered) {
        recordOperatorAnswer(answered);
    };
    if (m_options.isTraced) {
        m_cell.onWorkerCall = [this](int entry, const worker_call &call) {
            trace("entry " + std::to_string(entry + 1) + " calls " + call.worker + " "
                  + wire::EnumNameworker_call_kind(call.kind) + " " + toJson(*call.order));
        };
        m_cell.onTransaction = [this](int entry, const table_request &request,
                                      const table_response &response) {
            for (const auto &row : response.rows) {
                trace("entry " + std::to_string(entry + 1) + " reads " + row->key + " version "
                      + std::to_string(row->version));
            }
            for (const auto &write : request.writes) {
                trace("entry " + std::to_string(entry + 1)
                      + (response.committed ? " wrote " : " failed to write ") + write->key + " "
                      + write->value);
            }
        };
    }
    m_cell.onDrained = [this](int entry) {
        trace("entry " + std::to_string(entry + 1) + " has drained");
        for (const auto &[handle, attempt] : m_openAttempts) {
            const cell_entry &target = m_cell.entries()[static_cast<std::size_t>(entry)];
            if (attempt.entry == entry && attempt.hasArrived
                && attempt.generation == target.generation) {
                addViolation("an entry drained without an answer to " + attempt.request);
            }
        }
        m_cell.killEntry(entry);
    };
    for (std::size_t index = 0; index < m_cell.entries().size(); ++index) {
        m_cell.startEntry(static_cast<int>(index));
    }
    scheduleOperators();
    if (m_options.hasFaults) {
        scheduleFaults();
    }
    if (m_options.hasCallers) {
        scheduleCallers();
    }
    if (m_options.hasJobs) {
        scheduleJobs();
    }
    sampleAuthority();
    m_cell.run(end());
    checkRequests();
    checkPlacements();
    checkTasks();
    return m_result;
}

history_result runHistory(const history_options &options)
{
    return history_run(options).run();
}

} // namespace bramleygrade
