#include "testing/cell/load_simulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

#include "cell/advice/advice_clients.h"
#include "testing/cell/cell_driver.h"

namespace bramleygrade::testing {

namespace {

using cell::end_kind;
using cell::order_outcome;

constexpr microseconds messageDelay = 2 * millisecond;
constexpr microseconds gangSampleInterval = 100 * millisecond;
constexpr microseconds decisionInterval = 10 * millisecond;
constexpr microseconds storeDelay = 8 * millisecond;
constexpr std::size_t maxRowsPerWrite = 500;
/// Workers are polled and stored before the first job is submitted.
constexpr microseconds warmUp = 500 * millisecond;
/// Time from the initial jobs to the start of the load.
constexpr microseconds initialJobsLead = 7 * second;
constexpr microseconds drainTime = 14 * second;
/// A job is late up to this multiple of its objective, and worth nothing afterwards.
constexpr int lateLimitFactor = 3;
/// Bounds of a job's worth relative to the mean of its class, and the part that is independent of
/// its work.
constexpr double fixedWorthShare = 0.3;
constexpr double maxWorthFactor = 4;
/// Workers in the advice call that a job's objective allows for each step.
constexpr int adviceWorkersInObjective = 30;

double drawUniform(std::mt19937_64 &random, double minimum, double maximum)
{
    return std::uniform_real_distribution<double>(minimum, maximum)(random);
}

double draw(std::mt19937_64 &random, const load_distribution &distribution)
{
    const double variance = std::log(1 + distribution.spread * distribution.spread);
    const double value = std::lognormal_distribution<double>(
        std::log(distribution.mean) - variance / 2, std::sqrt(variance))(random);
    return std::min(value, distribution.maximum);
}

microseconds toMicroseconds(double seconds)
{
    return static_cast<microseconds>(seconds * static_cast<double>(second));
}

double toSeconds(microseconds time)
{
    return static_cast<double>(time) / static_cast<double>(second);
}

/// True behaviour of one task.
struct load_task
{
    double runSeconds = 1;
    int failingRuns = 0;
    int runs = 0;
};

struct load_job
{
    std::size_t classIndex = 0;
    cell::job_spec spec;
    std::vector<std::vector<load_task>> tasks;
    timestamp submittedAt = 0;
    timestamp objectiveAt = 0;
    double worthFactor = 1;
    double coreSeconds = 0;
    /// Position in `load_outcome::jobs`.
    std::size_t position = 0;
    std::set<int> stepsDone;
    /// Time of the newest stop order for each task.
    std::map<cell::task_id, timestamp> preemptedAt;
};

struct load_run
{
    cell::task_id task;
    int attempt = 0;
    timestamp presentAt = 0;
    /// Time at which the run began to work; 0: a gang that waits for members.
    timestamp workingFrom = 0;
    microseconds duration = 0;
    /// Share of the work that was saved by earlier runs.
    double resumedShare = 0;
    bool fails = false;
    timestamp stoppingUntil = 0;
    timestamp stopOrderedAt = 0;
    std::uint64_t number = 0;
    /// Work done until `pacedFrom`, as a time without clashes, and the factor since then.
    microseconds worked = 0;
    timestamp pacedFrom = 0;
    double slowdown = 1;
    std::uint64_t pace = 0;
};

struct load_worker
{
    cell::worker_entry entry;
    double speed = 1;
    std::map<cell::task_id, load_run> runs;
    std::vector<cell::reported_end> ended;
    std::int64_t lastEnd = 0;
    std::map<cell::task_id, int> closedAttempt;
    std::optional<cell::poll_order> heldPoll;
    timestamp heldPollSentAt = 0;
    std::uint64_t heldPollNumber = 0;
};

struct advice_client
{
    int open = 0;
    timestamp busyUntil = 0;
};

class load_simulation
{
public:
    load_simulation(const load_settings &settings, std::uint64_t seed)
        : m_settings(settings)
        , m_seed(seed)
        , m_random(seed)
        , m_clients(settings.entries)
    {
    }

    load_outcome run();

private:
    const load_class &classOf(const load_job &job) const
    {
        return m_settings.classes[job.classIndex];
    }
    const cell::step_spec &stepOf(const cell::task_id &task) const
    {
        return m_jobs.at(task.job).spec.steps[static_cast<std::size_t>(task.step)];
    }
    load_class_outcome &outcomeOf(const cell::task_id &task)
    {
        return m_outcome.classes[m_jobs.at(task.job).classIndex];
    }
    void schedule(timestamp when, std::function<void()> action)
    {
        m_events.emplace(std::max(when, m_driver.now), std::move(action));
    }

    void addWorkers();
    void addQueues();
    void generateJobs();
    load_job makeJob(std::size_t classIndex);
    void submit(load_job job);

    void requestDecision();
    void decide();
    void sampleGangWaits();
    void addToHash(const std::string &text);
    void send(const cell::orders &out);
    void write();
    void finishStoredJobs(const std::vector<std::string> &written);

    void sendStart(const cell::start_order &order);
    order_outcome carryOutStart(const cell::start_order &order);
    void sendStop(const cell::stop_order &order);
    void carryOutStop(const cell::stop_order &order);
    void sendPoll(const cell::poll_order &order);
    void answerPoll(load_worker &worker);
    void beginWork(load_worker &worker, load_run &run, microseconds duration);
    void beginGang(const cell::task_id &task, int attempt);
    void endRun(load_worker &worker, const cell::task_id &task, end_kind how);
    void breakGang(const cell::task_id &task, int attempt, end_kind how);
    void finishRun(load_worker &worker, const cell::task_id &task, std::uint64_t number);
    double slowdownOf(const load_worker &worker, const load_run &run) const;
    microseconds workedOf(const load_run &run) const;
    void pace(load_worker &worker);
    void countSlowedTime(const load_run &run);
    void hashOrders(const cell::orders &out);
    void hashAdvice(const cell::advice_order &order);
    double progressOf(const load_run &run) const;
    double savedShareOf(const load_run &run) const;

    bool isAllowed(const cell::task_id &step, const std::string &worker) const;
    void dispatchAdvice(bool longCalls);
    void dispatchAdvice();
    void callAdvice(const cell::advice_order &order, advice_client &client);

    load_settings m_settings;
    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    cell_driver m_driver;
    std::multimap<timestamp, std::function<void()>> m_events;
    std::map<std::string, load_worker> m_workers;
    std::map<std::string, load_job> m_jobs;
    /// Workers of the present members of each gang, by job, step and attempt.
    std::map<std::tuple<std::string, int, int>, std::map<int, std::string>> m_gangs;
    std::vector<advice_client> m_clients;
    cell::advice_queue m_longAdviceQueue;
    cell::advice_queue m_shortAdviceQueue;
    std::map<std::string, int> m_openAdviceCalls;
    std::map<std::string, timestamp> m_ticketsValidUntil;
    load_outcome m_outcome;
    std::uint64_t m_runNumber = 0;
    int m_jobNumber = 0;
    bool m_decisionPending = false;
    bool m_writeInFlight = false;
    timestamp m_loadEndsAt = 0;
    double m_usedShareSum = 0;
    /// Time of ended runs that a clash could slow, and of it the time beside tasks that do.
    double m_clashingTime = 0;
    double m_slowedTime = 0;
    int m_usedShareSamples = 0;
};

void load_simulation::addWorkers()
{
    std::vector<cell::worker_entry> entries;
    for (int index = 0; index < m_settings.workers; ++index) {
        load_worker worker;
        worker.entry.id = "worker-" + std::to_string(1000 + index);
        worker.entry.service = "booking";
        worker.entry.address = worker.entry.id;
        worker.entry.rack = "rack-" + std::to_string(index / m_settings.workersPerRack);
        worker.entry.capacity = m_settings.capacity;
        if (!m_settings.kinds.empty()) {
            const std::size_t turn = static_cast<std::size_t>(index) % m_settings.kinds.size();
            worker.entry.labels = {m_settings.kinds[turn], worker.entry.rack};
        }
        worker.speed =
            m_settings.speeds[static_cast<std::size_t>(index) % m_settings.speeds.size()];
        entries.push_back(worker.entry);
        m_workers[worker.entry.id] = worker;
    }
    cell::beginEpoch(m_driver.cell, 1, m_driver.now);
    cell::changeWorkers(m_driver.cell, entries, m_driver.now);
}

void load_simulation::addQueues()
{
    cell::cell_config config;
    config.version = 1;
    for (load_class &jobClass : m_settings.classes) {
        jobClass.policy.service = "booking";
        config.queues.push_back(jobClass.policy);
        if (m_settings.hasTeams && !jobClass.team.name.empty()) {
            config.teams.push_back(jobClass.team);
        }
    }
    cell::changeConfig(m_driver.cell, config);
}

/// Draws the step at position `index` of a job, which waits for the one before it.
cell::step_spec drawStep(std::mt19937_64 &random, const load_class &jobClass, double runSeconds,
                         int index)
{
    cell::step_spec step;
    step.count = std::max(1, static_cast<int>(std::lround(draw(random, jobClass.tasks))));
    step.demand = {static_cast<std::int64_t>(draw(random, jobClass.cpuMilli)),
                   static_cast<std::int64_t>(draw(random, jobClass.memoryMb)), 0};
    step.gang = drawUniform(random, 0, 1) < jobClass.gangShare;
    step.checkpointing = drawUniform(random, 0, 1) < jobClass.checkpointingShare;
    step.maxPerWorker = drawUniform(random, 0, 1) < jobClass.spreadShare ? 1 : 0;
    if (index > 0) {
        step.after.push_back(index - 1);
    }
    step.estimate = toMicroseconds(
        runSeconds * drawUniform(random, 1 - jobClass.estimateError, 1 + jobClass.estimateError));
    return step;
}

load_job load_simulation::makeJob(std::size_t classIndex)
{
    const load_class &jobClass = m_settings.classes[classIndex];
    // Each job has its own sequence, so that the load does not depend on the scheduler.
    std::mt19937_64 random(m_seed * 1'000'003 + static_cast<std::uint64_t>(++m_jobNumber));
    load_job job;
    job.classIndex = classIndex;
    job.spec.id = "job-" + std::to_string(100'000 + m_jobNumber);
    job.spec.queue = jobClass.policy.name;
    const int steps = std::max(1, static_cast<int>(std::lround(draw(random, jobClass.steps))));
    const double runSeconds = draw(random, jobClass.runSeconds);
    double work = 0;
    double chain = 0;
    for (int index = 0; index < steps; ++index) {
        const cell::step_spec step = drawStep(random, jobClass, runSeconds, index);
        std::vector<load_task> tasks(static_cast<std::size_t>(step.count));
        const bool gangStraggles =
            jobClass.stragglingShare > 0 && drawUniform(random, 0, 1) < jobClass.stragglingShare;
        const bool gangFails = drawUniform(random, 0, 1) < jobClass.failingShare;
        double longest = 0;
        for (load_task &task : tasks) {
            task.runSeconds =
                runSeconds * drawUniform(random, 1 - jobClass.unevenness, 1 + jobClass.unevenness);
            const bool straggles = step.gang ? gangStraggles
                                             : jobClass.stragglingShare > 0
                    && drawUniform(random, 0, 1) < jobClass.stragglingShare;
            task.runSeconds *= straggles ? jobClass.straggling : 1;
            const bool fails = drawUniform(random, 0, 1) < jobClass.failingShare;
            task.failingRuns = !step.gang && fails ? 1 : 0;
            longest = std::max(longest, task.runSeconds * (1 + task.failingRuns));
            work += task.runSeconds * static_cast<double>(step.demand.cpuMilli) / 1000;
        }
        if (step.gang && gangFails) {
            tasks.front().failingRuns = 1;
            longest *= 2;
        }
        chain += longest;
        job.spec.steps.push_back(step);
        job.tasks.push_back(std::move(tasks));
    }
    const cell::queue_policy &policy = jobClass.policy;
    if (policy.needsAdvice) {
        chain += steps
            * toSeconds(policy.advice.base + adviceWorkersInObjective * policy.advice.perWorker);
    }
    const double meanWork = jobClass.steps.mean * jobClass.tasks.mean * jobClass.runSeconds.mean
        * jobClass.cpuMilli.mean / 1000;
    job.coreSeconds = work;
    job.worthFactor =
        std::min(maxWorthFactor, fixedWorthShare + (1 - fixedWorthShare) * work / meanWork);
    // Relative to `submittedAt` until the job is submitted.
    job.objectiveAt = toMicroseconds(policy.slackFactor * chain) + policy.latencyTarget;
    return job;
}

void load_simulation::generateJobs()
{
    const timestamp startsAt = m_driver.now + initialJobsLead;
    m_loadEndsAt = startsAt + m_settings.length;
    for (std::size_t index = 0; index < m_settings.classes.size(); ++index) {
        const load_class &jobClass = m_settings.classes[index];
        for (int job = 0; job < jobClass.initialJobs; ++job) {
            submit(makeJob(index));
        }
        timestamp when = startsAt;
        for (;;) {
            double rate = jobClass.jobsPerSecond;
            for (const load_burst &burst : m_settings.bursts) {
                const bool active = when >= startsAt + burst.startsAfter
                    && when < startsAt + burst.startsAfter + burst.length;
                rate *= active && burst.classIndex == index ? burst.factor : 1;
            }
            when += toMicroseconds(std::exponential_distribution<double>(rate)(m_random));
            if (when >= m_loadEndsAt) {
                break;
            }
            load_job job = makeJob(index);
            schedule(when, [this, job = std::move(job)]() mutable { submit(std::move(job)); });
        }
    }
}

void load_simulation::submit(load_job job)
{
    job.submittedAt = m_driver.now;
    job.objectiveAt += m_driver.now;
    load_class_outcome &outcome = m_outcome.classes[job.classIndex];
    ++outcome.jobs;
    outcome.worthOwed += job.worthFactor * classOf(job).worth;
    job.position = m_outcome.jobs.size();
    load_job_outcome &owed = m_outcome.jobs.emplace_back();
    owed.classIndex = job.classIndex;
    owed.coreSeconds = job.coreSeconds;
    owed.worthOwed = job.worthFactor * classOf(job).worth;
    job.spec.team = classOf(job).team.name;
    const cell::queue_policy &policy = classOf(job).policy;
    if (cell::admitOrRefuse(m_driver.cell, job.spec, policy, m_driver.now)) {
        ++outcome.refused;
        return;
    }
    outcome.beyondShare += job.spec.beyondShare ? 1 : 0;
    cell::acceptJob(m_driver.cell, job.spec, policy, m_driver.now);
    m_jobs.emplace(job.spec.id, std::move(job));
    requestDecision();
}

void load_simulation::requestDecision()
{
    if (!m_decisionPending) {
        m_decisionPending = true;
        schedule(m_driver.now + decisionInterval, [this] { decide(); });
    }
}

void load_simulation::decide()
{
    m_decisionPending = false;
    cell::orders out;
    cell::decide(m_driver.cell, m_driver.now, out);
    send(out);
    write();
    schedule(cell::nextDeadline(m_driver.cell), [this] { requestDecision(); });
    if (m_driver.now < m_loadEndsAt) {
        std::int64_t used = 0;
        for (const auto &[id, worker] : m_driver.cell.workers) {
            used += worker.life.used.cpuMilli;
        }
        m_usedShareSum += static_cast<double>(used)
            / static_cast<double>(m_settings.capacity.cpuMilli * m_settings.workers);
        ++m_usedShareSamples;
    }
}

void load_simulation::sampleGangWaits()
{
    std::set<std::string> queued;
    for (const cell::advice_queue *queue : {&m_longAdviceQueue, &m_shortAdviceQueue}) {
        for (const auto &[priority, order] : *queue) {
            queued.insert(order.step.job);
        }
    }
    for (const std::string &id : m_driver.cell.runnableJobs) {
        const cell::job_state *state = cell::findJob(m_driver.cell, id);
        if (state == nullptr) {
            continue;
        }
        for (const auto &[number, occurrence] : state->occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                if (!state->spec.steps[step].gang || occurrence.completed
                    || !cell::isStepReady(*state, occurrence, static_cast<int>(step))
                    || occurrence.steps[step].tasks.front().phase != cell::run_phase::none) {
                    continue;
                }
                load_job_outcome &outcome = m_outcome.jobs[m_jobs.at(id).position];
                outcome.gangWaits[occurrence.steps[step].obstacle] += toSeconds(gangSampleInterval);
                outcome.queuedForAdvice += queued.count(id) > 0 ? toSeconds(gangSampleInterval) : 0;
            }
        }
    }
    schedule(m_driver.now + gangSampleInterval, [this] { sampleGangWaits(); });
}

void load_simulation::addToHash(const std::string &text)
{
    for (const char character : text) {
        m_outcome.ordersHash =
            (m_outcome.ordersHash ^ static_cast<unsigned char>(character)) * 1'099'511'628'211ULL;
    }
}

void load_simulation::hashOrders(const cell::orders &out)
{
    const auto addTask = [&](const cell::task_id &task, int attempt, const std::string &worker) {
        addToHash(std::to_string(m_driver.now) + " " + task.job + "." + std::to_string(task.step)
                  + "." + std::to_string(task.index) + "#" + std::to_string(attempt) + "@"
                  + worker);
    };
    for (const auto &order : out.starts) {
        addTask(order.task, order.attempt, order.worker);
    }
    for (const auto &order : out.stops) {
        addTask(order.task, order.attempt, order.worker);
    }
    for (const auto &order : out.polls) {
        addToHash(std::to_string(m_driver.now) + order.worker + std::to_string(order.leaseUntil));
    }
    for (const auto &order : out.advice) {
        hashAdvice(order);
    }
    for (const auto &event : out.events) {
        if (event.event.rfind("interference_", 0) == 0) {
            m_outcome.interferenceEvents.push_back(event.event + " " + event.detail);
        }
    }
}

void load_simulation::hashAdvice(const cell::advice_order &order)
{
    addToHash(std::to_string(m_driver.now) + " " + order.step.job + "."
              + std::to_string(order.step.step) + "." + std::to_string(order.step.index) + "#"
              + std::to_string(order.priority));
    for (const std::string &worker : order.workers) {
        addToHash("@" + worker);
    }
}

void load_simulation::send(const cell::orders &out)
{
    hashOrders(out);
    for (const auto &order : out.stops) {
        sendStop(order);
    }
    for (const auto &order : out.starts) {
        sendStart(order);
    }
    for (const auto &order : out.polls) {
        sendPoll(order);
    }
    for (const auto &order : out.advice) {
        (order.longCall ? m_longAdviceQueue : m_shortAdviceQueue).emplace(order.priority, order);
    }
    dispatchAdvice();
}

void load_simulation::write()
{
    if (m_writeInFlight || m_driver.cell.unstored.empty()) {
        return;
    }
    m_writeInFlight = true;
    const auto written = cell::beginWrite(m_driver.cell, {maxRowsPerWrite}, oneRow);
    schedule(m_driver.now + storeDelay, [this, written] {
        m_writeInFlight = false;
        cell::onWritten(m_driver.cell, m_driver.now);
        finishStoredJobs(written);
        requestDecision();
    });
}

void load_simulation::finishStoredJobs(const std::vector<std::string> &written)
{
    for (const std::string &id : written) {
        const cell::job_state *state = cell::findJob(m_driver.cell, id);
        if (state == nullptr || !state->finalStored
            || *state->finalPhase != cell::job_phase::completed) {
            continue;
        }
        const load_job &job = m_jobs.at(id);
        const load_class &jobClass = classOf(job);
        load_class_outcome &outcome = m_outcome.classes[job.classIndex];
        load_job_outcome &earned = m_outcome.jobs[job.position];
        const timestamp lateLimit =
            job.submittedAt + lateLimitFactor * (job.objectiveAt - job.submittedAt);
        earned.completedOnTime = m_driver.now <= job.objectiveAt;
        earned.completedLate = !earned.completedOnTime && m_driver.now <= lateLimit;
        if (earned.completedOnTime) {
            ++outcome.completedOnTime;
            earned.worthEarned = job.worthFactor * jobClass.worth;
        } else if (earned.completedLate) {
            ++outcome.completedLate;
            earned.worthEarned = job.worthFactor * jobClass.lateWorth;
        }
        outcome.worthEarned += earned.worthEarned;
    }
}

void load_simulation::sendStart(const cell::start_order &order)
{
    schedule(m_driver.now + messageDelay, [this, order] {
        const order_outcome outcome = carryOutStart(order);
        schedule(m_driver.now + messageDelay, [this, order, outcome] {
            cell::orders out;
            cell::onStartOutcome(m_driver.cell, order, outcome, m_driver.now, out);
            send(out);
            if (outcome != order_outcome::accepted) {
                requestDecision();
            }
        });
    });
}

order_outcome load_simulation::carryOutStart(const cell::start_order &order)
{
    load_worker &worker = m_workers.at(order.worker);
    const auto closed = worker.closedAttempt.find(order.task);
    if (closed != worker.closedAttempt.end() && order.attempt <= closed->second) {
        return order_outcome::refused_stale;
    }
    load_job &job = m_jobs.at(order.task.job);
    if (classOf(job).policy.needsAdvice) {
        const auto ticket = m_ticketsValidUntil.find(order.ticket);
        if (ticket == m_ticketsValidUntil.end() || m_driver.now > ticket->second) {
            ++m_outcome.refusedTickets;
            return order_outcome::refused_ticket;
        }
    }
    const cell::step_spec &step = stepOf(order.task);
    load_task &task = job.tasks[static_cast<std::size_t>(order.task.step)]
                               [static_cast<std::size_t>(order.task.index)];
    load_run run;
    run.task = order.task;
    run.attempt = order.attempt;
    run.presentAt = m_driver.now;
    run.resumedShare = order.checkpoint.empty() ? 0 : std::stod(order.checkpoint);
    run.fails = task.runs++ < task.failingRuns;
    run.number = ++m_runNumber;
    load_run &placed = worker.runs[order.task] = run;
    if (!step.gang) {
        beginWork(worker, placed, toMicroseconds(task.runSeconds / worker.speed));
        pace(worker);
        return order_outcome::accepted;
    }
    pace(worker);
    auto &members = m_gangs[{order.task.job, order.task.step, order.attempt}];
    members[order.task.index] = order.worker;
    if (static_cast<int>(members.size()) == step.count) {
        beginGang(order.task, order.attempt);
    } else {
        schedule(m_driver.now + m_settings.gangTimeout,
                 [this, task = order.task, id = order.worker, number = run.number] {
                     load_worker &waiting = m_workers.at(id);
                     const auto found = waiting.runs.find(task);
                     if (found != waiting.runs.end() && found->second.number == number
                         && found->second.workingFrom == 0) {
                         endRun(waiting, task, end_kind::gang_incomplete);
                     }
                 });
    }
    return order_outcome::accepted;
}

void load_simulation::beginWork(load_worker &worker, load_run &run, microseconds duration)
{
    run.workingFrom = m_driver.now + (run.resumedShare > 0 ? m_settings.restoreTime : 0);
    run.duration = duration;
    run.pacedFrom = run.workingFrom;
    const auto remaining =
        static_cast<microseconds>(static_cast<double>(run.duration) * (1 - run.resumedShare));
    schedule(run.workingFrom + remaining,
             [this, id = worker.entry.id, task = run.task, number = run.number] {
                 load_worker &finishing = m_workers.at(id);
                 const auto found = finishing.runs.find(task);
                 if (found != finishing.runs.end() && found->second.pace == 0) {
                     finishRun(finishing, task, number);
                 }
             });
}

void load_simulation::beginGang(const cell::task_id &task, int attempt)
{
    const auto members = m_gangs.at({task.job, task.step, attempt});
    const auto &tasks = m_jobs.at(task.job).tasks[static_cast<std::size_t>(task.step)];
    if (task.step == 0 && m_jobs.at(task.job).stepsDone.insert(0).second) {
        outcomeOf(task).gangWaitSeconds.push_back(
            toSeconds(m_driver.now - m_jobs.at(task.job).submittedAt));
    }
    double longest = 0;
    for (const auto &[index, id] : members) {
        longest = std::max(
            longest, tasks[static_cast<std::size_t>(index)].runSeconds / m_workers.at(id).speed);
    }
    for (const auto &[index, id] : members) {
        load_worker &worker = m_workers.at(id);
        beginWork(worker, worker.runs.at({task.job, task.occurrence, task.step, index}),
                  toMicroseconds(longest));
    }
}

double load_simulation::slowdownOf(const load_worker &worker, const load_run &run) const
{
    double slowdown = 1;
    for (const load_clash &clash : m_settings.clashes) {
        if (m_jobs.at(run.task.job).classIndex != clash.slowedClass || stepOf(run.task).gang) {
            continue;
        }
        const bool isBeside =
            std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto &entry) {
                return entry.second.number != run.number
                    && m_jobs.at(entry.first.job).classIndex == clash.otherClass;
            });
        slowdown = isBeside ? std::max(slowdown, clash.factor) : slowdown;
    }
    return slowdown;
}

/// Returns the work that the run has done, as a time without clashes.
microseconds load_simulation::workedOf(const load_run &run) const
{
    const auto passed =
        static_cast<double>(std::max<microseconds>(0, m_driver.now - run.pacedFrom));
    return run.worked + static_cast<microseconds>(passed / run.slowdown);
}

void load_simulation::countSlowedTime(const load_run &run)
{
    const std::size_t classIndex = m_jobs.at(run.task.job).classIndex;
    const bool isSlowable =
        std::any_of(m_settings.clashes.begin(), m_settings.clashes.end(),
                    [&](const load_clash &clash) { return clash.slowedClass == classIndex; });
    if (isSlowable && run.workingFrom != 0 && !stepOf(run.task).gang) {
        const double passed = static_cast<double>(m_driver.now - run.pacedFrom);
        m_slowedTime += run.slowdown > 1 ? passed : 0;
        m_clashingTime += static_cast<double>(m_driver.now - run.workingFrom);
    }
}

/// Changes the pace of the worker's runs to what is beside them now.
void load_simulation::pace(load_worker &worker)
{
    if (m_settings.clashes.empty()) {
        return;
    }
    for (auto &[task, run] : worker.runs) {
        const double slowdown = slowdownOf(worker, run);
        if (run.workingFrom == 0 || slowdown == run.slowdown) {
            continue;
        }
        const auto passed =
            static_cast<double>(std::max<microseconds>(0, m_driver.now - run.pacedFrom));
        m_slowedTime += run.slowdown > 1 ? passed : 0;
        run.worked = workedOf(run);
        run.pacedFrom = std::max(run.pacedFrom, m_driver.now);
        run.slowdown = slowdown;
        const auto remaining =
            static_cast<microseconds>(static_cast<double>(run.duration) * (1 - run.resumedShare)
                                      - static_cast<double>(run.worked));
        schedule(run.pacedFrom
                     + static_cast<microseconds>(
                         static_cast<double>(std::max<microseconds>(remaining, 0)) * slowdown),
                 [this, id = worker.entry.id, task = task, number = run.number, pace = ++run.pace] {
                     load_worker &finishing = m_workers.at(id);
                     const auto found = finishing.runs.find(task);
                     if (found != finishing.runs.end() && found->second.pace == pace) {
                         finishRun(finishing, task, number);
                     }
                 });
    }
}

double load_simulation::progressOf(const load_run &run) const
{
    if (run.workingFrom == 0 || m_driver.now <= run.workingFrom || run.duration == 0) {
        return run.resumedShare;
    }
    return std::min(1.0,
                    run.resumedShare
                        + static_cast<double>(workedOf(run)) / static_cast<double>(run.duration));
}

double load_simulation::savedShareOf(const load_run &run) const
{
    if (!stepOf(run.task).checkpointing) {
        return 0;
    }
    const double worked = (progressOf(run) - run.resumedShare) * static_cast<double>(run.duration);
    const auto intervals = static_cast<microseconds>(worked) / m_settings.checkpointInterval;
    return run.duration == 0 ? run.resumedShare
                             : run.resumedShare
            + static_cast<double>(intervals * m_settings.checkpointInterval)
                / static_cast<double>(run.duration);
}

void load_simulation::finishRun(load_worker &worker, const cell::task_id &task,
                                std::uint64_t number)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end() || found->second.number != number
        || found->second.stoppingUntil != 0) {
        return;
    }
    const int attempt = found->second.attempt;
    const bool gang = stepOf(task).gang;
    const end_kind how = found->second.fails ? end_kind::failed : end_kind::done;
    if (!gang) {
        endRun(worker, task, how);
        return;
    }
    const auto members = m_gangs[{task.job, task.step, attempt}];
    m_gangs.erase({task.job, task.step, attempt});
    for (const auto &[index, id] : members) {
        const cell::task_id member {task.job, task.occurrence, task.step, index};
        const bool first = index == task.index;
        endRun(m_workers.at(id), member,
               first || how == end_kind::done ? how : end_kind::gang_broken);
    }
}

void load_simulation::endRun(load_worker &worker, const cell::task_id &task, end_kind how)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end()) {
        return;
    }
    const load_run run = found->second;
    worker.runs.erase(found);
    countSlowedTime(run);
    pace(worker);
    const bool saves =
        how == end_kind::stopped && stepOf(task).checkpointing && m_settings.savesWhenStopped;
    const double saved = saves ? progressOf(run) : savedShareOf(run);
    const double cores = static_cast<double>(stepOf(task).demand.cpuMilli) / 1000;
    if (how != end_kind::done && how != end_kind::failed) {
        outcomeOf(task).wastedCoreSeconds +=
            cores * toSeconds(run.duration) * (progressOf(run) - saved);
    }
    if (how == end_kind::stopped && run.stopOrderedAt != 0 && !stepOf(task).gang) {
        const double lost = toSeconds(run.duration) * (progressOf(run) - saved);
        const microseconds restore = saved > 0 ? m_settings.restoreTime : 0;
        outcomeOf(task).preemptedCoreSeconds += cores
            * std::max(lost + toSeconds(restore),
                       toSeconds(m_driver.now - run.stopOrderedAt + restore));
    }
    if (stepOf(task).gang) {
        const timestamp until = run.workingFrom == 0 ? m_driver.now : run.workingFrom;
        outcomeOf(task).wastedCoreSeconds += cores * toSeconds(until - run.presentAt);
    }
    worker.closedAttempt[task] = std::max(worker.closedAttempt[task], run.attempt);
    worker.ended.push_back({++worker.lastEnd, task, run.attempt, how,
                            saved > 0 && how != end_kind::done ? std::to_string(saved) : ""});
    if (how != end_kind::done && stepOf(task).gang) {
        breakGang(task, run.attempt, how);
    }
    if (worker.heldPoll) {
        answerPoll(worker);
    }
}

void load_simulation::breakGang(const cell::task_id &task, int attempt, end_kind how)
{
    const auto gang = m_gangs.find({task.job, task.step, attempt});
    if (gang == m_gangs.end()) {
        return;
    }
    const auto members = gang->second;
    const bool wasComplete = static_cast<int>(members.size()) == stepOf(task).count;
    if (!wasComplete) {
        gang->second.erase(task.index);
        return;
    }
    m_gangs.erase(gang);
    for (const auto &[index, id] : members) {
        if (index != task.index) {
            endRun(m_workers.at(id), {task.job, task.occurrence, task.step, index},
                   how == end_kind::stopped ? end_kind::gang_broken : how);
        }
    }
}

void load_simulation::sendStop(const cell::stop_order &order)
{
    schedule(m_driver.now + messageDelay, [this, order] {
        carryOutStop(order);
        schedule(m_driver.now + messageDelay, [this, order] {
            cell::onStopOutcome(m_driver.cell, order, order_outcome::accepted, m_driver.now);
        });
    });
}

void load_simulation::carryOutStop(const cell::stop_order &order)
{
    load_worker &worker = m_workers.at(order.worker);
    worker.closedAttempt[order.task] = std::max(worker.closedAttempt[order.task], order.attempt);
    const auto found = worker.runs.find(order.task);
    if (found == worker.runs.end() || found->second.stoppingUntil != 0) {
        return;
    }
    load_run &run = found->second;
    run.stopOrderedAt = m_driver.now;
    const auto [preempted, isFirst] =
        m_jobs.at(order.task.job).preemptedAt.emplace(order.task, m_driver.now);
    if (!isFirst && !stepOf(order.task).gang) {
        m_outcome.repeatedPreemptions +=
            m_driver.now < preempted->second + repeatedPreemption ? 1 : 0;
        preempted->second = m_driver.now;
    }
    run.stoppingUntil = m_driver.now
        + toMicroseconds(toSeconds(m_settings.stopTimeout) * drawUniform(m_random, 0.2, 1));
    schedule(run.stoppingUntil, [this, id = order.worker, task = order.task, number = run.number] {
        load_worker &stopping = m_workers.at(id);
        const auto still = stopping.runs.find(task);
        if (still != stopping.runs.end() && still->second.number == number) {
            endRun(stopping, task, end_kind::stopped);
        }
    });
}

void load_simulation::sendPoll(const cell::poll_order &order)
{
    const timestamp sentAt = m_driver.now;
    schedule(m_driver.now + messageDelay, [this, order, sentAt] {
        load_worker &worker = m_workers.at(order.worker);
        while (!worker.ended.empty() && worker.ended.front().sequence <= order.acknowledgedEnd) {
            worker.ended.erase(worker.ended.begin());
        }
        worker.heldPoll = order;
        worker.heldPollSentAt = sentAt;
        if (!worker.ended.empty() || order.wait == 0) {
            answerPoll(worker);
            return;
        }
        schedule(m_driver.now + order.wait,
                 [this, id = order.worker, number = ++worker.heldPollNumber] {
                     load_worker &held = m_workers.at(id);
                     if (held.heldPoll && held.heldPollNumber == number) {
                         answerPoll(held);
                     }
                 });
    });
}

void load_simulation::answerPoll(load_worker &worker)
{
    const cell::poll_order order = *worker.heldPoll;
    const timestamp sentAt = worker.heldPollSentAt;
    worker.heldPoll.reset();
    // Ends of the same moment, such as those of a gang, are part of the answer.
    schedule(m_driver.now, [this, order, sentAt, id = worker.entry.id] {
        const load_worker &answering = m_workers.at(id);
        cell::worker_report report;
        report.workerClock = m_driver.now;
        for (const auto &[task, run] : answering.runs) {
            const double saved = savedShareOf(run);
            report.running.push_back({task, run.attempt, saved > 0 ? std::to_string(saved) : "",
                                      static_cast<int>(progressOf(run) * 100)});
        }
        report.ended = answering.ended;
        schedule(m_driver.now + messageDelay, [this, order, sentAt, report] {
            cell::orders out;
            cell::onReport(m_driver.cell, order, report, sentAt, m_driver.now, out);
            send(out);
            requestDecision();
        });
    });
}

bool load_simulation::isAllowed(const cell::task_id &step, const std::string &worker) const
{
    const double share = m_settings.classes[m_jobs.at(step.job).classIndex].allowedShare;
    const std::string key = step.job + "." + std::to_string(step.step) + "." + worker;
    std::uint64_t hash = 14'695'981'039'346'656'037ULL + m_seed;
    for (const char character : key) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 1'099'511'628'211ULL;
    }
    std::mt19937_64 random(hash);
    return drawUniform(random, 0, 1) < share;
}

void load_simulation::dispatchAdvice(bool longCalls)
{
    cell::advice_queue &queue = longCalls ? m_longAdviceQueue : m_shortAdviceQueue;
    while (!queue.empty()) {
        std::vector<cell::advice_client_load> loads;
        for (const advice_client &client : m_clients) {
            loads.push_back({client.open, false});
        }
        const auto chosen = cell::chooseAdviceClient(loads, longCalls);
        if (!chosen) {
            return;
        }
        const auto next =
            longCalls ? cell::findNextAdvice(queue, m_openAdviceCalls) : queue.begin();
        cell::advice_order order = std::move(next->second);
        queue.erase(next);
        if (cell::prepareAdvice(m_driver.cell, order, m_driver.now)) {
            hashAdvice(order);
            callAdvice(order, m_clients[*chosen]);
        }
    }
}

void load_simulation::dispatchAdvice()
{
    dispatchAdvice(true);
    dispatchAdvice(false);
}

void load_simulation::callAdvice(const cell::advice_order &order, advice_client &client)
{
    ++client.open;
    ++m_openAdviceCalls[order.queue];
    const timestamp arrivesAt = m_driver.now + messageDelay;
    const cell::advice_timing &timing =
        m_settings.classes[m_jobs.at(order.step.job).classIndex].policy.advice;
    client.busyUntil = std::max(client.busyUntil, arrivesAt) + timing.base
        + timing.perWorker * static_cast<microseconds>(order.workers.size());
    schedule(client.busyUntil, [this, order, &client, valid = timing.valid] {
        std::vector<std::pair<std::string, std::string>> allowed;
        for (const std::string &worker : order.workers) {
            if (isAllowed(order.step, worker)) {
                const std::string ticket = "ticket-" + std::to_string(++m_runNumber);
                m_ticketsValidUntil[ticket] = m_driver.now + valid;
                allowed.emplace_back(worker, ticket);
            }
        }
        schedule(m_driver.now + messageDelay, [this, order, &client, allowed, valid] {
            --client.open;
            --m_openAdviceCalls[order.queue];
            cell::onAdvice(m_driver.cell, order, allowed, valid, m_driver.now);
            dispatchAdvice();
            requestDecision();
        });
    });
}

load_outcome load_simulation::run()
{
    m_outcome.classes.resize(m_settings.classes.size());
    m_driver.cell.settings.gangTimeout = m_settings.gangTimeout;
    m_driver.cell.settings.workerSpeeds = m_settings.workerSpeeds;
    m_driver.cell.settings.stopTimeout = m_settings.stopTimeout;
    m_driver.cell.settings.separateClashingTasks = m_settings.separateClashingTasks;
    addQueues();
    addWorkers();
    requestDecision();
    schedule(m_driver.now + warmUp, [this] { generateJobs(); });
    schedule(m_driver.now + gangSampleInterval, [this] { sampleGangWaits(); });
    const timestamp endsAt =
        m_driver.now + warmUp + initialJobsLead + m_settings.length + drainTime;
    while (!m_events.empty() && m_events.begin()->first <= endsAt) {
        const auto first = m_events.begin();
        m_driver.now = first->first;
        const auto action = std::move(first->second);
        m_events.erase(first);
        action();
    }
    m_outcome.counters = m_driver.cell.counters;
    for (const cell::named_pair &pair : cell::listPairs(m_driver.cell.interference, 1)) {
        m_outcome.mostEvident = cell::errorsAboveThreshold(pair.estimate);
    }
    m_outcome.separatedTasks = m_driver.cell.interference.separatedTasks;
    m_outcome.slowedShare = m_clashingTime > 0 ? m_slowedTime / m_clashingTime : 0;
    for (const auto &[name, service] : m_driver.cell.speeds.services) {
        m_outcome.speedsUsed = m_outcome.speedsUsed || service.used;
    }
    m_outcome.meanUsedShare = m_usedShareSum / std::max(m_usedShareSamples, 1);
    return m_outcome;
}

} // namespace

load_outcome simulateLoad(const load_settings &settings, std::uint64_t seed)
{
    return load_simulation(settings, seed).run();
}

} // namespace bramleygrade::testing
