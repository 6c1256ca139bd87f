#include <algorithm>

#include "bramleygrade/json_codec.h"
#include "testing/cell_fake.h"

namespace bramleygrade {

namespace {

constexpr microseconds callTimeout = 2 * second;
constexpr microseconds answerGrace = 200 * millisecond;
constexpr int statusOk = 200;
constexpr int statusFailed = 500;

} // namespace

int cell_fake::indexOfWorker(const std::string &name) const
{
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        if (m_workers[index].tasks.info.name == name) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

void cell_fake::finishAttempt(int index, const dispatch_request &wanted, endpoint_outcome outcome,
                              int status, const std::string &body)
{
    endpoint_result result;
    result.attempt = wanted.attempt;
    result.outcome = outcome;
    result.status = status;
    result.body = body;
    deliver(index, result);
}

void cell_fake::sendRequest(int index, const dispatch_request &wanted)
{
    const cell_entry &entry = m_entries[static_cast<std::size_t>(index)];
    if (!entry.isAlive) {
        return;
    }
    if (m_now < entry.pausedUntil) {
        at(entry.pausedUntil, [this, index, wanted] { sendRequest(index, wanted); });
        return;
    }
    if (localTime(index) >= wanted.start_by) {
        finishAttempt(index, wanted, endpoint_outcome::too_late, 0, "");
        return;
    }
    ++counters.dispatches;
    after(networkDelay(), [this, index, wanted] { arriveAtEndpoint(index, wanted); });
}

void cell_fake::arriveAtEndpoint(int index, const dispatch_request &wanted)
{
    const int target = indexOfWorker(wanted.worker);
    cell_worker &worker = m_workers[static_cast<std::size_t>(target)];
    if (!worker.isAlive) {
        finishAttempt(index, wanted, endpoint_outcome::not_sent, 0, "");
        return;
    }
    const timestamp lostAt = m_now
        + std::max<microseconds>(wanted.deadline + answerGrace - localTime(index), millisecond);
    const auto reportLost = [this, index, wanted] {
        finishAttempt(index, wanted, endpoint_outcome::lost, 0, "");
    };
    if (isWithin(worker.silentWindows, m_now)) {
        at(lostAt, reportLost);
        return;
    }
    if (worker.failsRequests) {
        finishAttempt(index, wanted, endpoint_outcome::answered, statusFailed, "failed");
        return;
    }
    if (worker.activeRequests >= worker.tasks.info.slots) {
        finishAttempt(index, wanted, endpoint_outcome::refused, 0, "");
        return;
    }
    ++worker.activeRequests;
    worker.peakActiveRequests = std::max(worker.peakActiveRequests, worker.activeRequests);
    runs.push_back(
        {wanted.request_id, wanted.body, wanted.worker, worker.tasks.info.failure_domain, m_now});
    const microseconds mean = m_options.answerTime * worker.slowFactor;
    const microseconds duration = mean / 2 + static_cast<microseconds>(draw(mean));
    const bool isLost = drawBernoulli(m_options.answerLossPerMille);
    if (isLost) {
        at(lostAt, reportLost);
    }
    after(duration, [this, index, target, wanted, isLost] {
        --m_workers[static_cast<std::size_t>(target)].activeRequests;
        if (!isLost) {
            after(networkDelay(), [this, index, wanted] {
                finishAttempt(index, wanted, endpoint_outcome::answered, statusOk, wanted.body);
            });
        }
    });
}

void cell_fake::callWorker(int index, const worker_call &wanted)
{
    const cell_entry &entry = m_entries[static_cast<std::size_t>(index)];
    if (!entry.isAlive) {
        return;
    }
    if (m_now < entry.pausedUntil) {
        at(entry.pausedUntil, [this, index, wanted] { callWorker(index, wanted); });
        return;
    }
    ++counters.workerCalls;
    const timestamp askedAt = localTime(index);
    after(networkDelay(),
          [this, index, wanted, askedAt] { arriveAtWorker(index, wanted, askedAt); });
}

void cell_fake::arriveAtWorker(int index, const worker_call &wanted, timestamp askedAt)
{
    cell_worker &worker = m_workers[static_cast<std::size_t>(indexOfWorker(wanted.worker))];
    worker_result result;
    result.call = wanted.call;
    result.worker = wanted.worker;
    result.kind = wanted.kind;
    result.asked_at = askedAt;
    result.order = std::make_unique<task_order>(*wanted.order);
    result.reached = worker.isAlive;
    if (onWorkerCall) {
        onWorkerCall(index, wanted);
    }
    const bool isSilent = isWithin(worker.silentWindows, m_now);
    if (worker.isAlive && !isSilent) {
        const task_order &order = *wanted.order;
        advanceTime(worker.tasks, m_now);
        result.accepted = true;
        switch (wanted.kind) {
        case worker_call_kind::poll:
            renewLeases(worker.tasks, order.lease_until, m_now);
            break;
        case worker_call_kind::start:
            result.accepted = startTaskOn(worker.tasks, order, m_now);
            break;
        case worker_call_kind::stop:
            stopTaskOn(worker.tasks, order, m_now);
            break;
        case worker_call_kind::checkpoint:
            checkpointTaskOn(worker.tasks, order, m_now);
            break;
        case worker_call_kind::forget:
            forgetTaskOn(worker.tasks, order, m_now);
            break;
        }
        worker_report report = makeReport(worker.tasks, worker.activeRequests, order.known_version);
        report.is_leaving = m_now >= worker.leavingSince;
        counters.workerBytes += toJson(order).size() + toJson(report).size();
        result.seen = std::make_unique<worker_report>(std::move(report));
    }
    const bool isLost = worker.isAlive && (isSilent || drawBernoulli(m_options.answerLossPerMille));
    if (isLost) {
        result.seen = nullptr;
        result.accepted = false;
    }
    after(isLost ? callTimeout : networkDelay(), [this, index, result] { deliver(index, result); });
}

} // namespace bramleygrade
