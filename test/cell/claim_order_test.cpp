#define BOOST_TEST_MODULE claim_order
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "entry/claim_order.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;

namespace {

struct turn_case
{
    std::string description;
    processor_shares shares;
    std::string name;
    std::string former;
    /// Expected turn, milliseconds.
    microseconds probeDelay = 0;
    microseconds claimDelay = 0;

    friend std::ostream &operator<<(std::ostream &out, const turn_case &given)
    {
        return out << given.description;
    }
};

constexpr std::size_t seed = 70 * millisecond;

const processor_shares equalShares {{"a", 250}, {"b", 250}, {"c", 250}, {"d", 250},
                                    {"e", 250}, {"f", 250}, {"g", 250}, {"h", 250}};
const processor_shares mixedShares {{"a", 120}, {"b", 500}, {"c", 120}, {"d", 400}};

const std::vector<turn_case> turnCases {
    {"alone", {{"a", 250}}, "a", "", 0, 0},
    {"its share is not known to others", {}, "a", "", 0, 0},
    {"first by name", equalShares, "a", "", 0, 0},
    {"second by name", equalShares, "b", "", 0, 50},
    {"the former scheduler has no turn", equalShares, "b", "a", 0, 0},
    {"last of the first claimants", equalShares, "f", "", 0, 250},
    {"after the first claimants", equalShares, "g", "", 370, 0},
    {"the largest share comes first", mixedShares, "b", "", 0, 0},
    {"a somewhat smaller share comes second", mixedShares, "d", "", 0, 50},
    {"a much smaller share waits for the larger ones", mixedShares, "a", "", 370, 0},
    {"the second largest leads after the largest", mixedShares, "d", "b", 0, 0},
    {"a much smaller share waits for the second largest", mixedShares, "a", "b", 370, 0},
    {"small entries take turns once the only large one has failed",
     {{"a", 120}, {"b", 500}, {"c", 120}},
     "c",
     "b",
     0,
     50},
};

} // namespace

BOOST_DATA_TEST_CASE(turn_follows_share_and_name, boost::unit_test::data::make(turnCases), given)
{
    const claim_turn turn = findClaimTurn(given.shares, given.name, given.former, seed);
    BOOST_TEST(turn.probeDelay == given.probeDelay * millisecond);
    BOOST_TEST(turn.claimDelay == given.claimDelay * millisecond);
}
