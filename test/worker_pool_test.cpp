#define BOOST_TEST_MODULE worker_pool
#include <boost/test/unit_test.hpp>

#include "core/worker_pool.h"

using namespace bramleygrade;

namespace {

const std::string self = "entry-1#1";
constexpr timestamp now = 1000 * second;

/// Six workers with four slots each in two failure domains, which have answered their
/// owner's poll.
struct pool_fixture
{
    pool_fixture()
    {
        list_update list;
        for (int number = 1; number <= 6; ++number) {
            auto worker = std::make_unique<instance>();
            worker->name = "worker-" + std::to_string(number);
            worker->failure_domain = number <= 3 ? "domain-a" : "domain-b";
            worker->rack = "1";
            worker->service = "booking";
            worker->slots = 4;
            list.instances.push_back(std::move(worker));
        }
        updateInstanceList(cell, list, now);
        updateWorkers(pool, cell);
        shard_row row;
        row.epoch = 1;
        row.owner = self;
        updateShardRow(authority, self, "rack-1", row, 1, now, now);
        for (auto &[name, worker] : pool.workers) {
            worker.lastReportRequestedAt = now + clockOffsetBound;
        }
        document.service = "booking";
        document.allowed_domains = {"domain-a"};
    }

    std::string choose(const std::string &avoided = {})
    {
        const worker_view *chosen =
            chooseEndpoint(pool, authority, self, document, avoided, now + second);
        return chosen == nullptr ? std::string() : chosen->info.name;
    }

    void failRequests(const std::string &name, int times)
    {
        for (int count = 0; count < times; ++count) {
            recordEndpointFailure(pool, pool.workers.at(name), now + second);
        }
    }

    cell_state cell;
    authority_state authority;
    worker_pool pool;
    service_document document;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(least_waiting_spreads_requests_and_best_packing_fills_endpoints,
                        pool_fixture)
{
    pool.workers.at("worker-1").busySlots = 2;
    pool.workers.at("worker-2").busySlots = 1;
    BOOST_TEST(choose() == "worker-3");
    document.policy = placement_policy::best_packing;
    BOOST_TEST(choose() == "worker-1");
}

BOOST_FIXTURE_TEST_CASE(requests_stay_in_allowed_domains_when_no_slot_is_free_there, pool_fixture)
{
    for (const char *name : {"worker-1", "worker-2", "worker-3"}) {
        pool.workers.at(name).busySlots = 4;
    }
    BOOST_TEST(choose() == "");
}

BOOST_FIXTURE_TEST_CASE(leaving_and_unpolled_workers_get_no_requests, pool_fixture)
{
    pool.workers.at("worker-1").hasReportedLeaving = true;
    pool.workers.at("worker-2").info.state = instance_state::leaving;
    pool.workers.at("worker-3").lastReportRequestedAt = now;
    BOOST_TEST(choose() == "");
}

BOOST_FIXTURE_TEST_CASE(untracked_slots_count_as_busy, pool_fixture)
{
    pool.workers.at("worker-1").untrackedSlots = 4;
    pool.workers.at("worker-2").untrackedSlots = 4;
    pool.workers.at("worker-3").busySlots = 3;
    BOOST_TEST(choose() == "worker-3");
    pool.workers.at("worker-3").untrackedSlots = 1;
    BOOST_TEST(choose() == "");
}

BOOST_FIXTURE_TEST_CASE(failing_endpoints_are_ejected_up_to_the_share_limit, pool_fixture)
{
    document.allowed_domains = {"domain-a", "domain-b"};
    for (const char *name : {"worker-1", "worker-2", "worker-3", "worker-4"}) {
        failRequests(name, 5);
    }
    const int ejected = static_cast<int>(
        std::count_if(pool.workers.begin(), pool.workers.end(), [](const auto &item) {
            return item.second.health.ejectedUntil > now + second;
        }));
    BOOST_TEST(ejected == 2);
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_gets_one_probe_request_after_its_ejection, pool_fixture)
{
    document.allowed_domains = {"domain-a", "domain-b"};
    failRequests("worker-1", 3);
    worker_view &worker = pool.workers.at("worker-1");
    const timestamp after = worker.health.ejectedUntil;
    BOOST_TEST(countUsableSlots(worker, authority, self, after - 1) == 0);
    BOOST_TEST(countUsableSlots(worker, authority, self, after) == 1);
    worker.health.isProbing = true;
    BOOST_TEST(countUsableSlots(worker, authority, self, after) == 0);
    recordEndpointSuccess(worker, millisecond);
    BOOST_TEST(countUsableSlots(worker, authority, self, after) == 4);
}

BOOST_FIXTURE_TEST_CASE(a_slow_endpoint_gets_fewer_requests, pool_fixture)
{
    for (const char *name : {"worker-1", "worker-2", "worker-3"}) {
        pool.workers.at(name).health.meanAnswer = 10 * millisecond;
    }
    pool.workers.at("worker-1").health.meanAnswer = 100 * millisecond;
    pool.workers.at("worker-2").busySlots = 3;
    pool.workers.at("worker-3").busySlots = 2;
    BOOST_TEST(choose() == "worker-3");
}

BOOST_FIXTURE_TEST_CASE(a_retry_avoids_the_endpoint_of_the_failed_attempt, pool_fixture)
{
    pool.workers.at("worker-2").busySlots = 3;
    pool.workers.at("worker-3").busySlots = 3;
    BOOST_TEST(choose() == "worker-1");
    BOOST_TEST(choose("worker-1") != "worker-1");
}
