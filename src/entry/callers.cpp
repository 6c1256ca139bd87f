#include <algorithm>
#include <utility>

#include "entry/authentication/admission.h"
#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Time that a call waits for a scheduler to become known before it is refused; a takeover takes
/// less.
constexpr microseconds schedulerWaitLimit = 1'600 * millisecond;
/// Time before the caller's deadline by which the answer to a call is due. Without an answer, the
/// call expires half this time before the deadline.
constexpr microseconds answerMargin = 120 * millisecond;
/// Margin before the caller's deadline by which the scheduler answers a forwarded call:
/// `answerMargin`, a round trip between two regions and one tick of this entry.
constexpr microseconds forwardMargin = answerMargin + 80 * millisecond;
constexpr microseconds defaultCallTimeout = 3 * second;
constexpr microseconds maxCallTimeout = 10 * second;
/// Delay after which a caller may retry while no scheduler is known or this entry is overloaded.
constexpr microseconds retryAfter = 1 * second;
/// Maximum age of the pending counts that a follower serves; the users' protocol allows 2 s.
constexpr microseconds maxPendingAge = 1 * second;
/// Time without a heartbeat after which no calls are forwarded to the scheduler.
constexpr microseconds forwardingTimeout = 1'200 * millisecond;

/// Share of a caller's remaining time after which an unanswered call that changes nothing is sent
/// again, in parts per thousand.
constexpr microseconds hedgeShareMilli = 333;

/// Time, and share of a caller's whole time, after which a state call without an answer is answered
/// from the rows: before a call is refused for lack of a scheduler.
constexpr microseconds maxLookupDelay = schedulerWaitLimit - 100 * millisecond;
constexpr microseconds lookupShareMilli = 500;

/// Maximum number of calls in flight at one entry, as each holds a connection: several times what
/// the users' target of 180 starts per second produces in 3 s.
constexpr std::size_t maxForwardedCalls = 2'000;

using call_pointer = std::shared_ptr<forwarded_call>;

bool changesNothing(const caller_call &call)
{
    return call.kind == call_kind::state || call.kind == call_kind::pending;
}

void finishCall(entry_state &entry, const call_pointer &call, caller_answer answer)
{
    if (call->answered) {
        return;
    }
    call->answered = true;
    const bool isNotAdmitted = answer.kind == answer_kind::unauthenticated
        || (answer.kind == answer_kind::no_such_queue && entry.config.requiresKeys);
    const bool isRejected =
        answer.kind == answer_kind::refused || (isNotAdmitted && !changesNothing(call->call));
    if (isRejected && call->mayHaveTakenEffect) {
        // An earlier attempt may have taken effect, so a refusal could be wrong.
        answer.kind = answer_kind::unknown;
    }
    entry.forwardedCalls.remove(call);
    call->answer(std::move(answer));
}

void handleAttemptResult(entry_state &entry, const call_pointer &call, int attempt,
                         const caller_answer &answer)
{
    if (call->answered) {
        return;
    }
    const bool isNewestAttempt = attempt == call->attempt;
    const bool isDefinite = answer.kind != answer_kind::refused
        && answer.kind != answer_kind::unknown && answer.kind != answer_kind::not_scheduler;
    if (isDefinite) {
        finishCall(entry, call, answer);
        return;
    }
    call->mayHaveTakenEffect = call->mayHaveTakenEffect || answer.kind == answer_kind::unknown;
    if (!isNewestAttempt) {
        return;
    }
    call->inFlight = false;
    if (answer.kind == answer_kind::refused) {
        finishCall(entry, call, answer);
    }
}

void sendToScheduler(entry_state &entry, const call_pointer &call,
                     timestamp reuseConnectionsSince = distantPast)
{
    const timestamp now = steadyNow();
    const int attempt = ++call->attempt;
    call->inFlight = true;
    call->attemptedAt = now;
    net::http_call request;
    request.address = entry.scheduler.address;
    request.target = "/call";
    request.body = encodeCall({call->call, call->deadline - now - forwardMargin});
    request.deadline = call->deadline;
    // If the client resent a submission or cancellation to the same scheduler, a refusal of the
    // second attempt would say nothing about the first.
    request.idempotent = changesNothing(call->call);
    request.reuseConnectionsSince = reuseConnectionsSince;
    sendPeer(entry, std::move(request), [&entry, call, attempt](const net::call_result &result) {
        const auto answer = decodeAnswer(result.body);
        if (result.outcome == net::call_outcome::answered && result.status == 200 && answer) {
            handleAttemptResult(entry, call, attempt, *answer);
            return;
        }
        caller_answer failure;
        failure.kind = result.outcome == net::call_outcome::not_sent ? answer_kind::not_scheduler
                                                                     : answer_kind::unknown;
        handleAttemptResult(entry, call, attempt, failure);
    });
}

/// Answers a call that the configuration in force no longer admits, unless the call may have taken
/// effect. Returns whether it has.
bool rejectChangedAdmission(entry_state &entry, const call_pointer &call)
{
    if (!changesNothing(call->call) && (call->inFlight || call->mayHaveTakenEffect)) {
        return false;
    }
    const auto rejection = recheckCall(entry, call->call);
    if (rejection) {
        finishCall(entry, call, *rejection);
    }
    return rejection.has_value();
}

void attemptCall(entry_state &entry, const call_pointer &call)
{
    if (call->answered || rejectChangedAdmission(entry, call)) {
        return;
    }
    if (entry.leaderState) {
        call->inFlight = true;
        const int attempt = ++call->attempt;
        handleCall(entry, call->call, call->deadline - answerMargin,
                   [&entry, call, attempt](const caller_answer &answer) {
                       handleAttemptResult(entry, call, attempt, answer);
                   });
        return;
    }
    const bool isSchedulerKnown =
        !entry.scheduler.address.empty() && steadyNow() < entry.schedulerSeenAt + forwardingTimeout;
    if (isSchedulerKnown) {
        if (changesNothing(call->call)) {
            const timestamp now = steadyNow();
            call->hedgeAt = now + (call->deadline - now) * hedgeShareMilli / 1'000;
        }
        sendToScheduler(entry, call);
    }
}

/// Sends an unanswered call once more, on a connection that has been used since. Answers to the
/// earlier attempt still count, as the scheduler may only be busy.
void hedgeCall(entry_state &entry, const call_pointer &call)
{
    call->hedgeAt = distantFuture;
    if (!entry.leaderState && !entry.scheduler.address.empty()) {
        ++entry.metrics.counters["caller_calls_hedged_total"];
        sendToScheduler(entry, call, call->attemptedAt);
    }
}

/// Answers a state call from the rows if they show the job. Only the scheduler answers that there
/// is no such job.
void answerFromRows(entry_state &entry, const call_pointer &call)
{
    call->lookupAt = distantFuture;
    // The call is not refused before the rows are read.
    const timestamp holdUntil = std::exchange(call->holdUntil, call->deadline);
    ++entry.metrics.counters["caller_lookups_total"];
    lookUpJob(entry, call->call.job, [&entry, call, holdUntil](const job_lookup &lookup) {
        call->holdUntil = holdUntil;
        if (lookup.outcome == lookup_outcome::found && !call->answered) {
            const auto finish = [&entry, call](const caller_answer &answer) {
                finishCall(entry, call, answer);
            };
            if (answerIfForbidden(entry, call->call, lookup.team, finish)) {
                return;
            }
            caller_answer answer;
            answer.kind = answer_kind::state;
            answer.phase = lookup.phase;
            finish(answer);
        }
    });
}

bool answerFromPendingCounts(entry_state &entry, const caller_call &call,
                             const answer_function &answer)
{
    const auto found = entry.pending.find(call.queue);
    // The queues that were counted and have no number have no pending jobs.
    const bool isCounted =
        found != entry.pending.end() || entry.pendingVersion == entry.config.version;
    if (call.kind != call_kind::pending || entry.leaderState || !isCounted
        || steadyNow() > entry.pendingAt + maxPendingAge) {
        return false;
    }
    caller_answer reply;
    reply.kind = answer_kind::pending;
    reply.pending = found == entry.pending.end() ? 0 : found->second;
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
    case answer_kind::unauthenticated:
        return "unauthenticated";
    case answer_kind::forbidden:
        return "forbidden";
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
    const bool isPollingCall =
        answer.kind == answer_kind::state || answer.kind == answer_kind::pending;
    const bool hasOwnLine =
        answer.kind == answer_kind::unauthenticated || answer.kind == answer_kind::forbidden;
    if (isPollingCall || hasOwnLine) {
        return; // callers poll each job often, so these calls are counted but not logged
    }
    logEvent(entry, "call_answered",
             {{"job", call.job},
              {"queue", call.queue},
              {"team", call.team},
              {"call", std::to_string(static_cast<int>(call.kind))},
              {"answer", answerName(answer.kind)},
              {"why", answer.reason},
              {"config", std::to_string(entry.config.version)},
              {"config_age_ms", entry.config.requiresKeys ? formatConfigAge(entry) : ""},
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
    decoded_request decoded = entry.ports.codec.decode(request, entry.config);
    const auto rejection = admitCaller(entry, decoded);
    const auto answer = [&entry, respond, call = decoded.call, now](const caller_answer &reply) {
        logAnswer(entry, call, reply, steadyNow() - now);
        respond(entry.ports.codec.encode(reply));
    };
    if (rejection || !decoded.isCall) {
        answer(rejection ? *rejection : decoded.answer);
        return;
    }
    if (answerFromPendingCounts(entry, decoded.call, answer)) {
        return;
    }
    if (entry.forwardedCalls.size() >= maxForwardedCalls) {
        caller_answer overloaded;
        overloaded.kind = answer_kind::refused;
        overloaded.retryAfter = retryAfter;
        overloaded.reason = "too many calls are in progress at this entry; retry later";
        answer(overloaded);
        return;
    }
    const auto call = std::make_shared<forwarded_call>();
    call->call = decoded.call;
    const microseconds callTimeout =
        decoded.callTimeout > 0 ? decoded.callTimeout : defaultCallTimeout;
    call->deadline = now + std::min(callTimeout, maxCallTimeout);
    call->holdUntil = std::min(call->deadline - answerMargin, now + schedulerWaitLimit);
    if (decoded.call.kind == call_kind::state) {
        call->lookupAt =
            now + std::min((call->deadline - now) * lookupShareMilli / 1'000, maxLookupDelay);
    }
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

void recheckForwarded(entry_state &entry)
{
    const auto calls = entry.forwardedCalls;
    for (const call_pointer &call : calls) {
        if (!call->answered) {
            rejectChangedAdmission(entry, call);
        }
    }
}

void expireForwarded(entry_state &entry, timestamp now)
{
    // At most one lookup begins in each turn, so that many calls at once do not use up the reads of
    // the table service, which a new scheduler needs to load the rows.
    bool mayLookUp = entry.role != entry_role::scheduler;
    const auto calls = entry.forwardedCalls;
    for (const call_pointer &call : calls) {
        if (mayLookUp && now >= call->lookupAt) {
            answerFromRows(entry, call);
            mayLookUp = false;
        }
        if (now >= call->deadline - answerMargin / 2) {
            caller_answer answer;
            answer.kind = call->inFlight || call->mayHaveTakenEffect ? answer_kind::unknown
                                                                     : answer_kind::refused;
            answer.retryAfter = retryAfter;
            answer.reason = "the scheduler did not answer before the caller's deadline";
            finishCall(entry, call, answer);
        } else if (!call->inFlight && now >= call->holdUntil && !call->mayHaveTakenEffect) {
            caller_answer answer;
            answer.kind = answer_kind::refused;
            answer.retryAfter = retryAfter;
            answer.reason = "no scheduler is known yet; retry later";
            finishCall(entry, call, answer);
        } else if (!call->inFlight) {
            attemptCall(entry, call);
        } else if (now >= call->hedgeAt) {
            hedgeCall(entry, call);
        }
    }
}

} // namespace bramleygrade::entry
