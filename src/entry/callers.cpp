#include <algorithm>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// How long a call waits for a scheduler to appear before it is refused; a takeover takes less.
constexpr microseconds schedulerPatience = 1'600 * millisecond;
/// An answer must leave this long before the caller stops waiting.
constexpr microseconds answerMargin = 120 * millisecond;
/// The scheduler's answer to a forwarded call must leave earlier still: by the way between two
/// regions and back, and one tick of this entry.
constexpr microseconds forwardMargin = answerMargin + 80 * millisecond;
constexpr microseconds defaultPatience = 3 * second;
constexpr microseconds longestPatience = 10 * second;
/// Time after which a caller may come back when no scheduler is there.
constexpr microseconds retryAfter = 1 * second;
/// Age up to which the count of waiting jobs is passed on (users' protocol: 2 s).
constexpr microseconds pendingAge = 1 * second;
constexpr microseconds schedulerSilence = 1'200 * millisecond;

/// Calls that one entry has under way: three seconds of the users' target of 180 starts a second,
/// several times over, as each holds a connection.
constexpr std::size_t mostForwarded = 2'000;

using call_pointer = std::shared_ptr<forwarded_call>;

void conclude(entry_state &entry, const call_pointer &call, caller_answer answer)
{
    if (call->answered) {
        return;
    }
    call->answered = true;
    if (answer.kind == answer_kind::refused && call->mayHaveTakenEffect) {
        // An earlier attempt may still have been taken: a refusal would not be true.
        answer.kind = answer_kind::unknown;
    }
    entry.forwardedCalls.remove(call);
    call->answer(std::move(answer));
}

void concludeOrRetry(entry_state &entry, const call_pointer &call, int attempt,
                     const caller_answer &answer)
{
    if (call->answered) {
        return;
    }
    const bool newest = attempt == call->attempt;
    const bool positive = answer.kind != answer_kind::refused && answer.kind != answer_kind::unknown
        && answer.kind != answer_kind::not_scheduler;
    if (positive) {
        conclude(entry, call, answer);
        return;
    }
    call->mayHaveTakenEffect = call->mayHaveTakenEffect || answer.kind == answer_kind::unknown;
    if (!newest) {
        return;
    }
    call->inFlight = false;
    if (answer.kind == answer_kind::refused) {
        conclude(entry, call, answer);
    }
}

void sendToScheduler(entry_state &entry, const call_pointer &call, int attempt)
{
    // No second attempt while the scheduler lives: its refusal would not be true for the first.
    const microseconds callTimeout = call->deadline - steadyNow();
    sendPeer(
        entry, entry.scheduler.address, "/call",
        encodeCall({call->call, callTimeout - forwardMargin}), callTimeout, false,
        [&entry, call, attempt](const net::call_result &result) {
            const auto answer = decodeAnswer(result.body);
            if (result.outcome == net::call_outcome::answered && result.status == 200 && answer) {
                concludeOrRetry(entry, call, attempt, *answer);
                return;
            }
            caller_answer none;
            none.kind = result.outcome == net::call_outcome::not_sent ? answer_kind::not_scheduler
                                                                      : answer_kind::unknown;
            concludeOrRetry(entry, call, attempt, none);
        });
}

void attemptCall(entry_state &entry, const call_pointer &call)
{
    if (call->answered) {
        return;
    }
    if (entry.leaderState) {
        call->inFlight = true;
        const int attempt = ++call->attempt;
        handleCall(entry, call->call, call->deadline - answerMargin,
                   [&entry, call, attempt](const caller_answer &answer) {
                       concludeOrRetry(entry, call, attempt, answer);
                   });
        return;
    }
    const bool known =
        !entry.scheduler.address.empty() && steadyNow() < entry.schedulerSeenAt + schedulerSilence;
    if (known) {
        call->inFlight = true;
        sendToScheduler(entry, call, ++call->attempt);
    }
}

bool answerPending(entry_state &entry, const caller_call &call, const answer_function &answer)
{
    const auto found = entry.pending.find(call.queue);
    if (call.kind != call_kind::pending || entry.leaderState || found == entry.pending.end()
        || steadyNow() > entry.pendingAt + pendingAge) {
        return false;
    }
    caller_answer reply;
    reply.kind = answer_kind::pending;
    reply.pending = found->second;
    answer(reply);
    return true;
}

const char *answerName(answer_kind kind)
{
    switch (kind) {
    case answer_kind::accepted:
        return "accepted";
    case answer_kind::state:
        return "state";
    case answer_kind::pending:
        return "pending";
    case answer_kind::no_such_job:
        return "no_such_job";
    case answer_kind::no_such_queue:
        return "no_such_queue";
    case answer_kind::bad_request:
        return "bad_request";
    case answer_kind::refused:
        return "refused";
    default:
        return "unknown";
    }
}

void logAnswer(entry_state &entry, const caller_call &call, const caller_answer &answer,
               microseconds latency)
{
    ++entry.metrics.counters[std::string("caller_answers_total{answer=\"") + answerName(answer.kind)
                             + "\"}"];
    observeLatency(entry.metrics, "caller_seconds", latency);
    const bool quiet = answer.kind == answer_kind::state || answer.kind == answer_kind::pending;
    if (quiet) {
        return; // asked many times for each job; counted above
    }
    logEvent(entry, "call_answered",
             {{"job", call.job},
              {"queue", call.queue},
              {"call", std::to_string(static_cast<int>(call.kind))},
              {"answer", answerName(answer.kind)},
              {"why", answer.reason},
              {"config", std::to_string(entry.config.version)},
              {"scheduler", entry.scheduler.name},
              {"epoch", std::to_string(entry.epoch)},
              {"heard_ms_ago", std::to_string((steadyNow() - entry.schedulerSeenAt) / millisecond)},
              {"took_ms", std::to_string(latency / millisecond)}});
}

} // namespace

void serveCaller(entry_state &entry, const net::http_request &request,
                 const net::http_server::responder &respond)
{
    const timestamp now = steadyNow();
    const decoded_request decoded = entry.ports.codec.decode(request, entry.config);
    const auto answer = [&entry, respond, call = decoded.call, now](const caller_answer &reply) {
        logAnswer(entry, call, reply, steadyNow() - now);
        respond(entry.ports.codec.encode(reply));
    };
    if (!decoded.isCall) {
        answer(decoded.answer);
        return;
    }
    if (answerPending(entry, decoded.call, answer)) {
        return;
    }
    if (entry.forwardedCalls.size() >= mostForwarded) {
        caller_answer full;
        full.kind = answer_kind::refused;
        full.retryAfter = retryAfter;
        full.reason = "too many calls wait for the scheduler";
        answer(full);
        return;
    }
    const auto call = std::make_shared<forwarded_call>();
    call->call = decoded.call;
    const microseconds callTimeout =
        decoded.callTimeout > 0 ? decoded.callTimeout : defaultPatience;
    call->deadline = now + std::min(callTimeout, longestPatience);
    call->holdUntil = std::min(call->deadline - answerMargin, now + schedulerPatience);
    call->answer = answer;
    entry.forwardedCalls.push_back(call);
    attemptCall(entry, call);
}

void resendForwarded(entry_state &entry)
{
    const auto calls = entry.forwardedCalls;
    for (const call_pointer &call : calls) {
        call->mayHaveTakenEffect = call->mayHaveTakenEffect || call->inFlight;
        attemptCall(entry, call);
    }
}

void expireForwarded(entry_state &entry, timestamp now)
{
    const auto calls = entry.forwardedCalls;
    for (const call_pointer &call : calls) {
        if (now >= call->deadline - answerMargin / 2) {
            caller_answer answer;
            answer.kind = call->inFlight || call->mayHaveTakenEffect ? answer_kind::unknown
                                                                     : answer_kind::refused;
            answer.retryAfter = retryAfter;
            answer.reason = "no answer from the scheduler in time";
            conclude(entry, call, answer);
        } else if (!call->inFlight && now >= call->holdUntil && !call->mayHaveTakenEffect) {
            caller_answer answer;
            answer.kind = answer_kind::refused;
            answer.retryAfter = retryAfter;
            answer.reason = "no scheduler is known";
            conclude(entry, call, answer);
        } else if (!call->inFlight) {
            attemptCall(entry, call);
        }
    }
}

} // namespace bramleygrade::entry
