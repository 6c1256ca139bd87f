#define BOOST_TEST_MODULE cell_view
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/cell_view.h"

using namespace bramleygrade;
namespace data = boost::unit_test::data;

namespace {

constexpr timestamp now = 1000 * second;

void receiveList(cell_state &state, const std::vector<std::string> &racks, timestamp at)
{
    list_update update;
    for (const std::string &rack : racks) {
        auto worker = std::make_unique<instance>();
        worker->name = "worker-" + rack;
        worker->rack = rack;
        update.instances.push_back(std::move(worker));
    }
    updateInstanceList(state, update, at);
}

} // namespace

struct incarnation_pair
{
    const char *left;
    const char *right;
    bool isNewer;
};

std::ostream &operator<<(std::ostream &out, const incarnation_pair &pair)
{
    return out << pair.left << " and " << pair.right;
}

static const incarnation_pair pairs[] = {
    {"entry-1#2", "entry-1#1", true},  {"entry-1#1", "entry-1#2", false},
    {"entry-1#10", "entry-1#9", true}, {"entry-1#9", "entry-1#10", false},
    {"entry-1#7", "entry-1#7", false},
};

BOOST_DATA_TEST_CASE(only_a_later_incarnation_is_newer, data::make(pairs), pair)
{
    BOOST_TEST(isNewerIncarnation(pair.left, pair.right) == pair.isNewer);
}

BOOST_AUTO_TEST_CASE(an_older_member_row_does_not_mark_an_owner_as_terminated)
{
    cell_state state;
    state.members["entry-1"].row.identity = "entry-1#1";
    BOOST_TEST(!isTerminated(state, "entry-1#2", now, now));
    BOOST_TEST(isTerminated(state, "entry-1#0", now, now));
}

BOOST_AUTO_TEST_CASE(absence_from_the_list_shows_termination_only_after_its_lag)
{
    cell_state state;
    receiveList(state, {"1"}, now);
    BOOST_TEST(!isTerminated(state, "entry-1#1", now - maxListLag, now));
    BOOST_TEST(isTerminated(state, "entry-1#1", now - maxListLag - 1, now));
    BOOST_TEST(!isTerminated(state, "entry-1#1", distantPast, now + instanceListMaxAge));
}

BOOST_AUTO_TEST_CASE(a_list_requested_before_a_pause_is_not_current_after_it)
{
    cell_state state;
    state.listAskedAt = now;
    state.resumedAt = now;
    BOOST_TEST(isListCurrent(state, now));
    state.resumedAt = now + 10 * second;
    BOOST_TEST(!isListCurrent(state, now + 10 * second));
    BOOST_TEST(!isListCurrent(state, state.resumedAt + listRefreshTimeout));
    BOOST_TEST(isListCurrent(state, state.resumedAt + listRefreshTimeout + 1));
    state.listAskedAt = now + 11 * second;
    BOOST_TEST(isListCurrent(state, now + 11 * second));
}

BOOST_AUTO_TEST_CASE(a_rack_is_removed_only_by_a_fresh_list_and_after_its_lag)
{
    cell_state state;
    BOOST_TEST(!isRackRemoved(state, "rack-2", distantPast, now)); // No list has arrived yet.
    receiveList(state, {"1"}, now);
    BOOST_TEST(!isRackRemoved(state, "rack-1", distantPast, now));
    BOOST_TEST(!isRackRemoved(state, "rack-2", now - second, now));
    BOOST_TEST(isRackRemoved(state, "rack-2", now - maxListLag - 1, now));
}
