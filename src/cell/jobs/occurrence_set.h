#pragma once

#include <map>
#include <tuple>

namespace bramleygrade::cell {

/// Numbers of occurrences, kept as ranges, so that the size depends on the gaps and not on the
/// numbers.
struct occurrence_set
{
    /// Last number of each range by its first; the ranges neither overlap nor touch.
    std::map<int, int> ranges;

    friend bool operator==(const occurrence_set &a, const occurrence_set &b)
    {
        return a.ranges == b.ranges;
    }
};

bool contains(const occurrence_set &set, int number);
/// Adds the numbers from `first` to `last`.
void insertRange(occurrence_set &set, int first, int last);
/// Removes the number, if it is in the set.
void removeNumber(occurrence_set &set, int number);
/// Returns the first number from `number` on that is not in the set.
int firstAbsent(const occurrence_set &set, int number);

} // namespace bramleygrade::cell
