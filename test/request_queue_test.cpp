#define BOOST_TEST_MODULE request_queue
#include <boost/test/unit_test.hpp>

#include "core/request_queue.h"

using namespace bramleygrade;

BOOST_AUTO_TEST_CASE(the_team_holding_the_fewest_slots_is_served_first)
{
    service_queue queue;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        enqueue(queue, "busy", number);
    }
    enqueue(queue, "quiet", 11);
    queue.teams["busy"].inFlight = 1;
    BOOST_TEST(dequeueFairly(queue) == 11u);
    BOOST_TEST(dequeueFairly(queue) == 1u);
    BOOST_TEST(queue.waiting == 9u);
}

BOOST_AUTO_TEST_CASE(dequeuing_from_an_empty_queue_returns_zero)
{
    service_queue queue;
    BOOST_TEST(dequeueFairly(queue) == 0u);
}

BOOST_AUTO_TEST_CASE(a_requeued_request_returns_to_the_front)
{
    service_queue queue;
    enqueue(queue, "a", 1);
    enqueue(queue, "a", 2);
    requeue(queue, "a", dequeueFairly(queue));
    BOOST_TEST(dequeueFairly(queue) == 1u);
    removeWaiting(queue, "a", 2);
    BOOST_TEST(queue.waiting == 0u);
}

BOOST_AUTO_TEST_CASE(a_burst_of_one_team_does_not_lengthen_the_expected_wait_of_another)
{
    service_queue queue;
    queue.meanAnswer = 100 * millisecond;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        enqueue(queue, "burst", number);
    }
    BOOST_TEST(estimateWait(queue, "burst", 10) == 1000 * millisecond);
    BOOST_TEST(estimateWait(queue, "quiet", 10) == 10 * millisecond);
}
