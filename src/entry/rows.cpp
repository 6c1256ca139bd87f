#include "entry/rows.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "entry/json_names.h"

namespace bramleygrade::entry {

namespace {

void writeStep(json_writer &out, const cell::step_spec &step)
{
    out.StartObject();
    put(out, "count", step.count);
    put(out, "cpu", step.demand.cpuMilli);
    put(out, "mem", step.demand.memoryMb);
    if (step.demand.accelerators != 0) {
        put(out, "acc", step.demand.accelerators);
    }
    put(out, "est", step.estimate);
    if (!step.after.empty()) {
        out.Key("after");
        out.StartArray();
        for (const int predecessor : step.after) {
            out.Int(predecessor);
        }
        out.EndArray();
    }
    const auto flag = [&](const char *name, bool set) {
        if (set) {
            put(out, name, true);
        }
    };
    flag("ckpt", step.checkpointing);
    flag("gang", step.gang);
    flag("rack1", step.sameRack);
    flag("spec", step.speculative);
    flag("long", step.longRunning);
    flag("scav", step.scavenging);
    const auto text = [&](const char *name, const std::string &value) {
        if (!value.empty()) {
            put(out, name, value);
        }
    };
    text("label", step.requiredLabel);
    text("near", step.preferredRack);
    text("image", step.image);
    put(out, "perw", step.maxPerWorker);
    put(out, "resp", step.responseTarget);
    put(out, "miss", step.maxUnavailable);
    out.EndObject();
}

cell::step_spec readStep(const rapidjson::Value &value)
{
    cell::step_spec step;
    step.count = static_cast<int>(integerField(value, "count", 1));
    step.demand = {integerField(value, "cpu"), integerField(value, "mem"),
                   integerField(value, "acc")};
    step.estimate = integerField(value, "est");
    if (const auto *after = arrayField(value, "after")) {
        for (const auto &predecessor : after->GetArray()) {
            step.after.push_back(static_cast<int>(integerOf(predecessor)));
        }
    }
    step.checkpointing = boolField(value, "ckpt");
    step.gang = boolField(value, "gang");
    step.sameRack = boolField(value, "rack1");
    step.speculative = boolField(value, "spec");
    step.longRunning = boolField(value, "long");
    step.scavenging = boolField(value, "scav");
    step.requiredLabel = textField(value, "label");
    step.preferredRack = textField(value, "near");
    step.image = textField(value, "image");
    step.maxPerWorker = static_cast<int>(integerField(value, "perw"));
    step.responseTarget = integerField(value, "resp");
    step.maxUnavailable = static_cast<int>(integerField(value, "miss", -1));
    return step;
}

void writeSpec(json_writer &out, const cell::job_spec &spec)
{
    put(out, "queue", spec.queue);
    put(out, "payload", spec.payload);
    put(out, "occ", spec.occurrences);
    put(out, "due", spec.firstDueWall);
    put(out, "every", spec.interval);
    if (!spec.team.empty()) {
        put(out, "team", spec.team);
    }
    if (spec.beyondShare) {
        put(out, "beyond", true);
    }
    out.Key("steps");
    out.StartArray();
    for (const cell::step_spec &step : spec.steps) {
        writeStep(out, step);
    }
    out.EndArray();
}

bool readSpec(const rapidjson::Value &value, cell::job_spec &spec)
{
    const auto *steps = arrayField(value, "steps");
    if (steps == nullptr || steps->Empty()) {
        return false;
    }
    spec.queue = textField(value, "queue");
    spec.payload = textField(value, "payload");
    spec.occurrences = static_cast<int>(integerField(value, "occ"));
    spec.firstDueWall = integerField(value, "due");
    spec.interval = integerField(value, "every");
    spec.team = textField(value, "team");
    spec.beyondShare = boolField(value, "beyond");
    for (const auto &value : steps->GetArray()) {
        const cell::step_spec step = readStep(value);
        if (!isValidStep(step, static_cast<int>(spec.steps.size()))) {
            return false;
        }
        spec.steps.push_back(step);
    }
    return true;
}

void writePolicy(json_writer &out, const cell::queue_policy &policy)
{
    put(out, "service", policy.service);
    put(out, "prio", policy.priority);
    put(out, "tries", policy.maxAttempts);
    put(out, "slack", policy.slackFactor);
    put(out, "target", policy.latencyTarget);
    put(out, "advised", policy.needsAdvice);
    put(out, "adv0", policy.advice.base);
    put(out, "adv1", policy.advice.perWorker);
    put(out, "advv", policy.advice.valid);
}

cell::queue_policy readPolicy(const rapidjson::Value &value)
{
    cell::queue_policy policy;
    policy.name = textField(value, "queue");
    policy.service = textField(value, "service");
    policy.priority = static_cast<int>(integerField(value, "prio"));
    policy.maxAttempts = static_cast<int>(integerField(value, "tries", 1));
    policy.slackFactor = numberField(value, "slack", 1.0);
    policy.latencyTarget = integerField(value, "target");
    policy.needsAdvice = boolField(value, "advised");
    policy.advice = {integerField(value, "adv0"), integerField(value, "adv1"),
                     integerField(value, "advv")};
    return policy;
}

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

/// Limit of a row; the users' table service refuses a write with a row of more than 65,536 bytes,
/// and with it the changes of all other jobs in that write.
constexpr std::size_t maxRowBytes = 65'536;
/// Steps with more tasks are stored with four tasks a character.
constexpr std::size_t maxTasksAsDigits = 256;
constexpr std::size_t tasksPerHexDigit = 4;

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

/// Marks the tasks as done whose bits are set.
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

void writeStepProgress(json_writer &out, const cell::step_state &step, bool withCheckpoints)
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
        const std::string checkpoint = withCheckpoints ? task.checkpoint : "";
        if (task.done
            || (task.failedAttempts.empty() && checkpoint.empty() && task.crashedLives.empty()
                && task.trialLife.empty())) {
            continue;
        }
        out.StartObject();
        put(out, "index", static_cast<std::int64_t>(index));
        writeAttempts(out, "failed", task.failedAttempts);
        put(out, "checkpoint", checkpoint);
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

} // namespace

bool isValidStep(const cell::step_spec &step, int index)
{
    constexpr int maxTasks = 100'000;
    return step.count >= 1 && step.count <= maxTasks && step.demand.cpuMilli >= 0
        && step.demand.memoryMb >= 0 && step.demand.accelerators >= 0
        && std::all_of(step.after.begin(), step.after.end(),
                       [&](int predecessor) { return predecessor >= 0 && predecessor < index; });
}

std::string encodeHead(const head_row &head)
{
    return writeObject([&](json_writer &out) {
        put(out, "epoch", head.epoch);
        put(out, "sequence", head.sequence);
        put(out, "scheduler", head.scheduler);
        put(out, "address", head.address);
        put(out, "incarnation", head.incarnation);
    });
}

std::optional<head_row> decodeHead(const std::string &value)
{
    rapidjson::Document document;
    if (!parseObject(value, document)) {
        return std::nullopt;
    }
    return head_row {integerField(document, "epoch"), integerField(document, "sequence"),
                     textField(document, "scheduler"), textField(document, "address"),
                     textField(document, "incarnation")};
}

std::string encodeJob(const cell::job_state &job, std::int64_t acceptedWall)
{
    return writeObject([&](json_writer &out) {
        put(out, "epoch", job.acceptedEpoch);
        put(out, "wall", acceptedWall);
        writePolicy(out, job.policy);
        writeSpec(out, job.spec);
    });
}

bool fitsJobRow(const cell::job_spec &spec, const cell::queue_policy &policy)
{
    cell::job_state job;
    job.spec = spec;
    job.policy = policy;
    // The numbers that are not known yet have at most this length.
    constexpr std::int64_t longest = std::numeric_limits<std::int64_t>::max();
    job.acceptedEpoch = longest;
    return encodeJob(job, longest).size() <= maxRowBytes;
}

std::optional<cell::job_state> decodeJob(const std::string &id, const std::string &value,
                                         std::int64_t &acceptedWall)
{
    rapidjson::Document document;
    cell::job_state job;
    if (!parseObject(value, document) || !readSpec(document, job.spec)) {
        return std::nullopt;
    }
    job.spec.id = id;
    job.policy = readPolicy(document);
    job.acceptedEpoch = integerField(document, "epoch");
    acceptedWall = integerField(document, "wall");
    return job;
}

bool needsProgressRow(const cell::job_state &job)
{
    return job.ordered && !job.occurrences.empty();
}

namespace {

constexpr char beginField[] = "begun";

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

/// Writes the completed occurrences as ranges of numbers, first and last.
void writeCompleted(json_writer &out, const cell::job_state &job)
{
    out.Key("completed");
    out.StartArray();
    std::optional<std::pair<int, int>> range;
    const auto endRange = [&] {
        if (range) {
            out.StartArray();
            out.Int(range->first);
            out.Int(range->second);
            out.EndArray();
        }
        range.reset();
    };
    for (const auto &[number, occurrence] : job.occurrences) {
        if (!occurrence.completed) {
            continue;
        }
        if (!range || number != range->second + 1) {
            endRange();
            range = {number, number};
        }
        range->second = number;
    }
    endRange();
    out.EndArray();
}

void readCompleted(const rapidjson::Value &document, cell::job_state &job)
{
    const auto *ranges = arrayField(document, "completed");
    for (rapidjson::SizeType index = 0; ranges != nullptr && index < ranges->Size(); ++index) {
        const rapidjson::Value &range = (*ranges)[index];
        if (!range.IsArray() || range.Size() != 2) {
            continue;
        }
        const std::int64_t last =
            std::min<std::int64_t>(integerOf(range[1]), std::max(job.spec.occurrences, 1) - 1);
        for (std::int64_t number = std::max<std::int64_t>(integerOf(range[0]), 0); number <= last;
             ++number) {
            cell::occurrence_state &occurrence =
                cell::ensureOccurrence(job, static_cast<int>(number));
            for (cell::step_state &step : occurrence.steps) {
                for (cell::task_state &task : step.tasks) {
                    task.done = true;
                }
                step.doneCount = static_cast<int>(step.tasks.size());
            }
            occurrence.stepsDone = static_cast<int>(occurrence.steps.size());
            occurrence.completed = true;
            ++job.occurrencesCompleted;
        }
    }
}

/// Rows of former releases lack the field; they were written once a task had been ordered, mostly
/// after an end.
bool readBegin(const rapidjson::Value &document)
{
    return findField(document, beginField) == nullptr || boolField(document, beginField);
}

std::string encodeProgress(const cell::job_state &job, bool withCheckpoints)
{
    return writeObject([&](json_writer &out) {
        put(out, beginField, job.begun);
        if (job.occurrencesCompleted > 0) {
            writeCompleted(out, job);
        }
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
                writeStepProgress(out, step, withCheckpoints);
            }
            out.EndArray();
            out.EndObject();
        }
        out.EndArray();
    });
}

} // namespace

std::string encodeProgress(const cell::job_state &job)
{
    std::string row = encodeProgress(job, true);
    return row.size() <= maxRowBytes ? row : encodeProgress(job, false);
}

bool decodeProgress(const std::string &value, cell::job_state &job)
{
    rapidjson::Document document;
    const auto *occurrences =
        parseObject(value, document) ? arrayField(document, "occurrences") : nullptr;
    if (occurrences == nullptr) {
        return false;
    }
    readCompleted(document, job);
    for (const auto &row : occurrences->GetArray()) {
        cell::occurrence_state &occurrence =
            cell::ensureOccurrence(job, static_cast<int>(integerField(row, "number")));
        const auto *steps = arrayField(row, "steps");
        for (std::size_t index = 0;
             steps != nullptr && index < occurrence.steps.size() && index < steps->Size();
             ++index) {
            cell::step_state &step = occurrence.steps[index];
            readStepProgress((*steps)[static_cast<rapidjson::SizeType>(index)], step);
            const bool isStepDone = step.doneCount == static_cast<int>(step.tasks.size());
            occurrence.stepsDone += isStepDone ? 1 : 0;
        }
        occurrence.completed = occurrence.stepsDone == static_cast<int>(occurrence.steps.size());
        job.occurrencesCompleted += occurrence.completed ? 1 : 0;
    }
    job.ordered = true;
    job.begun = readBegin(document);
    return true;
}

bool showsBegin(const std::string &value)
{
    rapidjson::Document document;
    return parseObject(value, document) && readBegin(document);
}

std::string encodeCall(const call_message &message)
{
    const caller_call &call = message.call;
    return writeObject([&](json_writer &out) {
        put(out, "wait_us", message.wait);
        put(out, "kind", static_cast<int>(call.kind));
        put(out, "queue", call.queue);
        put(out, "job", call.job);
        if (!call.team.empty()) {
            put(out, "team", call.team);
        }
        if (!call.key.empty()) {
            put(out, "key", call.key);
        }
        if (call.configVersion != 0) {
            put(out, "config", call.configVersion);
        }
        if (call.kind == call_kind::submit) {
            out.Key("spec");
            out.StartObject();
            writeSpec(out, call.spec);
            out.EndObject();
        }
    });
}

std::optional<call_message> decodeCall(const std::string &text)
{
    rapidjson::Document document;
    if (!parseObject(text, document)) {
        return std::nullopt;
    }
    call_message message;
    message.wait = integerField(document, "wait_us");
    caller_call &call = message.call;
    call.kind = static_cast<call_kind>(integerField(document, "kind"));
    call.queue = textField(document, "queue");
    call.job = textField(document, "job");
    call.team = textField(document, "team");
    call.key = textField(document, "key");
    call.configVersion = integerField(document, "config");
    const auto *spec = findField(document, "spec");
    if (spec == nullptr) {
        return call.kind == call_kind::submit ? std::nullopt : std::optional(message);
    }
    if (!readSpec(*spec, call.spec)) {
        return std::nullopt;
    }
    call.spec.id = call.job;
    return message;
}

} // namespace bramleygrade::entry
