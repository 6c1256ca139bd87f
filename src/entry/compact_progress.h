#pragma once

#include "entry/json_text.h"
#include "entry/rows.h"

/// \file
/// The compact form of a job's progress, for jobs whose progress does not fit into one row. Steps
/// with nothing but done tasks to tell are part of the ranges of parked occurrences; of the others,
/// each fact is an item of its own, so that they can be divided into rows at any place. The size is
/// bounded: see `maxProgressRows`.

namespace bramleygrade::entry {

/// Number of rows of the compact form; marks the form.
constexpr char progressRowsField[] = "rows";
constexpr char beginField[] = "begun";

/// Completed and parked occurrences, which need no state of single tasks.
struct summarised_occurrences
{
    cell::occurrence_set completed;
    std::map<std::string, cell::occurrence_set> parked;
};

/// Returns four tasks a character.
std::string encodeDoneBits(const std::vector<cell::task_state> &tasks);
/// Marks the tasks as done whose bits are set.
void decodeDoneBits(const std::string &bits, std::vector<cell::task_state> &tasks);

/// Counts the done steps of an occurrence that was read, and parks or retires it where that is
/// possible.
void finishRestoredOccurrence(cell::job_state &job, int number);

encoded_progress encodeCompactProgress(const cell::job_state &job);
bool isCompactProgress(const rapidjson::Value &document);
/// Applies the items of one row.
void readCompactProgress(const rapidjson::Value &document, cell::job_state &job);

} // namespace bramleygrade::entry
