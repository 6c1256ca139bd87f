#include "cell/interference/presence.h"

namespace bramleygrade::cell {

void beginPresence(worker_images &worker, const task_id &task, int image)
{
    if (image < 0) {
        return;
    }
    tracked_run run;
    run.image = image;
    if (worker.runs.emplace(task, run).second) {
        ++worker.counts[static_cast<std::size_t>(image)];
        worker.present |= imageBit(image);
    }
}

void confirmPresence(worker_images &worker, const task_id &task, double load)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end() || found->second.image < 0) {
        return;
    }
    tracked_run &run = found->second;
    run.confirmed = true;
    run.load = load;
    const bool isAlone = worker.counts[static_cast<std::size_t>(run.image)] < 2;
    run.beside = worker.present & ~(isAlone ? imageBit(run.image) : 0);
}

void endPresence(worker_images &worker, const task_id &task)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end()) {
        return;
    }
    const int image = found->second.image;
    worker.runs.erase(found);
    if (image >= 0 && --worker.counts[static_cast<std::size_t>(image)] == 0) {
        worker.present &= ~imageBit(image);
    }
}

void clearPresence(worker_images &worker)
{
    worker.runs.clear();
    worker.counts = {};
    worker.present = 0;
}

void removeImage(worker_images &worker, int image)
{
    worker.present &= ~imageBit(image);
    worker.counts[static_cast<std::size_t>(image)] = 0;
    worker.means.exposure[static_cast<std::size_t>(image)] = 0;
    for (auto &[task, run] : worker.runs) {
        run.image = run.image == image ? -1 : run.image;
        run.beside &= ~imageBit(image);
    }
}

std::optional<run_exposure> exposureOf(const worker_images &worker, const task_id &task)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end() || found->second.image < 0 || !found->second.confirmed) {
        return std::nullopt;
    }
    run_exposure exposure {};
    for (int image = 0; image < maxTrackedImages; ++image) {
        exposure[static_cast<std::size_t>(image)] =
            (found->second.beside & imageBit(image)) == 0 ? 0 : 1;
    }
    exposure[loadColumn] = found->second.load;
    return exposure;
}

} // namespace bramleygrade::cell
