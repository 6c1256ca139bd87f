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
