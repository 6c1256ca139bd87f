#include <algorithm>
#include <utility>

#include "entry/compact_progress.h"
#include "entry/json_names.h"
#include "entry/rows.h"

namespace bramleygrade::entry {

namespace {

void writeAttempts(json_writer &out, const char *name, const std::set<int> &attempts)
{
    out.Key(name);
    out.StartArray();
    for (const int attempt : attempts) {
        out.Int(attempt);
    }
    out.EndArray();
}

std::set<int> readAttempts(const rapidjson::Value &value, const char *name)
{
    std::set<int> attempts;
    if (const auto *rows = arrayField(value, name)) {
        for (const auto &attempt : rows->GetArray()) {
            attempts.insert(static_cast<int>(integerOf(attempt)));
        }
    }
    return attempts;
}

/// Steps with more tasks are stored with four tasks a character.
constexpr std::size_t maxTasksAsDigits = 256;
void writeStepProgress(json_writer &out, const cell::step_state &step)
{
    out.StartObject();
    if (step.tasks.size() > maxTasksAsDigits) {
        put(out, "bits", encodeDoneBits(step.tasks));
    } else {
        std::string done;
        for (const cell::task_state &task : step.tasks) {
            done += task.done ? '1' : '0';
        }
        put(out, "done", done);
    }
    writeAttempts(out, "gang", step.gangFailedAttempts);
    out.Key("tasks");
    out.StartArray();
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const cell::task_state &task = step.tasks[index];
        if (task.done
            || (task.failedAttempts.empty() && task.checkpoint.empty() && task.crashedLives.empty()
                && task.trialLife.empty())) {
            continue;
        }
        out.StartObject();
        put(out, "index", static_cast<std::int64_t>(index));
        writeAttempts(out, "failed", task.failedAttempts);
        put(out, "checkpoint", task.checkpoint);
        putNames(out, "crashed", task.crashedLives);
        putNames(out, "attributed", task.attributedCrashes);
        if (!task.trialLife.empty()) {
            put(out, "trial", task.trialLife);
        }
        out.EndObject();
    }
    out.EndArray();
    out.EndObject();
}

void readStepProgress(const rapidjson::Value &value, cell::step_state &step)
{
    const std::string done = textField(value, "done");
    for (std::size_t index = 0; index < step.tasks.size() && index < done.size(); ++index) {
        step.tasks[index].done = done[index] == '1';
    }
    decodeDoneBits(textField(value, "bits"), step.tasks);
    step.doneCount =
        static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(),
                                       [](const cell::task_state &task) { return task.done; }));
    step.gangFailedAttempts = readAttempts(value, "gang");
    const auto *tasks = arrayField(value, "tasks");
    if (tasks == nullptr) {
        return;
    }
    for (const auto &row : tasks->GetArray()) {
        const std::int64_t index = integerField(row, "index", -1);
        if (index >= 0 && index < static_cast<std::int64_t>(step.tasks.size())) {
            auto &task = step.tasks[static_cast<std::size_t>(index)];
            task.failedAttempts = readAttempts(row, "failed");
            task.checkpoint = textField(row, "checkpoint");
            task.crashedLives = namesField(row, "crashed");
            task.attributedCrashes = namesField(row, "attributed");
            task.trialLife = textField(row, "trial");
        }
    }
}

/// Whether a later scheduler needs to know anything of the occurrence.
bool hasProgress(const cell::occurrence_state &occurrence)
{
    return std::any_of(
        occurrence.steps.begin(), occurrence.steps.end(), [](const cell::step_state &step) {
            return !step.gangFailedAttempts.empty()
                || std::any_of(
                    step.tasks.begin(), step.tasks.end(), [](const cell::task_state &task) {
                        return task.done || !task.failedAttempts.empty() || !task.checkpoint.empty()
                            || !task.crashedLives.empty() || !task.trialLife.empty();
                    });
        });
}

void writeRanges(json_writer &out, const cell::occurrence_set &set)
{
    out.StartArray();
    for (const auto &[first, last] : set.ranges) {
        out.StartArray();
        out.Int(first);
        out.Int(last);
        out.EndArray();
    }
    out.EndArray();
}

/// Returns the ranges that lie within the job's occurrences, without those in `others`.
std::vector<std::pair<int, int>> readRanges(const rapidjson::Value *ranges,
                                            const cell::job_state &job)
{
    std::vector<std::pair<int, int>> read;
    for (rapidjson::SizeType index = 0; ranges != nullptr && index < ranges->Size(); ++index) {
        const rapidjson::Value &range = (*ranges)[index];
        if (!range.IsArray() || range.Size() != 2) {
            continue;
        }
        const std::int64_t last =
            std::min<std::int64_t>(integerOf(range[1]), std::max(job.spec.occurrences, 1) - 1);
        const std::int64_t first = std::max<std::int64_t>(integerOf(range[0]), 0);
        if (first <= last) {
            read.emplace_back(static_cast<int>(first), static_cast<int>(last));
        }
    }
    return read;
}

summarised_occurrences summarise(const cell::job_state &job)
{
    summarised_occurrences summary {job.completed, job.parked};
    for (const auto &[number, occurrence] : job.occurrences) {
        if (occurrence.completed) {
            cell::insertRange(summary.completed, number, number);
        }
    }
    return summary;
}

void writeSummary(json_writer &out, const summarised_occurrences &summary)
{
    if (!summary.completed.ranges.empty()) {
        out.Key("completed");
        writeRanges(out, summary.completed);
    }
    if (summary.parked.empty()) {
        return;
    }
    out.Key("parked");
    out.StartArray();
    for (const auto &[doneSteps, occurrences] : summary.parked) {
        out.StartObject();
        put(out, "done", doneSteps);
        out.Key("ranges");
        writeRanges(out, occurrences);
        out.EndObject();
    }
    out.EndArray();
}

void readCompleted(const rapidjson::Value &document, cell::job_state &job)
{
    for (const auto &[first, last] : readRanges(arrayField(document, "completed"), job)) {
        if (job.spec.occurrences == 0) {
            cell::occurrence_state &occurrence = cell::ensureOccurrence(job, 0);
            for (cell::step_state &step : occurrence.steps) {
                for (cell::task_state &task : step.tasks) {
                    task.done = true;
                }
                step.doneCount = static_cast<int>(step.tasks.size());
            }
            occurrence.stepsDone = static_cast<int>(occurrence.steps.size());
            occurrence.completed = true;
            ++job.occurrencesCompleted;
        } else {
            cell::insertRange(job.completed, first, last);
            job.occurrencesCompleted += last - first + 1;
        }
    }
}

void readParked(const rapidjson::Value &document, cell::job_state &job)
{
    const auto *kinds = arrayField(document, "parked");
    for (rapidjson::SizeType index = 0; kinds != nullptr && index < kinds->Size(); ++index) {
        const rapidjson::Value &kind = (*kinds)[index];
        const std::string doneSteps = textField(kind, "done");
        if (doneSteps.size() != job.spec.steps.size() || job.spec.occurrences == 0) {
            continue;
        }
        for (const auto &[first, last] : readRanges(arrayField(kind, "ranges"), job)) {
            cell::insertRange(job.parked[doneSteps], first, last);
        }
    }
}

/// Rows of former releases lack the field; they were written once a task had been ordered, mostly
/// after an end.
bool readBegin(const rapidjson::Value &document)
{
    return findField(document, beginField) == nullptr || boolField(document, beginField);
}

std::string encodeDetailed(const cell::job_state &job)
{
    return writeObject([&](json_writer &out) {
        put(out, beginField, job.begun);
        writeSummary(out, summarise(job));
        out.Key("occurrences");
        out.StartArray();
        for (const auto &[number, occurrence] : job.occurrences) {
            if (occurrence.completed || !hasProgress(occurrence)) {
                continue;
            }
            out.StartObject();
            put(out, "number", number);
            out.Key("steps");
            out.StartArray();
            for (const cell::step_state &step : occurrence.steps) {
                writeStepProgress(out, step);
            }
            out.EndArray();
            out.EndObject();
        }
        out.EndArray();
    });
}

/// Reads the occurrences of the detailed form.
void readOccurrences(const rapidjson::Value &occurrences, cell::job_state &job)
{
    for (const auto &row : occurrences.GetArray()) {
        const std::int64_t number = integerField(row, "number");
        if (number < 0 || number >= std::max(job.spec.occurrences, 1)
            || cell::contains(job.completed, static_cast<int>(number))) {
            continue;
        }
        cell::occurrence_state &occurrence = cell::ensureOccurrence(job, static_cast<int>(number));
        const auto *steps = arrayField(row, "steps");
        for (std::size_t index = 0;
             steps != nullptr && index < occurrence.steps.size() && index < steps->Size();
             ++index) {
            readStepProgress((*steps)[static_cast<rapidjson::SizeType>(index)],
                             occurrence.steps[index]);
        }
        finishRestoredOccurrence(job, static_cast<int>(number));
    }
}

} // namespace

bool needsProgressRow(const cell::job_state &job)
{
    return job.ordered
        && !(job.occurrences.empty() && job.completed.ranges.empty() && job.parked.empty());
}

encoded_progress encodeProgress(const cell::job_state &job)
{
    std::string detailed = encodeDetailed(job);
    if (detailed.size() <= maxRowBytes) {
        return {{std::move(detailed)}, 0};
    }
    return encodeCompactProgress(job);
}

std::size_t progressRowCount(const std::string &first)
{
    rapidjson::Document document;
    const std::int64_t rows =
        parseObject(first, document) ? integerField(document, progressRowsField, 1) : 1;
    return static_cast<std::size_t>(std::clamp<std::int64_t>(rows, 1, maxProgressRows));
}

std::string progressRowKey(const std::string &job, std::size_t index)
{
    return index == 0 ? job : job + '/' + std::to_string(index);
}

bool decodeProgress(const std::string &value, cell::job_state &job)
{
    rapidjson::Document document;
    if (!parseObject(value, document)) {
        return false;
    }
    const auto *occurrences = arrayField(document, "occurrences");
    if (occurrences == nullptr && !isCompactProgress(document)) {
        return false;
    }
    readCompleted(document, job);
    readParked(document, job);
    if (occurrences != nullptr) {
        readOccurrences(*occurrences, job);
    }
    readCompactProgress(document, job);
    job.ordered = true;
    job.begun = job.begun || readBegin(document);
    return true;
}

bool decodeProgress(const std::vector<std::string> &rows, cell::job_state &job)
{
    return std::all_of(rows.begin(), rows.end(),
                       [&](const std::string &row) { return decodeProgress(row, job); });
}

bool showsBegin(const std::string &value)
{
    rapidjson::Document document;
    return parseObject(value, document) && readBegin(document);
}

} // namespace bramleygrade::entry
