#define BOOST_TEST_MODULE crash_attribution
#include <boost/test/included/unit_test.hpp>

#include <algorithm>

#include "cell_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using cell_report = bramleygrade::cell::worker_report;
using cell_phase = bramleygrade::cell::job_phase;
using bramleygrade::testing::cell_fixture;

namespace {

/// How the scheduler learns that a worker has crashed.
enum class crash_sign { poll_refused, start_refused, address_listed_again, listed_after_silence };

/// A cell whose workers crash and come back at their address with a new id.
struct crashing_cell : cell_fixture
{
    /// Passes time during which all workers but `silent` answer.
    orders pass(microseconds duration, const std::string &silent = "")
    {
        orders last;
        for (const timestamp until = now + duration; now < until;) {
            now += 100 * millisecond;
            for (const worker_entry &entry : entries) {
                if (entry.id == silent) {
                    onPollFailed(cell, makePoll(silent), order_outcome::unanswered, now, last);
                } else {
                    report(entry.id, runningOn(entry.id));
                }
            }
            const orders out = decide();
            last.starts.insert(last.starts.end(), out.starts.begin(), out.starts.end());
        }
        return last;
    }

    /// Returns the report of a worker that still has all of its runs.
    cell_report runningOn(const std::string &worker)
    {
        cell_report answer;
        for (const task_id &id : cell.workers.at(worker).runs) {
            answer.running.push_back({id, findTask(cell.jobs.at(id.job), id)->attempt, "", 0});
        }
        return answer;
    }

    /// Ends the worker's life; returns the starts that follow.
    std::vector<start_order> crash(const start_order &order, crash_sign sign)
    {
        const std::string crashed = order.worker;
        orders out;
        std::vector<start_order> starts;
        if (sign == crash_sign::poll_refused) {
            onPollFailed(cell, makePoll(crashed), order_outcome::refused_incarnation, now, out);
        } else if (sign == crash_sign::start_refused) {
            onStartOutcome(cell, order, order_outcome::refused_incarnation, now, out);
        } else if (sign == crash_sign::listed_after_silence) {
            starts = pass(8 * second, crashed).starts;
        }
        const auto entry =
            std::find_if(entries.begin(), entries.end(),
                         [&](const worker_entry &listed) { return listed.id == crashed; });
        entry->id += "+";
        changeWorkers(cell, entries, now);
        store();
        const std::vector<start_order> first = decide().starts;
        report(entry->id, {});
        const std::vector<start_order> later = decide().starts;
        starts.insert(starts.end(), first.begin(), first.end());
        starts.insert(starts.end(), later.begin(), later.end());
        return starts;
    }
};

struct sign_case
{
    const char *description;
    crash_sign sign;
};

const std::vector<sign_case> allSigns {
    {"another incarnation refuses a poll", crash_sign::poll_refused},
    {"another incarnation refuses the start", crash_sign::start_refused},
    {"the registry lists another worker at the address", crash_sign::address_listed_again},
    {"the worker is silent, then another is listed", crash_sign::listed_after_silence},
};

} // namespace

// Guards against a task that crashed worker after worker, as crashes were not counted.
BOOST_AUTO_TEST_CASE(budget_task_that_crashes_every_worker)
{
    for (const sign_case &given : allSigns) {
        BOOST_TEST_CONTEXT(given.description)
        {
            crashing_cell fixture;
            std::vector<start_order> starts =
                fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)})).starts;
            int startsAfterThirdCrash = 0;
            constexpr int maxCrashes = 8;
            for (int crashes = 0; crashes < maxCrashes && !starts.empty(); ++crashes) {
                startsAfterThirdCrash += crashes >= 3 ? 1 : 0;
                fixture.now += 10 * millisecond;
                starts = fixture.crash(starts.front(), given.sign);
            }
            BOOST_TEST(startsAfterThirdCrash < 3);
            BOOST_TEST((fixture.cell.jobs.at("a").finalPhase == cell_phase::failed));
        }
    }
}
