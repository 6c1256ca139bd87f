#include "entry/json_text.h"
#include "entry/rows.h"

namespace bramleygrade::entry {

namespace {

void writeMember(json_writer &out, const member &value)
{
    out.StartArray();
    putText(out, value.name);
    putText(out, value.address);
    out.Int64(value.processorMilli);
    out.EndArray();
}

member readMember(const rapidjson::Value &value)
{
    if (!value.IsArray() || value.Size() < 2) {
        return {};
    }
    return {textOf(value[0]), textOf(value[1]), value.Size() > 2 ? integerOf(value[2]) : 0};
}

} // namespace

std::string encodeAnswer(const caller_answer &answer)
{
    return writeObject([&](json_writer &out) {
        put(out, "kind", static_cast<int>(answer.kind));
        put(out, "phase", static_cast<int>(answer.phase));
        put(out, "pending", answer.pending);
        put(out, "retry", answer.retryAfter);
        put(out, "reason", answer.reason);
    });
}

std::optional<caller_answer> decodeAnswer(const std::string &text)
{
    rapidjson::Document document;
    if (!parseObject(text, document)) {
        return std::nullopt;
    }
    caller_answer answer;
    answer.kind = static_cast<answer_kind>(integerField(document, "kind"));
    answer.phase = static_cast<cell::job_phase>(integerField(document, "phase"));
    answer.pending = integerField(document, "pending");
    answer.retryAfter = integerField(document, "retry");
    answer.reason = textField(document, "reason");
    return answer;
}

std::string encodeAdviceOrder(const cell::advice_order &order)
{
    return writeObject([&](json_writer &out) {
        put(out, "job", order.step.job);
        put(out, "occurrence", order.step.occurrence);
        put(out, "step", order.step.step);
        put(out, "expected", order.expected);
        out.Key("workers");
        out.StartArray();
        for (const std::string &worker : order.workers) {
            putText(out, worker);
        }
        out.EndArray();
    });
}

std::optional<cell::advice_order> decodeAdviceOrder(const std::string &text)
{
    rapidjson::Document document;
    const auto *workers = parseObject(text, document) ? arrayField(document, "workers") : nullptr;
    if (workers == nullptr) {
        return std::nullopt;
    }
    cell::advice_order order;
    order.step = {textField(document, "job"),
                  static_cast<int>(integerField(document, "occurrence")),
                  static_cast<int>(integerField(document, "step")), 0};
    order.expected = integerField(document, "expected");
    for (const auto &worker : workers->GetArray()) {
        order.workers.push_back(textOf(worker));
    }
    return order;
}

std::string encodeAdviceResult(const advice_result &result)
{
    return writeObject([&](json_writer &out) {
        put(out, "answered", result.answered);
        put(out, "valid", result.validFor);
        out.Key("allowed");
        out.StartArray();
        for (const auto &[worker, ticket] : result.allowed) {
            writeMember(out, {worker, ticket});
        }
        out.EndArray();
    });
}

std::optional<advice_result> decodeAdviceResult(const std::string &text)
{
    rapidjson::Document document;
    const auto *allowed = parseObject(text, document) ? arrayField(document, "allowed") : nullptr;
    if (allowed == nullptr) {
        return std::nullopt;
    }
    advice_result result;
    result.answered = boolField(document, "answered");
    result.validFor = integerField(document, "valid");
    for (const auto &row : allowed->GetArray()) {
        const member pair = readMember(row);
        result.allowed.emplace_back(pair.name, pair.address);
    }
    return result;
}

std::string encodeMembers(const std::map<std::string, std::string> &members)
{
    return writeObject([&](json_writer &out) {
        for (const auto &[name, address] : members) {
            put(out, name.c_str(), address);
        }
    });
}

std::vector<member> decodeMembers(const std::string &value)
{
    rapidjson::Document document;
    std::vector<member> members;
    if (parseObject(value, document)) {
        for (const auto &entry : document.GetObject()) {
            members.push_back({entry.name.GetString(), textOf(entry.value), 0});
        }
    }
    return members;
}

std::string encodeHeartbeat(const heartbeat_message &heartbeat)
{
    return writeObject([&](json_writer &out) {
        put(out, "epoch", heartbeat.epoch);
        out.Key("sender");
        writeMember(out, heartbeat.sender);
        out.Key("members");
        out.StartArray();
        for (const member &entry : heartbeat.members) {
            writeMember(out, entry);
        }
        out.EndArray();
        if (heartbeat.pendingVersion != 0) {
            put(out, "pending_of", heartbeat.pendingVersion);
            out.Key("pending");
            out.StartObject();
            for (const auto &[queue, count] : heartbeat.pending) {
                put(out, queue.c_str(), count);
            }
            out.EndObject();
        }
        if (heartbeat.configVersion != 0) {
            put(out, "config", heartbeat.configVersion);
        }
    });
}

std::optional<heartbeat_message> decodeHeartbeat(const std::string &text)
{
    rapidjson::Document document;
    if (!parseObject(text, document)) {
        return std::nullopt;
    }
    heartbeat_message heartbeat;
    heartbeat.epoch = integerField(document, "epoch");
    if (const auto *sender = findField(document, "sender")) {
        heartbeat.sender = readMember(*sender);
    }
    if (const auto *members = arrayField(document, "members")) {
        for (const auto &entry : members->GetArray()) {
            heartbeat.members.push_back(readMember(entry));
        }
    }
    const auto *pending = findField(document, "pending");
    if (pending != nullptr && pending->IsObject()) {
        for (const auto &item : pending->GetObject()) {
            heartbeat.pending.emplace_back(item.name.GetString(), integerOf(item.value));
        }
    }
    heartbeat.pendingVersion = integerField(document, "pending_of");
    heartbeat.configVersion = integerField(document, "config");
    return heartbeat;
}

std::string encodeConfirmQuery(const confirm_query &query)
{
    return writeObject([&](json_writer &out) {
        put(out, "sender", query.sender);
        put(out, "version", query.version);
        put(out, "row_wanted", query.wantsRow);
    });
}

std::optional<confirm_query> decodeConfirmQuery(const std::string &text)
{
    rapidjson::Document document;
    if (!parseObject(text, document)) {
        return std::nullopt;
    }
    // Entries of earlier releases always want the row, and do not say so.
    const bool wantsRow =
        findField(document, "row_wanted") == nullptr || boolField(document, "row_wanted");
    return confirm_query {textField(document, "sender"), integerField(document, "version"),
                          wantsRow};
}

std::string encodeConfirmReply(const confirm_reply &reply)
{
    return writeObject([&](json_writer &out) {
        put(out, "version", reply.version);
        put(out, "age_us", reply.age);
        if (!reply.row.empty()) {
            put(out, "row", reply.row);
            put(out, "row_version", reply.rowVersion);
        }
    });
}

std::optional<confirm_reply> decodeConfirmReply(const std::string &text)
{
    rapidjson::Document document;
    if (!parseObject(text, document)) {
        return std::nullopt;
    }
    return confirm_reply {integerField(document, "version"), integerField(document, "age_us", -1),
                          textField(document, "row"), integerField(document, "row_version")};
}

std::string encodeMemberStatus(const member_status &memberStatus)
{
    return writeObject([&](json_writer &out) {
        out.Key("sender");
        writeMember(out, memberStatus.sender);
        put(out, "epoch", memberStatus.epoch);
        put(out, "heard", memberStatus.schedulerSeenAgo);
        put(out, "scheduler", memberStatus.isScheduler);
        put(out, "claiming", memberStatus.isClaiming);
        put(out, "version", memberStatus.headVersion);
    });
}

std::optional<member_status> decodeMemberStatus(const std::string &text)
{
    rapidjson::Document document;
    if (!parseObject(text, document)) {
        return std::nullopt;
    }
    member_status memberStatus;
    if (const auto *sender = findField(document, "sender")) {
        memberStatus.sender = readMember(*sender);
    }
    memberStatus.epoch = integerField(document, "epoch");
    memberStatus.schedulerSeenAgo = integerField(document, "heard", -1);
    memberStatus.isScheduler = boolField(document, "scheduler");
    memberStatus.isClaiming = boolField(document, "claiming");
    memberStatus.headVersion = integerField(document, "version");
    return memberStatus;
}

} // namespace bramleygrade::entry
