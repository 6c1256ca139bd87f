#include "cell/jobs/occurrence_set.h"

#include <algorithm>
#include <iterator>

namespace bramleygrade::cell {

namespace {

/// Returns the range that has the number, or the end.
std::map<int, int>::const_iterator findRange(const occurrence_set &set, int number)
{
    const auto next = set.ranges.upper_bound(number);
    if (next == set.ranges.begin() || std::prev(next)->second < number) {
        return set.ranges.end();
    }
    return std::prev(next);
}

} // namespace

bool contains(const occurrence_set &set, int number)
{
    return findRange(set, number) != set.ranges.end();
}

void insertRange(occurrence_set &set, int first, int last)
{
    if (last < first) {
        return;
    }
    auto it = set.ranges.upper_bound(first);
    if (it != set.ranges.begin() && std::prev(it)->second >= first - 1) {
        --it;
        first = it->first;
    }
    while (it != set.ranges.end() && it->first <= last + 1) {
        last = std::max(last, it->second);
        it = set.ranges.erase(it);
    }
    set.ranges[first] = last;
}

void removeNumber(occurrence_set &set, int number)
{
    const auto found = findRange(set, number);
    if (found == set.ranges.end()) {
        return;
    }
    const auto [first, last] = *found;
    set.ranges.erase(found);
    if (first < number) {
        set.ranges[first] = number - 1;
    }
    if (number < last) {
        set.ranges[number + 1] = last;
    }
}

int firstAbsent(const occurrence_set &set, int number)
{
    const auto found = findRange(set, number);
    return found == set.ranges.end() ? number : found->second + 1;
}

} // namespace bramleygrade::cell
