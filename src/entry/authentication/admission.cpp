#include "entry/authentication/admission.h"

#include "entry/authentication/confirmation_exchange.h"

namespace bramleygrade::entry {

namespace {

/// Peers are asked about an expired configuration every second, so that it may be confirmed by
/// then.
constexpr microseconds unconfirmedRetryAfter = 1 * second;
constexpr microseconds heldRetryAfter = 1 * second;
constexpr std::size_t maxHeldCalls = 2'000;
/// Maximum number of log lines about the faults of one configuration.
constexpr std::size_t maxProblemLines = 50;

} // namespace

std::string formatConfigAge(const entry_state &entry)
{
    return entry.confirmation.confirmedAt == distantPast
        ? ""
        : std::to_string((steadyNow() - entry.confirmation.confirmedAt) / millisecond);
}

namespace {

caller_answer makeAnswer(answer_kind kind, std::string reason, microseconds retryAfter = 0)
{
    caller_answer answer;
    answer.kind = kind;
    answer.reason = std::move(reason);
    answer.retryAfter = retryAfter;
    return answer;
}

caller_answer rejectKey(entry_state &entry, const caller_call &call, const std::string &reason)
{
    logEvent(entry, "call_unauthenticated",
             {{"job", call.job},
              {"queue", call.queue},
              {"why", reason},
              {"key_bytes", std::to_string(call.key.size())},
              {"config", std::to_string(entry.config.version)},
              {"config_age_ms", formatConfigAge(entry)}});
    return makeAnswer(answer_kind::unauthenticated, reason);
}

std::optional<caller_answer> admitByKey(entry_state &entry, caller_call &call)
{
    const admission result = admit(currentKeys(entry), call.queue, call.key);
    if (result.outcome == admission_outcome::no_such_queue) {
        return makeAnswer(answer_kind::no_such_queue,
                          "the configuration in force no longer has this queue");
    }
    if (result.outcome == admission_outcome::unauthenticated) {
        return rejectKey(entry, call,
                         call.key.empty() ? "the queue is not public; send 'Authorization: Token "
                                            "KEY' with a key of your team"
                                          : "no team has this key; check the key, or whether it "
                                            "has been revoked");
    }
    call.team = result.team;
    call.configVersion = entry.config.version;
    return std::nullopt;
}

bool isPublicQueue(entry_state &entry, const std::string &queue)
{
    const auto &queues = currentKeys(entry).queues;
    const auto access = queues.find(queue);
    return access != queues.end() && access->second.isPublic;
}

void refuseHeldCall(entry_state &entry, const held_call &held)
{
    logEvent(entry, "held_call_refused",
             {{"job", held.call.job},
              {"queue", held.call.queue},
              {"needed", std::to_string(held.call.configVersion)},
              {"config", std::to_string(entry.config.version)}});
    held.answer(makeAnswer(answer_kind::refused,
                           "the scheduler has not read the newest configuration yet; retry later",
                           heldRetryAfter));
}

} // namespace

const caller_keys &currentKeys(entry_state &entry)
{
    if (entry.keys.version != entry.config.version) {
        std::vector<cell::config_problem> problems;
        entry.keys = indexCallerKeys(entry.config, problems);
    }
    return entry.keys;
}

std::optional<caller_answer> admitCaller(entry_state &entry, decoded_request &decoded)
{
    caller_call &call = decoded.call;
    if (call.queue.empty()) {
        return std::nullopt;
    }
    if (!entry.config.requiresKeys) {
        // A scheduler that still has a configuration with keys must not apply it to this call.
        call.configVersion = entry.hasRequiredKeys ? entry.config.version : 0;
        return std::nullopt;
    }
    if (isPublicQueue(entry, call.queue)) {
        call.configVersion = entry.config.version;
        return std::nullopt;
    }
    if (!decoded.keyProblem.empty()) {
        return rejectKey(entry, call, decoded.keyProblem);
    }
    if (isExpired(entry.confirmation, entry.settings.revocationLimit, steadyNow())) {
        monitorConfirmation(entry, steadyNow());
        return makeAnswer(answer_kind::refused,
                          "this entry cannot confirm that its list of keys is up to date; retry at "
                          "another entry",
                          unconfirmedRetryAfter);
    }
    return admitByKey(entry, call);
}

std::optional<caller_answer> recheckCall(entry_state &entry, caller_call &call)
{
    if (!entry.config.requiresKeys || call.configVersion == entry.config.version) {
        return std::nullopt;
    }
    return admitByKey(entry, call);
}

bool needsSchedulerCheck(const entry_state &entry, const caller_call &call)
{
    return entry.config.requiresKeys || call.configVersion > entry.config.version;
}

std::optional<caller_call> admitAtScheduler(entry_state &entry, const caller_call &call,
                                            timestamp deadline, const answer_function &answer)
{
    if (call.configVersion > entry.config.version) {
        const held_call held {call, deadline, answer};
        if (entry.heldCalls.size() >= maxHeldCalls) {
            refuseHeldCall(entry, held);
            return std::nullopt;
        }
        entry.heldCalls.push_back(held);
        hearOfVersion(entry, call.configVersion, 0);
        monitorHeldCalls(entry, steadyNow());
        return std::nullopt;
    }
    caller_call checked = call;
    if (const auto rejection = admitByKey(entry, checked)) {
        answer(*rejection);
        return std::nullopt;
    }
    return checked;
}

void retryHeldCalls(entry_state &entry)
{
    std::list<held_call> calls;
    calls.swap(entry.heldCalls);
    for (const held_call &held : calls) {
        handleCall(entry, held.call, held.deadline, held.answer);
    }
}

void monitorHeldCalls(entry_state &entry, timestamp now)
{
    if (entry.heldCalls.empty()) {
        return;
    }
    if (!entry.leaderState) {
        retryHeldCalls(entry); // answers that this entry is not the scheduler
        return;
    }
    for (auto held = entry.heldCalls.begin(); held != entry.heldCalls.end();) {
        if (now < held->deadline - tickInterval) {
            ++held;
            continue;
        }
        const held_call expired = *held;
        held = entry.heldCalls.erase(held);
        refuseHeldCall(entry, expired);
    }
    if (!entry.heldCalls.empty()) {
        refreshConfig(entry);
    }
}

bool answerIfForbidden(entry_state &entry, const caller_call &call, const std::string &jobTeam,
                       const answer_function &answer)
{
    if (mayUseJob(currentKeys(entry), jobTeam, call.team)) {
        return false;
    }
    logEvent(entry, "call_forbidden",
             {{"job", call.job},
              {"queue", call.queue},
              {"team", call.team},
              {"job_team", jobTeam},
              {"config", std::to_string(entry.config.version)},
              {"config_age_ms", formatConfigAge(entry)}});
    answer(
        makeAnswer(answer_kind::forbidden,
                   "the job belongs to another team; use a key of that team, or another job id"));
    return true;
}

void onConfigAdopted(entry_state &entry, const stored_row &row)
{
    entry.configRowVersion = row.version;
    entry.hasRequiredKeys = entry.hasRequiredKeys || entry.config.requiresKeys;
    if (!entry.hasRequiredKeys) {
        return;
    }
    entry.configRow = row.value;
    std::vector<cell::config_problem> problems = entry.config.problems;
    entry.keys = indexCallerKeys(entry.config, problems);
    for (std::size_t index = 0; index < problems.size() && index < maxProblemLines; ++index) {
        logEvent(entry, "config_problem",
                 {{"version", std::to_string(entry.config.version)},
                  {"team", problems[index].team},
                  {"problem", problems[index].problem},
                  {"of", std::to_string(problems.size())}});
    }
    recheckForwarded(entry);
    retryHeldCalls(entry);
}

} // namespace bramleygrade::entry
