#pragma once

#include <algorithm>
#include <optional>
#include <string>

#include "cell_fixture.h"

/// \file
/// A worker that starts again under its id, carries out orders and is cut off.

namespace bramleygrade::testing {

inline constexpr std::int64_t formerBorn = 1'790'000'000'000;
inline constexpr std::int64_t newBorn = formerBorn + 60'000;
inline constexpr microseconds stepTime = 20 * millisecond;
inline constexpr microseconds orderTimeout = 400 * millisecond;
inline constexpr microseconds downTime = 50 * millisecond;
/// Longest time for which a lease lasts on a worker whose clock is 2 % slow.
inline constexpr microseconds longestLease = 6'120 * millisecond;

/// How a worker that starts again under its id carries out a start order meant for its former life.
struct late_start
{
    const char *name;
    /// Time from the sending of the order.
    microseconds carriedOutAfter;
    /// The scheduler receives the answer of the new life, before the worker is cut off.
    bool isAnswered;
    /// The registry shows the new life.
    bool isListed;
};

/// Three workers and a job of one task. The worker that is to start it crashes, starts again under
/// its id, carries out the order and is cut off.
struct cut_off_fixture : cell_fixture
{
    explicit cut_off_fixture(std::int64_t epoch = 1)
        : cell_fixture(epoch, false)
    {
        for (cell::worker_entry &entry : entries) {
            entry.born = formerBorn;
        }
        cell.workers.clear();
    }

    void settle()
    {
        cell::changeWorkers(cell, entries, now);
        for (int round = 0; round < 3; ++round) {
            answerPolls(decide());
            store();
            now += stepTime;
        }
    }

    /// Delivers the outcomes of the polls: answers of all workers but the one that is cut off.
    void answerPolls(const cell::orders &out)
    {
        for (const cell::poll_order &poll : out.polls) {
            cell::orders ignored;
            if (poll.worker == cutOff) {
                cell::onPollFailed(cell, poll, cell::order_outcome::unanswered, now, ignored);
            } else {
                cell::onReport(cell, poll, reportOf(poll.worker), now, now, ignored);
            }
        }
    }

    cell::worker_report reportOf(const std::string &worker) const
    {
        cell::worker_report report;
        report.born = worker == restarted ? newBorn : formerBorn;
        report.workerClock = now - (worker == restarted ? restartedAt : formerBornAt);
        return report;
    }

    void restartWorkerOf(const cell::start_order &order)
    {
        restarted = order.worker;
        cutOff = order.worker;
        restartedAt = now + downTime;
    }

    void listRestart()
    {
        const auto entry = std::find_if(entries.begin(), entries.end(),
                                        [&](const auto &listed) { return listed.id == restarted; });
        entry->born = newBorn;
        cell::changeWorkers(cell, entries, now);
    }

    /// Lets the new life carry out the order; returns the latest end of the lease.
    timestamp carryOut(const cell::start_order &order, const late_start &given)
    {
        const timestamp sentAt = now;
        now = restartedAt;
        if (given.isListed) {
            listRestart();
        }
        const timestamp carriedOutAt = sentAt + given.carriedOutAfter;
        now = given.isAnswered ? carriedOutAt : sentAt + orderTimeout;
        cell::orders ignored;
        cell::onStartOutcome(cell, order,
                             given.isAnswered ? cell::order_outcome::accepted
                                              : cell::order_outcome::unanswered,
                             now, ignored, given.isAnswered ? now - restartedAt : 0);
        return carriedOutAt + longestLease;
    }

    /// Returns the time of the next start of a task; nothing if there is none within 30 s.
    std::optional<timestamp> runUntilStart()
    {
        for (const timestamp end = now + 30 * second; now < end; now += stepTime) {
            const cell::orders out = decide();
            store();
            if (!out.starts.empty()) {
                return now;
            }
            answerPolls(out);
        }
        return std::nullopt;
    }

    /// Where the clocks of the lives before the restart were zero.
    timestamp formerBornAt = 0;
    std::string restarted;
    std::string cutOff;
    timestamp restartedAt = distantPast;
};

/// A start order of a job of one task whose worker has answered for a while.
struct ordered_start : cut_off_fixture
{
    explicit ordered_start(bool isGang = false, bool isLasting = false)
    {
        settle();
        now += 60 * second; // no lease of an earlier scheduler is left
        settle();
        cell::step_spec step = makeStep(1, 1'000);
        step.gang = isGang;
        step.longRunning = isLasting;
        out = run(makeJob("a", {step}));
        BOOST_REQUIRE(out.starts.size() == 1U);
        order = out.starts[0];
    }

    void deliver(cell::order_outcome outcome)
    {
        cell::orders ignored;
        cell::onStartOutcome(cell, order, outcome, now, ignored);
    }

    const cell::worker_life &life() const { return cell.workers.at(order.worker).life; }

    cell::orders out;
    cell::start_order order;
};

} // namespace bramleygrade::testing
