#define BOOST_TEST_MODULE restarted_workers_cluster
#include <boost/test/unit_test.hpp>

#include "loaded_cluster.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;
using namespace bramleygrade::testing;

namespace {

constexpr std::uint64_t startsBetweenFaults = startsPerSecond / 2;

/// What happens to the scheduler beside two waves in which workers start again under their ids.
enum class scheduler_fault { none, frozen_before, frozen_between, frozen_after };

struct restart_case
{
    const char *description;
    scheduler_fault fault;
};

const std::vector<restart_case> restartCases {
    {"the scheduler stays", scheduler_fault::none},
    {"the scheduler freezes before the workers crash", scheduler_fault::frozen_before},
    {"the scheduler freezes while the workers are down", scheduler_fault::frozen_between},
    {"the scheduler freezes when the workers are up again", scheduler_fault::frozen_after},
};

/// Freezes the scheduler of the cluster if `fault` is the one given.
void freezeIf(loaded_cluster &cluster, bool isFaultNow, cluster_member *&frozen)
{
    if (isFaultNow && cluster.leader() != nullptr) {
        frozen = cluster.leader();
        frozen->frozen = true;
    }
}

} // namespace

// Guards against tasks that run again after they were done, as their worker had started again under
// its id.
BOOST_AUTO_TEST_CASE(twice_workers_restart_around_a_takeover)
{
    for (const restart_case &given : restartCases) {
        BOOST_TEST_CONTEXT(given.description)
        {
            loaded_cluster cluster;
            BOOST_REQUIRE_MESSAGE(cluster.startError.empty(), cluster.startError);
            BOOST_REQUIRE(cluster.runUntil([&] { return cluster.hasLargeLeader(); }));
            BOOST_REQUIRE(cluster.runLoad(startsPerSecond));
            cluster_member *frozen = nullptr;
            freezeIf(cluster, given.fault == scheduler_fault::frozen_before, frozen);
            cluster.crashThird(1);
            freezeIf(cluster, given.fault == scheduler_fault::frozen_between, frozen);
            BOOST_REQUIRE(cluster.runLoad(startsBetweenFaults));
            cluster.restartCrashed();
            freezeIf(cluster, given.fault == scheduler_fault::frozen_after, frozen);
            BOOST_REQUIRE(cluster.runLoad(startsBetweenFaults));
            if (frozen != nullptr) {
                frozen->frozen = false;
            }
            cluster.crashThird(2);
            cluster.restartCrashed();
            BOOST_REQUIRE(cluster.runLoad(2 * startsPerSecond));
            BOOST_TEST(cluster.record.violations.empty(),
                       cluster.record.violations.size()
                           << " violations, the first: " << cluster.record.violations.front());
        }
    }
}
