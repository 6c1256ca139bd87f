#pragma once

#include <optional>
#include <string>

#include "cell/scheduler.h"

/// \file
/// The stored list of the workers that may have runs, by which a successor knows which workers to
/// ask. A worker is added once it has answered, so that registry entries behind which there is no
/// worker take no room. The list is kept in rows of bounded size. A worker keeps its row while it
/// is listed, so that each row can be written on its own.

namespace bramleygrade::cell {

/// Longest text of a worker's registry entry that is accepted, in bytes.
constexpr std::size_t maxWorkerTextBytes = 200;
/// Largest number of labels of a worker that is accepted.
constexpr std::size_t maxWorkerLabels = 32;
/// Bytes of the workers of one row, as `listedSize` counts them.
constexpr std::size_t maxListRowBytes = 48'000;

/// Largest number of rows; more workers than these hold are not used.
constexpr std::size_t maxListRows = 1'000;

/// Returns the pseudo job id under which changes of a row of the list are recorded.
std::string workerRowChange(std::size_t row);
/// Returns the row of such an id; nothing if the change is one of a job.
std::optional<std::size_t> changedWorkerRow(const std::string &change);

/// Returns an upper bound of the bytes that the worker takes in its row, in JSON.
std::size_t listedSize(const worker_entry &worker);

/// Whether the texts of the entry are short enough to be listed.
bool hasBoundedTexts(const worker_entry &worker);

/// Adds the worker to the list, unless it is listed, and records the change of its row.
void addToList(scheduler &cell, worker_state &worker);
/// Records a capacity beyond those that the worker had since it is in the list.
void listCapacity(scheduler &cell, worker_state &worker);
/// Adds the worker to the row from which it was loaded.
void restoreToList(scheduler &cell, worker_state &worker, std::size_t row);
/// Removes the worker from the list, if it is listed, and records the change of its row.
void removeFromList(scheduler &cell, worker_state &worker);

} // namespace bramleygrade::cell
