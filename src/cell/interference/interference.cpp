#include "cell/interference/interference.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bramleygrade::cell {

namespace {

/// Interval between the evaluations of two images; all 64 take about 10 s. An evaluation of 64
/// active columns takes about a millisecond.
constexpr microseconds evaluationInterval = 150 * millisecond;
/// Slowdown (10 %) from which a pair matters, and below which it is forgotten (5 %).
const double noticeableEffect = std::log(1.10);
const double negligibleEffect = std::log(1.05);
/// A pair is noticed if its effect exceeds `noticeableEffect` by this many standard errors. At six,
/// an evaluation of all 4,096 pairs has a false positive with a probability below 5e-6.
constexpr double noticedErrors = 6.0;
/// Jobs beside the other image below which the evidence for a noticed pair has faded.
constexpr double fadedJobs = 15;
/// An image replaces the least frequent tracked one if it is this many times as frequent.
constexpr double replacementFactor = 2.0;
constexpr microseconds replacementInterval = 10 * second;
/// Untracked images whose starts are counted. An image is noticed as frequent only if it starts
/// again before this many others do.
constexpr std::size_t maxOtherImages = 256;
/// Longer names are cut, so that the table's size is bounded.
constexpr std::size_t maxNameLength = 128;

double frequencyAt(const image_frequency &frequency, timestamp now)
{
    return frequency.countedAt == distantPast
        ? 0
        : frequency.count * decayOver(now - frequency.countedAt);
}

void countAt(image_frequency &frequency, timestamp now)
{
    frequency.count = frequencyAt(frequency, now) + 1;
    frequency.countedAt = now;
}

void updateEstimates(tracked_image &image)
{
    const std::vector<effect_estimate> estimates = estimateEffects(image.evidence);
    image.pairs.resize(maxTrackedImages);
    for (std::size_t other = 0; other < maxTrackedImages; ++other) {
        pair_estimate &pair = image.pairs[other];
        pair.effect = estimates[other].effect;
        pair.standardError = estimates[other].standardError;
        pair.jobsBeside = image.evidence.exposure[other];
        pair.jobs = image.evidence.jobs;
    }
}

bool isEvident(const pair_estimate &pair)
{
    return pair.standardError > 0 && pair.jobsBeside >= minEvidence
        && pair.jobs - pair.jobsBeside >= minEvidence
        && pair.effect - noticedErrors * pair.standardError >= noticeableEffect;
}

bool isRefuted(const pair_estimate &pair)
{
    return pair.jobsBeside < fadedJobs
        || (pair.standardError > 0 && pair.effect < negligibleEffect);
}

bool isNoticed(const interference_table &table, std::size_t image, std::size_t other)
{
    const std::vector<pair_estimate> &pairs = table.images[image].pairs;
    return other < pairs.size() && pairs[other].noticed;
}

/// Recomputes which images clash with which.
void updateClashes(interference_table &table)
{
    table.noticedPairs = 0;
    for (tracked_image &image : table.images) {
        image.clashing = 0;
    }
    for (std::size_t image = 0; image < table.images.size(); ++image) {
        for (std::size_t other = 0; other < table.images.size(); ++other) {
            if (isNoticed(table, image, other)) {
                ++table.noticedPairs;
                table.images[image].clashing |= imageBit(static_cast<int>(other));
                table.images[other].clashing |= imageBit(static_cast<int>(image));
            }
        }
    }
}

/// Forgets all that is known of the image at `index`. Returns its noticed pairs.
std::vector<named_pair> clearImage(interference_table &table, std::size_t index)
{
    std::vector<named_pair> forgotten;
    for (std::size_t image = 0; image < table.images.size(); ++image) {
        tracked_image &cleared = table.images[image];
        for (std::size_t other = 0; other < cleared.pairs.size(); ++other) {
            if (image != index && other != index) {
                continue;
            }
            if (cleared.pairs[other].noticed) {
                forgotten.push_back({cleared.name, table.images[other].name, cleared.pairs[other]});
                forgotten.back().estimate.noticed = false;
                ++table.forgotten;
            }
            cleared.pairs[other] = {};
        }
        removeColumn(cleared.evidence, index);
    }
    table.indices.erase(table.images[index].name);
    table.images[index] = {};
    return forgotten;
}

void addImage(interference_table &table, std::size_t index, const std::string &name,
              const image_frequency &frequency)
{
    table.images[index].name = name;
    table.images[index].frequency = frequency;
    table.indices[name] = static_cast<int>(index);
    table.others.erase(name);
}

/// Counts a start of an image that is not tracked.
image_frequency countOther(interference_table &table, const std::string &name, timestamp now)
{
    const auto isRarer = [&](const auto &a, const auto &b) {
        return frequencyAt(a.second, now) < frequencyAt(b.second, now);
    };
    if (table.others.count(name) == 0 && table.others.size() == maxOtherImages) {
        table.others.erase(std::min_element(table.others.begin(), table.others.end(), isRarer));
    }
    image_frequency &frequency = table.others[name];
    countAt(frequency, now);
    return frequency;
}

} // namespace

image_lookup countStart(interference_table &table, const std::string &name, timestamp now)
{
    const std::string key = name.substr(0, maxNameLength);
    image_lookup found;
    const auto known = table.indices.find(key);
    if (known != table.indices.end()) {
        found.image = known->second;
        countAt(table.images[static_cast<std::size_t>(found.image)].frequency, now);
        return found;
    }
    if (table.images.size() < maxTrackedImages) {
        table.images.emplace_back();
        found.image = static_cast<int>(table.images.size()) - 1;
        addImage(table, table.images.size() - 1, key, {1, now});
        return found;
    }
    const image_frequency frequency = countOther(table, key, now);
    if (now < table.replacedAt + replacementInterval) {
        return found;
    }
    const auto rarest =
        std::min_element(table.images.begin(), table.images.end(),
                         [&](const tracked_image &a, const tracked_image &b) {
                             return frequencyAt(a.frequency, now) < frequencyAt(b.frequency, now);
                         });
    if (frequency.count < replacementFactor * frequencyAt(rarest->frequency, now)) {
        return found;
    }
    const auto index = static_cast<std::size_t>(rarest - table.images.begin());
    table.replacedAt = now;
    found.forgotten = clearImage(table, index);
    addImage(table, index, key, frequency);
    updateClashes(table);
    found.replaced = true;
    found.image = static_cast<int>(index);
    return found;
}

std::vector<named_pair> evaluateDue(interference_table &table, timestamp now)
{
    std::vector<named_pair> changes;
    if (now < table.nextEvaluationAt || table.images.empty()) {
        return changes;
    }
    table.nextEvaluationAt = now + evaluationInterval;
    const std::size_t index = table.nextEvaluated++ % table.images.size();
    tracked_image &image = table.images[index];
    if (image.evidence.products.empty()) {
        return changes;
    }
    decay(image.evidence, now);
    updateEstimates(image);
    for (std::size_t other = 0; other < table.images.size(); ++other) {
        pair_estimate &pair = image.pairs[other];
        if (pair.noticed ? isRefuted(pair) : isEvident(pair)) {
            pair.noticed = !pair.noticed;
            pair.noticedAt = now;
            ++(pair.noticed ? table.noticed : table.forgotten);
            changes.push_back({image.name, table.images[other].name, pair});
        }
    }
    if (!changes.empty()) {
        updateClashes(table);
    }
    return changes;
}

image_set clashesOf(const interference_table &table, const std::string &name)
{
    const auto found = table.indices.find(name.substr(0, maxNameLength));
    return found == table.indices.end()
        ? 0
        : table.images[static_cast<std::size_t>(found->second)].clashing;
}

image_set bitOf(const interference_table &table, const std::string &name)
{
    const auto found = table.indices.find(name.substr(0, maxNameLength));
    return found == table.indices.end() ? 0 : imageBit(found->second);
}

void countSeparated(interference_table &table, const std::string &name, image_set avoided)
{
    const auto found = table.indices.find(name.substr(0, maxNameLength));
    if (found == table.indices.end() || avoided == 0) {
        return;
    }
    ++table.separatedTasks;
    const auto own = static_cast<std::size_t>(found->second);
    for (std::size_t other = 0; other < table.images.size(); ++other) {
        if ((avoided & imageBit(static_cast<int>(other))) == 0) {
            continue;
        }
        if (isNoticed(table, own, other)) {
            ++table.images[own].pairs[other].separated;
        } else if (isNoticed(table, other, own)) {
            ++table.images[other].pairs[own].separated;
        }
    }
}

double errorsAboveThreshold(const pair_estimate &pair)
{
    return pair.standardError > 0 ? (pair.effect - noticeableEffect) / pair.standardError : 0;
}

std::vector<named_pair> listPairs(const interference_table &table, std::size_t limit)
{
    std::vector<named_pair> listed;
    for (const tracked_image &image : table.images) {
        for (std::size_t other = 0; other < std::min(image.pairs.size(), table.images.size());
             ++other) {
            if (image.pairs[other].noticed || image.pairs[other].jobsBeside >= 1) {
                listed.push_back({image.name, table.images[other].name, image.pairs[other]});
            }
        }
    }
    const std::size_t count = std::min(limit, listed.size());
    std::partial_sort(listed.begin(), listed.begin() + static_cast<std::ptrdiff_t>(count),
                      listed.end(), [](const named_pair &a, const named_pair &b) {
                          const double aErrors = errorsAboveThreshold(a.estimate);
                          const double bErrors = errorsAboveThreshold(b.estimate);
                          return std::tie(b.estimate.noticed, bErrors, a.image, a.other)
                              < std::tie(a.estimate.noticed, aErrors, b.image, b.other);
                      });
    listed.resize(count);
    return listed;
}

} // namespace bramleygrade::cell
