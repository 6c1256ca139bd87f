#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>

#include "cell/types.h"

/// \file
/// Which images are on a worker, and which were there when a run started.

namespace bramleygrade::cell {

/// Images whose interference is measured. Each is a bit of an `image_set`.
constexpr int maxTrackedImages = 64;

using image_set = std::uint64_t;

inline image_set imageBit(int image)
{
    return image < 0 ? 0 : image_set {1} << image;
}

/// What was beside a run when it started: 1 for each image that had another run on the worker, and
/// as the last element the share of the worker's processors that was in use. What comes later is
/// not counted, as it depends on the run time: a longer run meets more of the tasks that follow.
using run_exposure = std::array<double, maxTrackedImages + 1>;
constexpr std::size_t loadColumn = maxTrackedImages;

struct tracked_run
{
    int image = -1;
    /// The worker has confirmed the start; `beside` and `load` are those of that time.
    bool confirmed = false;
    image_set beside = 0;
    double load = 0;
};

/// Decaying means over the runs that ended on a worker; they remove what the worker itself
/// contributes to the run times.
struct exposure_means
{
    double weight = 0;
    double ratio = 0;
    std::array<float, maxTrackedImages + 1> exposure {};
};

/// The runs of tracked images on one worker.
struct worker_images
{
    /// Images that have a run on the worker, and the number of their runs.
    image_set present = 0;
    std::array<std::uint16_t, maxTrackedImages> counts {};
    std::map<task_id, tracked_run> runs;
    exposure_means means;
};

/// Adds a run of the image; does nothing if `image` is negative or the run is present.
void beginPresence(worker_images &worker, const task_id &task, int image);

/// Notes what is beside the run as it starts. All runs that were placed at the same time are on the
/// worker by then.
void confirmPresence(worker_images &worker, const task_id &task, double load);

/// Removes the run, if it is tracked.
void endPresence(worker_images &worker, const task_id &task);

/// Removes all runs.
void clearPresence(worker_images &worker);

/// Removes an image whose index is given to another one.
void removeImage(worker_images &worker, int image);

/// Returns what was beside the run when it started; nothing if that is not known.
std::optional<run_exposure> exposureOf(const worker_images &worker, const task_id &task);

} // namespace bramleygrade::cell
