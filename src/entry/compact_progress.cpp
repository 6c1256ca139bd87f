#include "entry/compact_progress.h"

#include <algorithm>
#include <array>

#include "cell/jobs/open_occurrences.h"

namespace bramleygrade::entry {

namespace {

/// Bytes of the items in a row, beside which punctuation and the field names must fit.
constexpr std::size_t itemBytesPerRow = 50'000;
/// Bytes up to which checkpoints are added.
constexpr std::size_t bytesWithCheckpoints = 128'000;
/// Numbers of the newest attempts that are stored of a task, beside their count.
constexpr std::size_t maxStoredAttempts = 16;
/// A step all of whose tasks are done.
constexpr char allDone[] = "*";

constexpr std::size_t tasksPerHexDigit = 4;

/// What an item tells, in the order in which the items are written.
enum class item_kind { completed, parked, partial, failed, gangs, crashes, saved };
constexpr std::array<const char *, 7> kindNames {"completed", "parked",  "partial", "failed",
                                                 "gangs",     "crashes", "saved"};

struct progress_item
{
    item_kind kind = item_kind::completed;
    /// JSON, bounded in its length.
    std::string text;
};

using item_list = std::vector<progress_item>;

template <typename Fill>
void addItem(item_list &items, item_kind kind, Fill fill)
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartArray();
    fill(out);
    out.EndArray();
    items.push_back({kind, {buffer.GetString(), buffer.GetSize()}});
}

void writeStepId(json_writer &out, int number, std::size_t step)
{
    out.Int(number);
    out.Int(static_cast<int>(step));
}

/// Writes how many attempts there are, and the newest of them.
void writeAttempts(json_writer &out, const std::set<int> &attempts, bool withNumbers)
{
    out.Int(static_cast<int>(attempts.size()));
    std::size_t left = withNumbers ? maxStoredAttempts : 0;
    for (auto attempt = attempts.rbegin(); attempt != attempts.rend() && left > 0; ++attempt) {
        out.Int(*attempt);
        --left;
    }
}

void writeNames(json_writer &out, const std::set<std::string> &names, bool withNames)
{
    out.StartArray();
    std::size_t number = 0;
    for (const std::string &name : names) {
        putText(out, withNames ? name : "?" + std::to_string(++number));
    }
    out.EndArray();
}

void addTask(item_list &items, int number, std::size_t step, std::size_t index,
             const cell::task_state &task, bool inFull)
{
    if (!task.failedAttempts.empty()) {
        addItem(items, item_kind::failed, [&](json_writer &out) {
            writeStepId(out, number, step);
            out.Int(static_cast<int>(index));
            writeAttempts(out, task.failedAttempts, inFull);
        });
    }
    if (!task.crashedLives.empty() || !task.trialLife.empty()) {
        addItem(items, item_kind::crashes, [&](json_writer &out) {
            writeStepId(out, number, step);
            out.Int(static_cast<int>(index));
            writeNames(out, task.crashedLives, inFull);
            writeNames(out, task.attributedCrashes, inFull);
            putText(out, inFull ? task.trialLife : "");
        });
    }
}

bool isDone(const cell::step_state &step)
{
    return step.doneCount == static_cast<int>(step.tasks.size());
}

bool isUntold(const cell::step_state &step)
{
    return step.gangFailedAttempts.empty()
        && std::all_of(step.tasks.begin(), step.tasks.end(), [](const cell::task_state &task) {
               return !task.done && task.failedAttempts.empty() && task.checkpoint.empty()
                   && task.crashedLives.empty() && task.trialLife.empty();
           });
}

/// Returns which steps are done if that is all there is to tell of the occurrence; empty otherwise.
std::string summaryOf(const cell::occurrence_state &occurrence)
{
    std::string doneSteps;
    for (const cell::step_state &step : occurrence.steps) {
        if (!isDone(step) && !isUntold(step)) {
            return "";
        }
        doneSteps += isDone(step) ? '1' : '0';
    }
    return doneSteps;
}

void addStep(item_list &items, int number, std::size_t index, const cell::step_state &step,
             bool inFull)
{
    if (step.doneCount > 0) {
        addItem(items, item_kind::partial, [&](json_writer &out) {
            writeStepId(out, number, index);
            putText(out, isDone(step) ? allDone : encodeDoneBits(step.tasks));
        });
    }
    if (!step.gangFailedAttempts.empty()) {
        addItem(items, item_kind::gangs, [&](json_writer &out) {
            writeStepId(out, number, index);
            writeAttempts(out, step.gangFailedAttempts, inFull);
        });
    }
    for (std::size_t task = 0; task < step.tasks.size(); ++task) {
        if (!step.tasks[task].done) {
            addTask(items, number, index, task, step.tasks[task], inFull);
        }
    }
}

/// Encodes the next ranges, up to a limit, and advances `range` behind them.
std::string encodeParked(const std::string &doneSteps, std::map<int, int>::const_iterator &range,
                         std::map<int, int>::const_iterator end)
{
    constexpr int rangesPerItem = 200;
    return writeObject([&](json_writer &out) {
        put(out, "done", doneSteps);
        out.Key("ranges");
        out.StartArray();
        for (int count = 0; count < rangesPerItem && range != end; ++count, ++range) {
            out.StartArray();
            out.Int(range->first);
            out.Int(range->second);
            out.EndArray();
        }
        out.EndArray();
    });
}

void addRanges(item_list &items, const summarised_occurrences &summary)
{
    for (const auto &[first, last] : summary.completed.ranges) {
        addItem(items, item_kind::completed, [first = first, last = last](json_writer &out) {
            out.Int(first);
            out.Int(last);
        });
    }
    for (const auto &parked : summary.parked) {
        auto range = parked.second.ranges.begin();
        while (range != parked.second.ranges.end()) {
            items.push_back(
                {item_kind::parked, encodeParked(parked.first, range, parked.second.ranges.end())});
        }
    }
}

/// Returns all items but the checkpoints. `inFull`: with the numbers of attempts and the names of
/// workers, not only how many there are.
item_list collectItems(const cell::job_state &job, bool inFull)
{
    item_list items;
    summarised_occurrences summary {job.completed, job.parked};
    item_list steps;
    for (const auto &[number, occurrence] : job.occurrences) {
        const std::string doneSteps = job.spec.occurrences > 0 ? summaryOf(occurrence) : "";
        if (occurrence.completed && job.spec.occurrences > 0) {
            cell::insertRange(summary.completed, number, number);
        } else if (doneSteps.find('1') != std::string::npos) {
            cell::insertRange(summary.parked[doneSteps], number, number);
        } else if (doneSteps.empty()) {
            for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
                addStep(steps, number, index, occurrence.steps[index], inFull);
            }
        }
    }
    addRanges(items, summary);
    items.insert(items.end(), steps.begin(), steps.end());
    return items;
}

std::size_t bytesOf(const item_list &items)
{
    std::size_t bytes = 0;
    for (const progress_item &item : items) {
        bytes += item.text.size() + 1;
    }
    return bytes;
}

/// Adds the checkpoints for which there is room. Returns how many are left out.
std::size_t addCheckpoints(item_list &items, const cell::job_state &job)
{
    std::size_t bytes = bytesOf(items);
    std::size_t leftOut = 0;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].done || tasks[index].checkpoint.empty()) {
                    continue;
                }
                if (bytes > bytesWithCheckpoints) {
                    ++leftOut;
                    continue;
                }
                addItem(items, item_kind::saved, [&, id = number](json_writer &out) {
                    writeStepId(out, id, step);
                    out.Int(static_cast<int>(index));
                    putText(out, tasks[index].checkpoint);
                });
                bytes += items.back().text.size() + 1;
            }
        }
    }
    return leftOut;
}

/// Divides the items into rows. Returns the number of items of each.
std::vector<std::size_t> divide(const item_list &items)
{
    std::vector<std::size_t> counts {0};
    std::size_t bytes = 0;
    for (const progress_item &item : items) {
        if (counts.back() > 0 && bytes + item.text.size() > itemBytesPerRow) {
            counts.push_back(0);
            bytes = 0;
        }
        ++counts.back();
        bytes += item.text.size() + 1;
    }
    return counts;
}

std::string encodeRow(const cell::job_state &job, std::size_t rows, item_list::const_iterator first,
                      item_list::const_iterator last)
{
    return writeObject([&](json_writer &out) {
        put(out, beginField, job.begun);
        put(out, progressRowsField, static_cast<std::int64_t>(rows));
        while (first != last) {
            const item_kind kind = first->kind;
            out.Key(kindNames[static_cast<std::size_t>(kind)]);
            out.StartArray();
            for (; first != last && first->kind == kind; ++first) {
                out.RawValue(first->text.data(), first->text.size(), rapidjson::kArrayType);
            }
            out.EndArray();
        }
    });
}

// Reading.

/// The step, and if `withTask` the task, that an item begins with.
struct named_task
{
    cell::job_state *job = nullptr;
    int number = 0;
    cell::step_state *step = nullptr;
    cell::task_state *task = nullptr;
};

/// Returns nothing if the job has no such step or task that is not completed.
std::optional<named_task> findNamed(const rapidjson::Value &item, cell::job_state &job,
                                    bool withTask)
{
    const rapidjson::SizeType ids = withTask ? 3 : 2;
    if (!item.IsArray() || item.Size() < ids) {
        return std::nullopt;
    }
    const std::int64_t number = integerOf(item[0], -1);
    const std::int64_t step = integerOf(item[1], -1);
    const std::int64_t index = withTask ? integerOf(item[2], -1) : 0;
    if (number < 0 || number >= std::max(job.spec.occurrences, 1) || step < 0
        || step >= static_cast<std::int64_t>(job.spec.steps.size()) || index < 0
        || index >= job.spec.steps[static_cast<std::size_t>(step)].count
        || cell::contains(job.completed, static_cast<int>(number))) {
        return std::nullopt;
    }
    named_task named {&job, static_cast<int>(number), nullptr, nullptr};
    named.step = &cell::ensureOccurrence(job, named.number).steps[static_cast<std::size_t>(step)];
    named.task = &named.step->tasks[static_cast<std::size_t>(index)];
    return named;
}

/// Reads attempts from position `first` on. Those whose numbers are not stored get negative ones,
/// which no run has.
std::set<int> readAttempts(const rapidjson::Value &item, rapidjson::SizeType first)
{
    std::set<int> attempts;
    const std::int64_t count = first < item.Size() ? integerOf(item[first]) : 0;
    for (rapidjson::SizeType index = first + 1; index < item.Size(); ++index) {
        attempts.insert(static_cast<int>(integerOf(item[index])));
    }
    constexpr std::int64_t maxCount = 1'000'000;
    for (int unknown = -1; static_cast<std::int64_t>(attempts.size()) < std::min(count, maxCount);
         --unknown) {
        attempts.insert(unknown);
    }
    return attempts;
}

std::set<std::string> readNames(const rapidjson::Value &item, rapidjson::SizeType index)
{
    std::set<std::string> names;
    if (index < item.Size() && item[index].IsArray()) {
        for (const auto &name : item[index].GetArray()) {
            names.insert(textOf(name));
        }
    }
    return names;
}

void readPartial(const rapidjson::Value &item, const named_task &named)
{
    const std::string bits = item.Size() > 2 ? textOf(item[2]) : "";
    auto &tasks = named.step->tasks;
    if (bits == allDone) {
        for (cell::task_state &task : tasks) {
            task.done = true;
        }
    } else {
        decodeDoneBits(bits, tasks);
    }
    named.step->doneCount = static_cast<int>(std::count_if(
        tasks.begin(), tasks.end(), [](const cell::task_state &task) { return task.done; }));
}

void readItem(item_kind kind, const rapidjson::Value &item, const named_task &named)
{
    switch (kind) {
    case item_kind::partial:
        readPartial(item, named);
        break;
    case item_kind::failed:
        named.task->failedAttempts = readAttempts(item, 3);
        break;
    case item_kind::gangs:
        named.step->gangFailedAttempts = readAttempts(item, 2);
        break;
    case item_kind::crashes:
        named.task->crashedLives = readNames(item, 3);
        named.task->attributedCrashes = readNames(item, 4);
        named.task->trialLife = item.Size() > 5 ? textOf(item[5]) : "";
        break;
    case item_kind::saved:
        named.task->checkpoint = item.Size() > 3 ? textOf(item[3]) : "";
        break;
    default:
        break;
    }
}

} // namespace

std::string encodeDoneBits(const std::vector<cell::task_state> &tasks)
{
    std::string bits;
    for (std::size_t first = 0; first < tasks.size(); first += tasksPerHexDigit) {
        std::size_t digit = 0;
        for (std::size_t offset = 0; offset < tasksPerHexDigit; ++offset) {
            const bool isDone = first + offset < tasks.size() && tasks[first + offset].done;
            digit |= isDone ? std::size_t {1} << offset : 0;
        }
        bits += "0123456789abcdef"[digit];
    }
    return bits;
}

void decodeDoneBits(const std::string &bits, std::vector<cell::task_state> &tasks)
{
    static const std::string digits = "0123456789abcdef";
    for (std::size_t index = 0; index < tasks.size() && index / tasksPerHexDigit < bits.size();
         ++index) {
        const std::size_t digit = digits.find(bits[index / tasksPerHexDigit]);
        tasks[index].done =
            digit != std::string::npos && ((digit >> (index % tasksPerHexDigit)) & 1U) != 0;
    }
}

void finishRestoredOccurrence(cell::job_state &job, int number)
{
    cell::occurrence_state &occurrence = job.occurrences.at(number);
    occurrence.stepsDone =
        static_cast<int>(std::count_if(occurrence.steps.begin(), occurrence.steps.end(),
                                       [](const cell::step_state &step) { return isDone(step); }));
    const bool wasCompleted = occurrence.completed;
    occurrence.completed = occurrence.stepsDone == static_cast<int>(occurrence.steps.size());
    job.occurrencesCompleted += occurrence.completed && !wasCompleted ? 1 : 0;
    if (occurrence.completed) {
        cell::retireOccurrence(job, number);
    } else {
        cell::parkOccurrence(job, number);
    }
}

encoded_progress encodeCompactProgress(const cell::job_state &job)
{
    item_list items = collectItems(job, true);
    if (bytesOf(items) > itemBytesPerRow * maxProgressRows / 2) {
        items = collectItems(job, false);
    }
    encoded_progress encoded;
    encoded.checkpointsLeftOut = addCheckpoints(items, job);
    std::stable_sort(items.begin(), items.end(),
                     [](const auto &a, const auto &b) { return a.kind < b.kind; });
    std::vector<std::size_t> counts = divide(items);
    counts.resize(std::min(counts.size(), maxProgressRows));
    auto first = items.cbegin();
    for (const std::size_t count : counts) {
        const auto last = first + static_cast<std::ptrdiff_t>(count);
        encoded.rows.push_back(encodeRow(job, counts.size(), first, last));
        first = last;
    }
    encoded.itemsLeftOut = static_cast<std::size_t>(items.cend() - first);
    return encoded;
}

bool isCompactProgress(const rapidjson::Value &document)
{
    return findField(document, progressRowsField) != nullptr;
}

void readCompactProgress(const rapidjson::Value &document, cell::job_state &job)
{
    std::set<int> touched;
    for (const item_kind kind : {item_kind::partial, item_kind::failed, item_kind::gangs,
                                 item_kind::crashes, item_kind::saved}) {
        const auto *items = arrayField(document, kindNames[static_cast<std::size_t>(kind)]);
        for (rapidjson::SizeType index = 0; items != nullptr && index < items->Size(); ++index) {
            const bool withTask = kind != item_kind::partial && kind != item_kind::gangs;
            if (const auto named = findNamed((*items)[index], job, withTask)) {
                readItem(kind, (*items)[index], *named);
                touched.insert(named->number);
            }
        }
    }
    for (const int number : touched) {
        finishRestoredOccurrence(job, number);
    }
}

} // namespace bramleygrade::entry
