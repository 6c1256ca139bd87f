#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "cell/interference/evidence.h"

/// \file
/// Learns how much images slow each other down on one worker. See docs/design/interference.md for
/// the estimate and its bound on false positives.

namespace bramleygrade::cell {

/// What is known of how much one image is slowed down by another beside it.
struct pair_estimate
{
    /// Natural logarithm of the run time beside the other image relative to that without it.
    double effect = 0;
    double standardError = 0;
    /// Decayed number of independent jobs with the other image beside them, and of all.
    double jobsBeside = 0;
    double jobs = 0;
    bool noticed = false;
    timestamp noticedAt = distantPast;
    /// Tasks that were placed elsewhere because of the pair.
    std::uint64_t separated = 0;
};

/// Decaying count of the starts of an image.
struct image_frequency
{
    double count = 0;
    timestamp countedAt = distantPast;
};

/// One of the most frequent images.
struct tracked_image
{
    std::string name;
    image_frequency frequency;
    /// Images that must not share a worker with this one, as either slows the other down.
    image_set clashing = 0;
    image_evidence evidence;
    /// By the other image; empty until the first evaluation.
    std::vector<pair_estimate> pairs;
};

struct interference_table
{
    /// At most `maxTrackedImages`; an image's index is its bit in an `image_set`.
    std::vector<tracked_image> images;
    std::unordered_map<std::string, int> indices;
    /// Images that are not tracked; at most 256.
    std::unordered_map<std::string, image_frequency> others;
    timestamp replacedAt = distantPast;
    /// The evaluation goes through the images one at a time.
    std::size_t nextEvaluated = 0;
    timestamp nextEvaluationAt = distantPast;
    int noticedPairs = 0;
    /// Totals since the takeover.
    std::uint64_t separatedTasks = 0;
    std::uint64_t noticed = 0;
    std::uint64_t forgotten = 0;
};

/// A pair by its names.
struct named_pair
{
    std::string image;
    std::string other;
    pair_estimate estimate;
};

struct image_lookup
{
    /// Index of the image; -1: it is not tracked.
    int image = -1;
    /// The image's index belonged to another image, which is no longer tracked.
    bool replaced = false;
    /// Noticed pairs of the image that was replaced.
    std::vector<named_pair> forgotten;
};

/// Counts a start of the image and returns its index.
image_lookup countStart(interference_table &table, const std::string &name, timestamp now);

/// Evaluates the images that are due, at most one per call. Returns the pairs that changed.
std::vector<named_pair> evaluateDue(interference_table &table, timestamp now);

/// Returns the images that clash with this one; none if it is not tracked.
image_set clashesOf(const interference_table &table, const std::string &name);

/// Returns the image as a set; empty if it is not tracked.
image_set bitOf(const interference_table &table, const std::string &name);

/// Counts a task of the image that was placed elsewhere than beside the images of `avoided`.
void countSeparated(interference_table &table, const std::string &name, image_set avoided);

/// Returns by how many standard errors the effect exceeds that of a noticeable slowdown; six are
/// needed to notice a pair.
double errorsAboveThreshold(const pair_estimate &pair);

/// Returns the pairs with evidence, at most `limit`: noticed ones first, then by evidence.
std::vector<named_pair> listPairs(const interference_table &table, std::size_t limit);

} // namespace bramleygrade::cell
