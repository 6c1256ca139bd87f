#include "testing/cell/load_presets.h"

#include <algorithm>

namespace bramleygrade::testing {

namespace {

cell::queue_policy makePolicy(const std::string &name, int priority, int maxAttempts,
                              double slackFactor, microseconds latencyTarget,
                              const cell::advice_timing &advice)
{
    cell::queue_policy policy;
    policy.name = name;
    policy.priority = priority;
    policy.maxAttempts = maxAttempts;
    policy.slackFactor = slackFactor;
    policy.latencyTarget = latencyTarget;
    policy.needsAdvice = true;
    policy.advice = advice;
    return policy;
}

load_class makeGangs()
{
    load_class gangs;
    gangs.policy = makePolicy("gangs", 1, 4, 2.2, second, {442 * millisecond, 6'370, 2 * second});
    gangs.jobsPerSecond = 5.2;
    gangs.initialJobs = 18;
    gangs.worth = 7.29;
    gangs.lateWorth = 1.46;
    gangs.runSeconds = {4, 0.5, 10};
    gangs.steps = {1.2, 0.4, 3};
    gangs.tasks = {20, 0.8, 120};
    gangs.cpuMilli = {9'000, 0.4, 15'000};
    gangs.memoryMb = {26'000, 0.5, 51'000};
    gangs.unevenness = 0.15;
    gangs.estimateError = 0.2;
    gangs.gangShare = 1;
    gangs.checkpointingShare = 0.5;
    gangs.failingShare = 0.05;
    gangs.allowedShare = 0.3;
    return gangs;
}

load_class makeBatches()
{
    load_class batches;
    batches.policy =
        makePolicy("batches", 2, 4, 4, 3 * second, {104 * millisecond, 1'430, 2 * second});
    batches.jobsPerSecond = 10.7;
    batches.initialJobs = 25;
    batches.worth = 2.21;
    batches.lateWorth = 0.442;
    batches.runSeconds = {2.2, 0.5, 5.4};
    batches.steps = {1.5, 0.4, 3.8};
    batches.tasks = {25, 0.8, 150};
    batches.cpuMilli = {3'500, 0.45, 10'000};
    batches.memoryMb = {13'000, 0.6, 38'000};
    batches.unevenness = 0.3;
    batches.estimateError = 0.5;
    batches.checkpointingShare = 0.8;
    batches.spreadShare = 0.12;
    batches.failingShare = 0.02;
    batches.allowedShare = 0.45;
    return batches;
}

load_class makeBookings()
{
    load_class bookings;
    bookings.policy =
        makePolicy("bookings", 0, 2, 1.5, 250 * millisecond, {14'300, 208, 2 * second});
    bookings.jobsPerSecond = 77;
    bookings.worth = 0.431;
    bookings.lateWorth = 0.0862;
    bookings.runSeconds = {1, 0.5, 2.5};
    bookings.steps = {1, 0, 1};
    bookings.tasks = {3.2, 0.8, 19};
    bookings.cpuMilli = {5'000, 0.45, 15'000};
    bookings.memoryMb = {14'000, 0.6, 43'000};
    bookings.unevenness = 0.3;
    bookings.estimateError = 0.5;
    bookings.gangShare = 0.3;
    bookings.failingShare = 0.05;
    bookings.allowedShare = 0.7;
    return bookings;
}

load_class makeLargeGangs()
{
    load_class gangs;
    gangs.policy = makePolicy("gangs", 1, 4, 2.2, second, {637 * millisecond, 9'100, 2 * second});
    gangs.jobsPerSecond = 7.33;
    gangs.initialJobs = 34;
    gangs.worth = 6.85;
    gangs.lateWorth = 1.37;
    gangs.runSeconds = {6.2, 0.5, 16};
    gangs.steps = {1.2, 0.4, 3};
    gangs.tasks = {16, 0.6, 80};
    gangs.cpuMilli = {9'000, 0.4, 15'000};
    gangs.memoryMb = {17'000, 0.5, 33'000};
    gangs.unevenness = 0.3;
    gangs.estimateError = 0.9;
    gangs.gangShare = 1;
    gangs.checkpointingShare = 0.5;
    gangs.failingShare = 0.02;
    gangs.allowedShare = 0.3;
    return gangs;
}

load_class makeLargeBatches()
{
    load_class batches;
    batches.policy =
        makePolicy("batches", 2, 3, 4, 3 * second, {182 * millisecond, 2'600, 2 * second});
    batches.jobsPerSecond = 12.2;
    batches.initialJobs = 31;
    batches.worth = 2.56;
    batches.lateWorth = 0.512;
    batches.runSeconds = {2.7, 0.5, 6.8};
    batches.steps = {1.5, 0.4, 3.8};
    batches.tasks = {19, 0.6, 96};
    batches.cpuMilli = {5'500, 0.45, 17'000};
    batches.memoryMb = {10'000, 0.6, 30'000};
    batches.unevenness = 0.3;
    batches.estimateError = 0.5;
    batches.checkpointingShare = 0.8;
    batches.spreadShare = 0.12;
    batches.failingShare = 0.05;
    batches.allowedShare = 0.45;
    return batches;
}

load_class makeLargeBookings()
{
    load_class bookings;
    bookings.policy =
        makePolicy("bookings", 0, 2, 1.5, 300 * millisecond, {20'800, 299, 2 * second});
    bookings.jobsPerSecond = 109;
    bookings.worth = 0.405;
    bookings.lateWorth = 0.081;
    bookings.runSeconds = {0.8, 0.5, 2};
    bookings.steps = {1, 0, 1};
    bookings.tasks = {3.1, 0.8, 19};
    bookings.cpuMilli = {7'900, 0.45, 24'000};
    bookings.memoryMb = {15'000, 0.6, 44'000};
    bookings.unevenness = 0.15;
    bookings.estimateError = 0.5;
    bookings.gangShare = 0.3;
    bookings.failingShare = 0.02;
    bookings.allowedShare = 0.7;
    return bookings;
}

void addStragglers(load_class &jobClass)
{
    jobClass.stragglingShare = 0.03;
    jobClass.straggling = 7;
}

load_class makeUnevenGangs()
{
    load_class gangs = makeGangs();
    gangs.jobsPerSecond = 5.24;
    gangs.runSeconds = {3.4, 0.5, 8.5};
    addStragglers(gangs);
    return gangs;
}

load_class makeUnevenBatches()
{
    load_class batches = makeBatches();
    batches.policy.name = "batch";
    batches.jobsPerSecond = 8.66;
    batches.runSeconds = {2.3, 0.5, 5.6};
    addStragglers(batches);
    return batches;
}

load_class makeLookups()
{
    load_class lookups = makeBookings();
    lookups.policy.name = "lookups";
    lookups.jobsPerSecond = 121;
    lookups.runSeconds = {0.54, 0.5, 1.35};
    lookups.tasks = {3, 0.8, 18};
    addStragglers(lookups);
    return lookups;
}

} // namespace

load_settings makeUnevenSpeeds()
{
    load_settings settings = makeWideSteps();
    settings.speeds = {0.55, 1.2, 1.2, 1.2};
    settings.kinds = {"kind-a", "kind-b", "kind-b", "kind-b"};
    settings.savesWhenStopped = false;
    settings.length = 45 * second;
    settings.classes = {makeUnevenGangs(), makeUnevenBatches(), makeLookups()};
    settings.bursts = {};
    for (std::size_t index = 0; index < settings.classes.size(); ++index) {
        settings.bursts.push_back({index, 7'500 * millisecond, 7'500 * millisecond, 1.55});
        settings.bursts.push_back({index, 22'500 * millisecond, 7'500 * millisecond, 1.55});
    }
    return settings;
}

load_settings makeWideSteps()
{
    load_settings settings;
    settings.workers = 350;
    settings.workersPerRack = 12;
    settings.capacity = {32'000, 131'072, 0};
    settings.speeds = {0.8, 1.0, 1.25};
    settings.entries = 37;
    settings.length = 34 * second;
    settings.checkpointInterval = second;
    settings.restoreTime = 250 * millisecond;
    settings.stopTimeout = 900 * millisecond;
    settings.gangTimeout = 4 * second;
    settings.classes = {makeGangs(), makeBatches(), makeBookings()};
    settings.bursts = {{2, 6'500 * millisecond, 4 * second, 1.9},
                       {0, 22 * second, 4 * second, 1.9}};
    return settings;
}

load_settings makeWideStepsAtPeak()
{
    load_settings settings = makeWideSteps();
    settings.workers = 320;
    settings.entries = 28;
    settings.classes[0].jobsPerSecond = 5.97;
    settings.classes[1].jobsPerSecond = 12.3;
    settings.classes[2].jobsPerSecond = 88.4;
    settings.bursts = {{2, 8'400 * millisecond, 4 * second, 2.1},
                       {0, 22 * second, 4 * second, 1.6}};
    return settings;
}

load_settings makeLargeCell()
{
    load_settings settings;
    settings.workers = 540;
    settings.workersPerRack = 8;
    settings.capacity = {32'000, 65'536, 0};
    settings.speeds = {1.0, 1.0, 1.3};
    settings.entries = 97;
    settings.length = 34 * second;
    settings.checkpointInterval = 2 * second;
    settings.restoreTime = 600 * millisecond;
    settings.stopTimeout = 400 * millisecond;
    settings.gangTimeout = 5 * second;
    settings.classes = {makeLargeGangs(), makeLargeBatches(), makeLargeBookings()};
    settings.bursts = {{2, 6'500 * millisecond, 4 * second, 1.9},
                       {0, 22 * second, 4 * second, 1.6}};
    return settings;
}

namespace {

using job_iterator = std::vector<load_job_outcome>::const_iterator;

size_outcome sumJobs(job_iterator first, job_iterator last)
{
    size_outcome sum;
    sum.jobs = static_cast<int>(last - first);
    if (first == last) {
        return sum;
    }
    double onTime = 0;
    double late = 0;
    double owed = 0;
    double earned = 0;
    for (auto job = first; job != last; ++job) {
        onTime += job->completedOnTime ? 1 : 0;
        late += job->completedLate ? 1 : 0;
        owed += job->worthOwed;
        earned += job->worthEarned;
        sum.queuedForAdvice += job->queuedForAdvice / sum.jobs;
        for (const auto &[obstacle, seconds] : job->gangWaits) {
            sum.gangWaits[obstacle] += seconds / sum.jobs;
        }
    }
    sum.onTime = onTime / sum.jobs;
    sum.served = (onTime + late) / sum.jobs;
    sum.earned = earned / owed;
    return sum;
}

} // namespace

outcome_by_size sortBySize(const load_outcome &outcome, std::size_t classIndex)
{
    std::vector<load_job_outcome> jobs;
    std::copy_if(outcome.jobs.begin(), outcome.jobs.end(), std::back_inserter(jobs),
                 [&](const load_job_outcome &job) { return job.classIndex == classIndex; });
    std::sort(jobs.begin(), jobs.end(), [](const load_job_outcome &a, const load_job_outcome &b) {
        return a.coreSeconds > b.coreSeconds;
    });
    const auto tenth = static_cast<std::ptrdiff_t>(jobs.size() / 10);
    const job_iterator first = jobs.begin();
    return {sumJobs(first, first + tenth), sumJobs(first + tenth, first + 3 * tenth),
            sumJobs(first + 3 * tenth, jobs.end()), sumJobs(first, jobs.end())};
}

double earnedShare(const load_class_outcome &outcome)
{
    return outcome.worthOwed == 0 ? 1.0 : outcome.worthEarned / outcome.worthOwed;
}

load_class_outcome sumOutcomes(const load_outcome &outcome)
{
    load_class_outcome total;
    for (const load_class_outcome &served : outcome.classes) {
        total.jobs += served.jobs;
        total.completedOnTime += served.completedOnTime;
        total.completedLate += served.completedLate;
        total.worthOwed += served.worthOwed;
        total.worthEarned += served.worthEarned;
        total.wastedCoreSeconds += served.wastedCoreSeconds;
        total.preemptedCoreSeconds += served.preemptedCoreSeconds;
    }
    return total;
}

} // namespace bramleygrade::testing
