#define BOOST_TEST_MODULE authority
#include <boost/test/unit_test.hpp>

#include "core/authority.h"

using namespace bramleygrade;

namespace {

const std::string self = "entry-1#1";
const std::string successor = "entry-2#1";
constexpr timestamp start = 1000 * second;

shard_row rowOf(std::uint64_t epoch, const std::string &owner,
                const std::vector<std::string> &successors = {successor})
{
    shard_row row;
    row.epoch = epoch;
    row.owner = owner;
    row.successors = successors;
    return row;
}

bool holdsRackLease(const authority_state &state, timestamp now)
{
    return holdsLease(state, self, "rack-1", now);
}

void readRow(authority_state &state, const shard_row &row, std::uint64_t version, timestamp at)
{
    updateShardRow(state, self, "rack-1", row, version, at, at);
}

promise_grant grantAt(timestamp askedAt, bool isClaimed = false)
{
    promise_grant grant;
    grant.asked_at = askedAt;
    if (isClaimed) {
        grant.claimed.push_back(std::make_unique<shard_epoch>());
        grant.claimed.back()->shard = "rack-1";
    }
    return grant;
}

/// The successor's answer to a promise_ask for epoch 1.
promise_grant grantOf(authority_state &state, timestamp now)
{
    std::vector<command> commands;
    step_context context {now, commands};
    promise_ask ask;
    ask.asked_at = now;
    ask.shards.push_back(std::make_unique<shard_epoch>());
    ask.shards.back()->shard = "rack-1";
    ask.shards.back()->epoch = 1;
    handlePromiseAsk(state, successor, self, ask, context);
    return *std::get<peer_message>(commands.at(0)).body.Aspromise_grant();
}

} // namespace

BOOST_AUTO_TEST_CASE(the_first_owner_acts_at_once_until_its_lease_expires)
{
    authority_state state;
    readRow(state, rowOf(1, self), 5, start);
    BOOST_TEST(holdsRackLease(state, start));
    BOOST_TEST(holdsRackLease(state, start + shortenedByClockError(leaseDuration) - 1));
    BOOST_TEST(!holdsRackLease(state, start + shortenedByClockError(leaseDuration)));
}

BOOST_AUTO_TEST_CASE(a_claimant_waits_until_every_deadline_of_the_former_owner_has_passed)
{
    authority_state state;
    readRow(state, rowOf(2, self), 6, start);
    const timestamp leaseStart = start + lengthenedByClockError(leaseDuration);
    confirmShardRows(state, self, leaseStart - second);
    BOOST_TEST(!holdsRackLease(state, leaseStart - 1));
    BOOST_TEST(holdsRackLease(state, leaseStart));
}

BOOST_AUTO_TEST_CASE(the_receiver_of_a_handed_over_shard_acts_at_once)
{
    authority_state state;
    shard_row row = rowOf(2, self);
    row.handed_over = true;
    readRow(state, row, 6, start);
    BOOST_TEST(holdsRackLease(state, start));
}

BOOST_AUTO_TEST_CASE(promises_extend_a_lease_in_an_outage_only_if_all_successors_grant_them)
{
    authority_state state;
    readRow(state, rowOf(1, self, {successor, "entry-3#1"}), 5, start);
    const timestamp later = start + 10 * second;
    handlePromiseGrant(state, self, successor, grantAt(later));
    BOOST_TEST(!holdsRackLease(state, later));
    handlePromiseGrant(state, self, "entry-3#1", grantAt(later));
    BOOST_TEST(holdsRackLease(state, later));
}

BOOST_AUTO_TEST_CASE(a_grant_that_lists_the_shard_as_claimed_does_not_extend_the_lease)
{
    authority_state state;
    readRow(state, rowOf(1, self), 5, start);
    handlePromiseGrant(state, self, successor, grantAt(start + 10 * second, true));
    BOOST_TEST(!holdsRackLease(state, start + 10 * second));
}

BOOST_AUTO_TEST_CASE(an_unsettled_change_of_successors_needs_promises_of_old_and_new_ones)
{
    authority_state state;
    readRow(state, rowOf(1, self), 5, start);
    shard_view &view = state.shards.at("rack-1");
    view.proposedSuccessors = {"entry-3#1"};
    view.unsettledVersion = 5;
    const timestamp later = start + 10 * second;
    handlePromiseGrant(state, self, successor, grantAt(later));
    BOOST_TEST(!holdsRackLease(state, later));
    handlePromiseGrant(state, self, "entry-3#1", grantAt(later));
    BOOST_TEST(holdsRackLease(state, later));
    readRow(state, rowOf(1, self, {"entry-3#1"}), 6, later);
    BOOST_TEST(view.proposedSuccessors.empty());
}

BOOST_AUTO_TEST_CASE(a_successor_with_an_unsettled_claim_grants_no_promise)
{
    authority_state state;
    updateShardRow(state, successor, "rack-1", rowOf(1, self), 5, start, start);
    BOOST_TEST(grantOf(state, start).claimed.empty());
    state.shards.at("rack-1").unsettledClaims = 1;
    state.shards.at("rack-1").unsettledVersion = 5;
    BOOST_TEST(grantOf(state, start + second).claimed.size() == 1u);
    // A newer version of the row shows that the claim can no longer take effect.
    updateShardRow(state, successor, "rack-1", rowOf(1, self), 6, start, start);
    BOOST_TEST(grantOf(state, start + 2 * second).claimed.empty());
}

BOOST_AUTO_TEST_CASE(a_newer_epoch_of_another_owner_ends_the_lease_at_once)
{
    authority_state state;
    readRow(state, rowOf(1, self), 5, start);
    readRow(state, rowOf(2, successor, {self}), 6, start + second);
    BOOST_TEST(!holdsRackLease(state, start + second));
    readRow(state, rowOf(1, self), 5, start + 2 * second); // A late answer changes nothing.
    BOOST_TEST(!holdsRackLease(state, start + 2 * second));
}
