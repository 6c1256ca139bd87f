#define BOOST_TEST_MODULE job_sizes
#include <boost/test/unit_test.hpp>

#include "cell/jobs/job_sizes.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;

BOOST_AUTO_TEST_CASE(ended_jobs_count_by_their_widest_step_and_outcome)
{
    struct row
    {
        const char *name;
        std::vector<int> tasks;
        cell::job_phase phase;
        timestamp endsAt;
        std::size_t range;
        ended_jobs counted;
    };
    constexpr timestamp objective = 10 * second;
    const row rows[] = {
        {"one task, on time", {1}, cell::job_phase::completed, objective, 0, {1, 0, 0}},
        {"late", {2}, cell::job_phase::completed, objective + 1, 1, {0, 1, 0}},
        {"widest step counts", {3, 31, 8}, cell::job_phase::completed, 0, 2, {1, 0, 0}},
        {"failed on time", {32}, cell::job_phase::failed, 0, 3, {0, 0, 1}},
        {"widest range", {1'000}, cell::job_phase::completed, 0, 4, {1, 0, 0}},
        {"cancelled", {8}, cell::job_phase::cancelled, 0, 2, {0, 0, 0}},
    };
    for (const row &test : rows) {
        BOOST_TEST_CONTEXT(test.name)
        {
            job_state job;
            job.objectiveAt = objective;
            for (const int count : test.tasks) {
                job.spec.steps.emplace_back().count = count;
            }
            ended_by_size counts;
            countEnded(counts, job, test.phase, test.endsAt);
            ended_by_size expected;
            expected[test.range] = test.counted;
            for (std::size_t range = 0; range < counts.size(); ++range) {
                BOOST_TEST((counts[range] == expected[range]),
                           "range " << sizeRanges[range].name << ": on time "
                                    << counts[range].onTime << ", late " << counts[range].late
                                    << ", failed " << counts[range].failed);
            }
        }
    }
}
