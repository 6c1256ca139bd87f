#include "testing/cell/cell_history.h"

#include <algorithm>

#include "entry/rows.h"
#include "testing/cell/history_state.h"

namespace bramleygrade::testing {

namespace {

using cell::order_outcome;

constexpr microseconds patience = 400 * millisecond;
constexpr microseconds tickInterval = 20 * millisecond;
constexpr microseconds pollWait = 200 * millisecond;
/// Time for all jobs to end after the trouble.
constexpr microseconds calmLimit = 60 * second;
constexpr std::size_t rowsPerWrite = 30;
/// Share of the jobs whose end is first written in place of the job's row.
constexpr double endedInPlaceShare = 0.5;

} // namespace

void cell_history::state::at(timestamp when, std::function<void()> run)
{
    events.emplace(std::max(when, now), timed_event {++nextEvent, std::move(run)});
}

bool cell_history::state::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

microseconds cell_history::state::between(microseconds least, microseconds most)
{
    return std::uniform_int_distribution<microseconds>(least, most)(random);
}

void cell_history::state::every(microseconds mean, const std::function<void()> &run)
{
    if (mean == 0) {
        return;
    }
    at(now + between(mean / 2, mean * 3 / 2), [this, mean, run] {
        if (!calm) {
            run();
            every(mean, run);
        }
    });
}

void cell_history::state::addWorker()
{
    worker_double worker;
    worker.entry.id = "worker-" + std::to_string(++nextWorker);
    worker.entry.service = "booking";
    worker.entry.address = worker.entry.id;
    worker.entry.rack = "rack-" + std::to_string(nextWorker % 2);
    worker.entry.capacity = {8'000, 16'000, 0};
    workers[worker.entry.id] = worker;
}

std::vector<cell::worker_entry> cell_history::state::registryFor(const cell::scheduler &cell) const
{
    const bool confirmed = store.up && store.epoch == cell.epoch;
    std::vector<cell::worker_entry> entries;
    for (const auto &[id, worker] : workers) {
        if (worker.up && unlisted.count(id) == 0 && (confirmed || cell.workers.count(id) > 0)) {
            entries.push_back(worker.entry);
        }
    }
    return entries;
}

void cell_history::state::takeOver()
{
    const auto made = std::make_shared<scheduler_double>();
    made->cell.settings.pollWait = pollWait;
    made->cell.settings.predecessorGrace = 2'500 * millisecond;
    cell::beginEpoch(made->cell, ++store.epoch, now);
    cell::cell_config config;
    config.version = 1;
    config.queues.push_back(makePolicy(0));
    config.queues.push_back(makePolicy(1));
    cell::changeConfig(made->cell, config);
    for (const auto &[id, value] : store.jobs) {
        if (const auto ended = entry::decodeEnded(value)) {
            cell::restoreEndedJob(made->cell, id, ended->phase, now);
            continue;
        }
        std::int64_t accepted = 0;
        auto job = entry::decodeJob(id, value, accepted);
        const auto progress = store.progress.find(id);
        if (progress != store.progress.end()) {
            entry::decodeProgress(progress->second, *job);
        }
        cell::restoreJob(made->cell, std::move(*job), now);
    }
    for (const cell::worker_entry &worker : entry::decodeWorkers(store.workers)) {
        cell::restoreWorker(made->cell, worker, now);
    }
    cell::changeWorkers(made->cell, registryFor(made->cell), now);
    schedulers.push_back(made);
    ++counts.takeovers;
    tick(made);
}

void cell_history::state::tick(const scheduler_pointer &scheduler)
{
    if (!scheduler->alive) {
        return;
    }
    if (now >= scheduler->pausedUntil) {
        cell::orders out;
        cell::changeWorkers(scheduler->cell, registryFor(scheduler->cell), now);
        cell::decide(scheduler->cell, now, out);
        carryOut(scheduler, out);
        write(scheduler);
    }
    at(now + tickInterval, [this, scheduler] { tick(scheduler); });
}

void cell_history::state::carryOut(const scheduler_pointer &scheduler, const cell::orders &orders)
{
    for (const auto &order : orders.stops) {
        sendStop(scheduler, order);
    }
    for (const auto &order : orders.starts) {
        sendStart(scheduler, order);
    }
    for (const auto &order : orders.polls) {
        sendLook(scheduler, order);
    }
}

namespace {

/// Delivers an order after a delay; its answer, or the lack of one, comes back to the scheduler.
template <typename Order, typename Deliver, typename Answer>
void exchange(cell_history::state &history, const scheduler_pointer &scheduler, const Order &order,
              Deliver deliver, Answer answer)
{
    const timestamp giveUpAt = history.now + patience;
    const auto back = [&history, scheduler, answer](timestamp when, order_outcome outcome) {
        history.at(std::max(when, scheduler->pausedUntil), [scheduler, answer, outcome] {
            if (scheduler->alive) {
                answer(outcome);
            }
        });
    };
    if (history.cutOff.count(order.worker) > 0 || history.workers.count(order.worker) == 0) {
        back(giveUpAt, order_outcome::unanswered);
        return;
    }
    if (!history.calm && history.chance(history.trouble.lateOrders)) {
        back(giveUpAt, order_outcome::unanswered);
        history.at(history.now + history.between(2 * second, 12 * second),
                   [deliver] { deliver(); });
        return;
    }
    const bool lost = !history.calm && history.chance(history.trouble.lostAnswers);
    history.at(history.now + history.between(200, 3 * millisecond),
               [&history, deliver, back, lost, giveUpAt] {
                   const order_outcome outcome = deliver();
                   const bool silent = lost || outcome == order_outcome::unanswered;
                   back(silent ? giveUpAt : history.now + history.between(200, 3 * millisecond),
                        silent ? order_outcome::unanswered : outcome);
               });
}

} // namespace

void cell_history::state::sendStart(const scheduler_pointer &scheduler,
                                    const cell::start_order &order)
{
    exchange(
        *this, scheduler, order,
        [this, order] { return startRun(workers.at(order.worker), ledger, order, now); },
        [this, scheduler, order](order_outcome outcome) {
            cell::orders out;
            cell::onStartOutcome(scheduler->cell, order, outcome, now, out);
            carryOut(scheduler, out);
        });
}

void cell_history::state::sendStop(const scheduler_pointer &scheduler,
                                   const cell::stop_order &order)
{
    exchange(
        *this, scheduler, order,
        [this, order] { return stopRun(workers.at(order.worker), ledger, order, now); },
        [this, scheduler, order](order_outcome outcome) {
            cell::onStopOutcome(scheduler->cell, order, outcome, now);
        });
}

void cell_history::state::sendLook(const scheduler_pointer &scheduler,
                                   const cell::poll_order &order)
{
    const timestamp sentAt = now;
    const auto report = std::make_shared<cell::worker_report>();
    exchange(
        *this, scheduler, order,
        [this, order, report] {
            return lookAt(workers.at(order.worker), ledger, order, now, *report);
        },
        [this, scheduler, order, report, sentAt](order_outcome outcome) {
            cell::orders out;
            if (outcome == order_outcome::accepted) {
                cell::onReport(scheduler->cell, order, *report, sentAt, now, out);
            } else {
                cell::onPollFailed(scheduler->cell, order, outcome, now, out);
            }
            carryOut(scheduler, out);
        });
}

void cell_history::state::write(const scheduler_pointer &scheduler)
{
    cell::scheduler &cell = scheduler->cell;
    if (scheduler->writeInFlight || cell.unsaved.empty() || !store.up) {
        return;
    }
    store_double change;
    for (const std::string &id :
         cell::beginWrite(cell, rowsPerWrite, [](const std::string &) { return 1U; })) {
        if (id == cell::workerListChange) {
            change.workers = entry::encodeWorkers(cell.workers);
            continue;
        }
        const cell::job_state *job = cell::findJob(cell, id);
        if (job == nullptr) {
            continue; // forgotten before its rows were removed
        }
        if (job->finalPhase && job->stored && !job->finalStored && chance(endedInPlaceShare)) {
            change.endedInPlace[id] = entry::encodeEnded({*job->finalPhase, 0});
            continue;
        }
        if (job->finalPhase) {
            change.ended[id] = *job->finalPhase;
            continue;
        }
        change.jobs[id] = entry::encodeJob(*job, 0);
        if (entry::needsProgressRow(*job)) {
            change.progress[id] = entry::encodeProgress(*job);
        }
    }
    scheduler->writeInFlight = true;
    const std::int64_t epoch = cell.epoch;
    at(now + between(3 * millisecond, 20 * millisecond), [this, scheduler, change, epoch] {
        scheduler->writeInFlight = false;
        if (epoch != store.epoch || !scheduler->alive) {
            scheduler->alive = scheduler->alive && epoch == store.epoch;
            return;
        }
        store.jobs.insert(change.jobs.begin(), change.jobs.end());
        store.workers = change.workers == "{}" ? store.workers : change.workers;
        for (const auto &[id, value] : change.progress) {
            store.progress[id] = value;
        }
        for (const auto &[id, phase] : change.ended) {
            store.ended.emplace(id, phase);
            store.jobs.erase(id);
            store.progress.erase(id);
        }
        cell::onWritten(scheduler->cell, now);
        for (const auto &[id, value] : change.endedInPlace) {
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
    m_state->trouble = faults;
    for (int index = 0; index < workers; ++index) {
        m_state->addWorker();
    }
}

cell_history::~cell_history() = default;

void cell_history::run(microseconds length)
{
    state &history = *m_state;
    history.takeOver();
    history.startTrouble();
    history.every(250 * millisecond, [&history] { history.submit(); });
    const timestamp calmAt = history.now + length;
    const timestamp endAt = calmAt + calmLimit;
    history.at(calmAt, [&history] {
        history.calm = true;
        history.store.up = true;
        history.cutOff.clear();
        history.unlisted.clear();
    });
    while (!history.events.empty() && history.events.begin()->first < endAt) {
        const auto first = history.events.begin();
        history.now = first->first;
        const auto run = std::move(first->second.run);
        history.events.erase(first);
        run();
        for (auto &[id, worker] : history.workers) {
            advance(worker, history.ledger, history.now);
        }
        if (history.calm && !history.ledger.faults.empty()) {
            break;
        }
    }
    history.checkEnd();
}

const fault_list &cell_history::faults() const
{
    return m_state->ledger.faults;
}

history_counts cell_history::counts() const
{
    return m_state->counts;
}

} // namespace bramleygrade::testing
