#include "cell/workers/worker_list.h"

#include <algorithm>

namespace bramleygrade::cell {

namespace {

constexpr char rowPrefix = '/';
/// Bytes of a worker in its row beside id and service: punctuation, the start time, the capacity,
/// whether it has restarted, and an address, which has at most `maxAddressBytes`.
constexpr std::size_t workerOverheadBytes = 92 + maxAddressBytes;

/// Returns the length of the text as a JSON string, without quotes.
std::size_t jsonLength(const std::string &text)
{
    constexpr std::size_t escapedControl = 6; // \u001f
    constexpr unsigned char firstPrintable = 0x20;
    std::size_t length = 0;
    for (const char c : text) {
        const bool isControl = static_cast<unsigned char>(c) < firstPrintable;
        length += isControl ? escapedControl : (c == '"' || c == '\\' ? 2 : 1);
    }
    return length;
}

std::size_t &bytesOfRow(scheduler &cell, std::size_t row)
{
    if (row >= cell.workerRowBytes.size()) {
        cell.workerRowBytes.resize(row + 1, 0);
    }
    return cell.workerRowBytes[row];
}

void putIntoRow(scheduler &cell, worker_state &worker, std::size_t row)
{
    worker.listRow = row;
    worker.listedCapacity = worker.entry.capacity;
    worker.listedBytes = listedSize(worker.entry);
    bytesOfRow(cell, row) += worker.listedBytes;
}

} // namespace

std::string workerRowChange(std::size_t row)
{
    return rowPrefix + std::to_string(row);
}

std::optional<std::size_t> changedWorkerRow(const std::string &change)
{
    if (change.empty() || change.front() != rowPrefix) {
        return std::nullopt;
    }
    return std::stoul(change.substr(1));
}

std::size_t listedSize(const worker_entry &worker)
{
    return jsonLength(worker.id) + jsonLength(worker.service) + workerOverheadBytes;
}

bool hasBoundedTexts(const worker_entry &worker)
{
    const auto isBounded = [](const std::string &text) {
        return text.size() <= maxWorkerTextBytes;
    };
    return isBounded(worker.id) && isBounded(worker.service) && isBounded(worker.failureDomain)
        && worker.address.size() <= maxAddressBytes && worker.labels.size() <= maxWorkerLabels
        && std::all_of(worker.labels.begin(), worker.labels.end(), isBounded);
}

void addToList(scheduler &cell, worker_state &worker)
{
    if (!worker.listRow) {
        const std::size_t size = listedSize(worker.entry);
        const auto row =
            std::find_if(cell.workerRowBytes.begin(), cell.workerRowBytes.end(),
                         [size](std::size_t bytes) { return bytes + size <= maxListRowBytes; });
        const auto index =
            static_cast<std::size_t>(std::distance(cell.workerRowBytes.begin(), row));
        if (index >= maxListRows) {
            return;
        }
        putIntoRow(cell, worker, index);
        recordChange(cell, workerRowChange(*worker.listRow), true);
    }
}

void listCapacity(scheduler &cell, worker_state &worker)
{
    const resources &now = worker.entry.capacity;
    resources &listed = worker.listedCapacity;
    if (!worker.listRow || fits(now, listed)) {
        return;
    }
    listed = {std::max(listed.cpuMilli, now.cpuMilli), std::max(listed.memoryMb, now.memoryMb),
              std::max(listed.accelerators, now.accelerators)};
    recordChange(cell, workerRowChange(*worker.listRow), true);
}

void restoreToList(scheduler &cell, worker_state &worker, std::size_t row)
{
    if (worker.listRow && *worker.listRow != row) {
        removeFromList(cell, worker);
    }
    if (!worker.listRow) {
        putIntoRow(cell, worker, row);
    }
}

void removeFromList(scheduler &cell, worker_state &worker)
{
    if (worker.listRow) {
        bytesOfRow(cell, *worker.listRow) -= worker.listedBytes;
        recordChange(cell, workerRowChange(*worker.listRow), false);
        worker.listRow.reset();
        worker.recorded = false;
        worker.inWrite = false;
    }
}

} // namespace bramleygrade::cell
