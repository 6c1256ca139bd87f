#include "testing/cell/cell_history.h"

#include <algorithm>

#include "cell/workers/worker_list.h"
#include "entry/rows.h"
#include "testing/cell/history_state.h"

namespace bramleygrade::testing {

namespace {

using cell::order_outcome;

constexpr microseconds orderTimeout = 400 * millisecond;
constexpr microseconds tickInterval = 20 * millisecond;
constexpr microseconds pollWait = 200 * millisecond;
/// A scheduler that is unconfirmed for this long gives no orders, as in `entry::tickLeader`.
constexpr microseconds confirmationTimeout = 2'500 * millisecond;
/// Longest time for which a scheduler is confirmed after its successor took over, as in
/// `entry::startLeading`.
constexpr microseconds takeoverNoticeTime = 500 * millisecond;
/// Time after the faults stop within which all jobs must end.
constexpr microseconds drainTimeout = 60 * second;
/// The same where teams have caps, which leave a team a sixth of the workers.
constexpr microseconds cappedDrainTimeout = 120 * second;
constexpr std::size_t maxRowsPerWrite = 30;
/// Probability that a write of an ended job stores a tombstone in place of the job's row.
constexpr double tombstoneProbability = 0.5;

} // namespace

void cell_history::state::scheduleAt(timestamp when, std::function<void()> run)
{
    events.emplace(std::max(when, now), timed_event {++eventCount, std::move(run)});
}

bool cell_history::state::drawBool(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

microseconds cell_history::state::drawBetween(microseconds minimum, microseconds maximum)
{
    return std::uniform_int_distribution<microseconds>(minimum, maximum)(random);
}

void cell_history::state::scheduleRecurring(microseconds meanInterval,
                                            const std::function<void()> &run)
{
    if (meanInterval == 0) {
        return;
    }
    scheduleAt(now + drawBetween(meanInterval / 2, meanInterval * 3 / 2),
               [this, meanInterval, run] {
                   if (!faultsStopped) {
                       run();
                       scheduleRecurring(meanInterval, run);
                   }
               });
}

void cell_history::state::takeOver()
{
    const auto successor = std::make_shared<simulated_scheduler>();
    successor->cell.settings.pollWait = pollWait;
    successor->cell.settings.predecessorGrace = takeoverNoticeTime;
    cell::beginEpoch(successor->cell, ++store.epoch, now);
    const std::size_t versions = record.capVersions.size();
    const bool isLate = versions > 1 && drawBool(0.5)
        && now < record.capVersions.back().storedAt + configAdoptionTime;
    cell::changeConfig(successor->cell, makeConfig(isLate ? versions - 2 : versions - 1));
    for (const auto &[id, value] : store.jobs) {
        if (const auto ended = entry::decodeEnded(value)) {
            cell::restoreEndedJob(successor->cell, id, ended->phase, now);
            continue;
        }
        std::int64_t accepted = 0;
        auto job = entry::decodeJob(id, value, accepted);
        const auto progress = store.progress.find(id);
        if (progress != store.progress.end()) {
            entry::decodeProgress(progress->second, *job);
        }
        cell::restoreJob(successor->cell, std::move(*job), now);
    }
    for (const auto &[row, value] : store.workerRows) {
        for (const cell::worker_entry &worker : entry::decodeWorkers(value)) {
            cell::restoreWorker(successor->cell, worker, now, row);
        }
    }
    cell::changeWorkers(successor->cell, readRegistry(successor->cell), now);
    successor->confirmedAt = now;
    if (!schedulers.empty()) {
        schedulers.back()->confirmedUntil = now + drawBetween(0, takeoverNoticeTime);
    }
    schedulers.push_back(successor);
    if (isLate) {
        adoptConfig(successor);
    }
    cutOffWorker();
    ++counts.takeovers;
    lastTakeoverAt = now;
    tick(successor);
}

bool cell_history::state::isConfirmed(const scheduler_pointer &scheduler)
{
    if (now < scheduler->confirmedUntil) {
        scheduler->confirmedAt = now;
    }
    scheduler->cell.confirmedAt = scheduler->confirmedAt;
    scheduler->cell.noSuccessorAt = scheduler->confirmedAt;
    return now <= scheduler->confirmedAt + confirmationTimeout;
}

void cell_history::state::tick(const scheduler_pointer &scheduler)
{
    if (!scheduler->alive) {
        return;
    }
    if (now >= scheduler->pausedUntil && isConfirmed(scheduler)) {
        cell::orders out;
        cell::changeWorkers(scheduler->cell, readRegistry(scheduler->cell), now);
        cell::decide(scheduler->cell, now, out);
        checkTotals(scheduler->cell);
        checkPendingJobs(scheduler->cell);
        sendOrders(scheduler, out);
        writeChanges(scheduler);
    }
    scheduleAt(now + tickInterval, [this, scheduler] { tick(scheduler); });
}

void cell_history::state::sendOrders(const scheduler_pointer &scheduler, const cell::orders &orders)
{
    for (const auto &order : orders.stops) {
        sendStop(scheduler, order);
    }
    for (const auto &order : orders.starts) {
        sendStart(scheduler, order);
    }
    for (const auto &order : orders.polls) {
        sendPoll(scheduler, order);
    }
    for (const auto &order : orders.advice) {
        sendAdvice(scheduler, order);
    }
}

void cell_history::state::sendAdvice(const scheduler_pointer &scheduler,
                                     const cell::advice_order &queued)
{
    cell::advice_order order = queued;
    if (!cell::prepareAdvice(scheduler->cell, order, now)) {
        return;
    }
    scheduleAt(now + order.expected, [this, scheduler, order] {
        if (!scheduler->alive) {
            return;
        }
        const microseconds valid =
            cell::findQueue(scheduler->cell.config, record.jobs.at(order.step.job).queue)
                ->advice.valid;
        std::vector<std::pair<std::string, std::string>> allowed;
        for (const std::string &worker : order.workers) {
            if (isAllowed(order.step, worker)) {
                const std::string ticket = std::to_string(record.tickets.size() + 1);
                record.tickets[ticket] = now + valid;
                allowed.emplace_back(worker, ticket);
            }
        }
        cell::onAdvice(scheduler->cell, order, allowed, valid, now);
    });
}

namespace {

/// Whether the order may be sent on a new connection, as in the platform's adapter.
template <typename Order>
bool isSentOnNewConnections(const Order &order)
{
    if constexpr (std::is_same_v<Order, cell::poll_order>) {
        return order.acknowledgedEnd == 0;
    }
    return true;
}

/// Delivers an order to its worker after a random delay and passes the outcome to the scheduler.
/// The outcome is `unanswered`, after `orderTimeout`, if the worker is partitioned or down, the
/// answer is lost, or the order is delayed beyond the timeout.
template <typename Order, typename Deliver, typename Answer>
void sendOrder(cell_history::state &history, const scheduler_pointer &scheduler, const Order &order,
               Deliver deliver, Answer answer)
{
    const timestamp timeoutAt = history.now + orderTimeout;
    const auto scheduleAnswer = [&history, scheduler, answer](timestamp when,
                                                              order_outcome outcome) {
        history.scheduleAt(std::max(when, scheduler->pausedUntil), [scheduler, answer, outcome] {
            if (scheduler->alive) {
                answer(outcome);
            }
        });
    };
    if (!history.isReachable(order.worker, scheduler->cell.epoch)) {
        scheduleAnswer(timeoutAt, order_outcome::unanswered);
        return;
    }
    if (!history.faultsStopped && history.drawBool(history.injectedFaults.delayedOrderShare)) {
        scheduleAnswer(timeoutAt, order_outcome::unanswered);
        // The worker holds the order, so that a restart of the worker ends it in most histories.
        const timestamp lifeStart = history.workers.at(order.worker).clockZero;
        history.scheduleAt(history.now + history.drawBetween(2 * second, 12 * second),
                           [&history, deliver, id = order.worker, lifeStart] {
                               if (history.injectedFaults.delayedOrdersSurviveCrashes
                                   || history.workers.at(id).clockZero == lifeStart) {
                                   deliver();
                               }
                           });
        return;
    }
    const bool isAnswerLost =
        !history.faultsStopped && history.drawBool(history.injectedFaults.lostAnswerShare);
    history.scheduleAt(
        history.now + history.drawBetween(200, 3 * millisecond),
        [&history, deliver, scheduleAnswer, isAnswerLost, timeoutAt, id = order.worker,
         mayReachNextLife = isSentOnNewConnections(order)] {
            if (mayReachNextLife && history.isConnectionRetried(id)) {
                // A connection is made, and the order sent, once the worker is up again.
                history.scheduleAt(history.now + history.drawBetween(0, timeoutAt - history.now),
                                   [deliver] { deliver(); });
                scheduleAnswer(timeoutAt, order_outcome::unanswered);
                return;
            }
            const order_outcome outcome = deliver();
            const bool isUnanswered = isAnswerLost || history.mutedWorkers.count(id) > 0
                || outcome == order_outcome::unanswered;
            scheduleAnswer(isUnanswered ? timeoutAt
                                        : history.now + history.drawBetween(200, 3 * millisecond),
                           isUnanswered ? order_outcome::unanswered : outcome);
        });
}

} // namespace

void cell_history::state::sendStart(const scheduler_pointer &scheduler,
                                    const cell::start_order &order)
{
    const auto answerClock = std::make_shared<std::int64_t>(0);
    sendOrder(
        *this, scheduler, order,
        [this, order, answerClock, sentAt = now] {
            const order_outcome outcome = startTask(order, sentAt);
            *answerClock = now - findAnswering(order.worker).clockZero;
            return outcome;
        },
        [this, scheduler, order, answerClock](order_outcome outcome) {
            cell::orders out;
            cell::onStartOutcome(scheduler->cell, order, outcome, now, out,
                                 outcome == order_outcome::unanswered ? 0 : *answerClock);
            sendOrders(scheduler, out);
        });
}

void cell_history::state::sendStop(const scheduler_pointer &scheduler,
                                   const cell::stop_order &order)
{
    sendOrder(
        *this, scheduler, order,
        [this, order] { return stopRun(findAnswering(order.worker), record, order, now); },
        [this, scheduler, order](order_outcome outcome) {
            cell::onStopOutcome(scheduler->cell, order, outcome, now);
        });
}

void cell_history::state::sendPoll(const scheduler_pointer &scheduler,
                                   const cell::poll_order &order)
{
    const auto worker = workers.find(order.worker);
    if (!injectedFaults.isLargeCell || order.wait == 0 || worker == workers.end()) {
        sendPollNow(scheduler, order, now);
        return;
    }
    timestamp heldUntil = now + order.wait;
    for (const auto &[task, run] : worker->second.runs) {
        heldUntil = std::min(heldUntil, run.endsAt);
    }
    scheduleAt(heldUntil,
               [this, scheduler, order, sentAt = now] { sendPollNow(scheduler, order, sentAt); });
}

void cell_history::state::sendPollNow(const scheduler_pointer &scheduler,
                                      const cell::poll_order &order, timestamp sentAt)
{
    const auto report = std::make_shared<cell::worker_report>();
    sendOrder(
        *this, scheduler, order,
        [this, scheduler, order, report] {
            simulated_worker &worker = findAnswering(order.worker);
            // A connection to this life that was opened before the life began does not exist.
            const bool isConnected = scheduler->connectedLives[order.worker] == worker.clockZero
                && worker.clockZero <= order.connectedBefore;
            if (!isConnected && !isSentOnNewConnections(order)) {
                return order_outcome::unanswered;
            }
            scheduler->connectedLives[order.worker] = worker.clockZero;
            return pollWorker(worker, record, order, now, *report);
        },
        [this, scheduler, order, report, sentAt](order_outcome outcome) {
            cell::orders out;
            if (outcome == order_outcome::accepted) {
                cell::onReport(scheduler->cell, order, *report, sentAt, now, out);
            } else {
                cell::onPollFailed(scheduler->cell, order, outcome, now, out);
            }
            sendOrders(scheduler, out);
        });
}

void cell_history::state::writeChanges(const scheduler_pointer &scheduler)
{
    cell::scheduler &cell = scheduler->cell;
    if (scheduler->writeInFlight || cell.unstored.empty() || !store.up) {
        return;
    }
    simulated_store change;
    for (const std::string &id : cell::beginWrite(cell, {maxRowsPerWrite}, oneRow)) {
        if (const auto row = cell::changedWorkerRow(id)) {
            change.workerRows[*row] = entry::encodeWorkerRow(cell.workers, *row);
            continue;
        }
        const cell::job_state *job = cell::findJob(cell, id);
        if (job == nullptr) {
            continue; // the job was erased before its rows were removed
        }
        if (job->finalPhase && job->stored && !job->finalStored && drawBool(tombstoneProbability)) {
            change.tombstones[id] = entry::encodeEnded({*job->finalPhase, 0});
            continue;
        }
        if (job->finalPhase) {
            change.ended[id] = *job->finalPhase;
            continue;
        }
        change.jobs[id] = entry::encodeJob(*job, 0);
        if (entry::needsProgressRow(*job)) {
            change.progress[id] = entry::encodeProgress(*job).rows;
        }
    }
    scheduler->writeInFlight = true;
    const std::int64_t epoch = cell.epoch;
    scheduleAt(now + drawBetween(3 * millisecond, 20 * millisecond),
               [this, scheduler, change, epoch] {
                   scheduler->writeInFlight = false;
                   if (epoch != store.epoch || !scheduler->alive) {
                       scheduler->alive = scheduler->alive && epoch == store.epoch;
                       return;
                   }
                   store.jobs.insert(change.jobs.begin(), change.jobs.end());
                   for (const auto &[row, value] : change.workerRows) {
                       store.workerRows[row] = value;
                   }
                   for (const auto &[id, value] : change.progress) {
                       store.progress[id] = value;
                   }
                   for (const auto &[id, phase] : change.ended) {
                       store.ended.emplace(id, phase);
                       store.jobs.erase(id);
                       store.progress.erase(id);
                   }
                   cell::onWritten(scheduler->cell, now);
                   for (const auto &[id, value] : change.tombstones) {
                       store.jobs[id] = value;
                       cell::recordChange(scheduler->cell, id, false);
                   }
                   for (const auto &[id, value] : change.jobs) {
                       accepted.insert(id);
                   }
               });
}

cell_history::cell_history(std::uint64_t seed, const history_faults &faults, int workers)
    : m_state(std::make_unique<state>())
{
    m_state->random.seed(seed);
    m_state->injectedFaults = faults;
    for (int index = 0; index < workers; ++index) {
        m_state->addWorker();
    }
}

cell_history::~cell_history() = default;

void cell_history::run(microseconds length)
{
    state &history = *m_state;
    const bool hasCaps = history.injectedFaults.capChangeInterval > 0;
    if (hasCaps) {
        history.storeConfig(1, 1);
    }
    history.takeOver();
    history.scheduleFaults();
    history.scheduleRecurring(history.injectedFaults.submitInterval,
                              [&history] { history.submitJob(); });
    if (history.injectedFaults.isLargeCell) {
        history.checkWaitingJobs();
    }
    const timestamp faultsEndAt = history.now + length;
    const timestamp endAt = faultsEndAt + (hasCaps ? cappedDrainTimeout : drainTimeout);
    history.scheduleAt(faultsEndAt, [&history] {
        history.faultsStopped = true;
        history.store.up = true;
        history.partitionedWorkers.clear();
        history.workersCutOffFrom.clear();
        history.hiddenWorkers.clear();
        history.mutedWorkers.clear();
        history.unregisteredWorkers.clear();
        history.restoreCapacities();
        if (!history.record.capVersions.empty()) {
            history.storeConfig(1, 1);
        }
    });
    while (!history.events.empty() && history.events.begin()->first < endAt) {
        const auto first = history.events.begin();
        history.now = first->first;
        const auto run = std::move(first->second.run);
        history.events.erase(first);
        run();
        for (auto &[id, worker] : history.workers) {
            advanceWorker(worker, history.record, history.now);
        }
        if (history.faultsStopped && !history.record.violations.empty()) {
            break;
        }
    }
    history.checkFinalState();
    history.checkFailedJobs();
}

const violation_list &cell_history::violations() const
{
    return m_state->record.violations;
}

history_counts cell_history::counts() const
{
    return m_state->counts;
}

} // namespace bramleygrade::testing
