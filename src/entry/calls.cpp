#include "cell/jobs/open_occurrences.h"
#include "cell/teams/admission.h"
#include "entry/authentication/admission.h"
#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Maximum number of calls queued while the rows are loaded: about 10 s of calls at the users'
/// target of at most 200 per second.
constexpr std::size_t maxDeferredCalls = 2'000;
/// Delay after which a refused caller may retry while the store is down or slow, or the rows are
/// still being loaded.
constexpr microseconds storeRetryAfter = 2 * second;
/// Delay after which a caller may retry that was refused for want of memory, which jobs free as
/// they end.
constexpr microseconds memoryRetryAfter = 5 * second;

void answerSimple(const answer_function &answer, answer_kind kind)
{
    caller_answer reply;
    reply.kind = kind;
    answer(reply);
}

void answerPhase(const answer_function &answer, cell::job_phase phase)
{
    caller_answer reply;
    reply.kind = answer_kind::state;
    reply.phase = phase;
    answer(reply);
}

void refuse(entry_state &entry, const caller_call &call, const answer_function &answer,
            microseconds retryAfter, const char *reason)
{
    caller_answer reply;
    reply.kind = answer_kind::refused;
    reply.retryAfter = retryAfter;
    reply.reason = reason;
    const timestamp now = steadyNow();
    logEvent(
        entry, "call_refused",
        {{"job", call.job},
         {"queue", call.queue},
         {"why", reason},
         {"open_work_bytes", std::to_string(entry.leaderState->cell.reservedBytes)},
         {"unsaved_changes", std::to_string(entry.leaderState->cell.unstored.size())},
         {"write_ms", std::to_string(entry.leaderState->averageWriteTime / millisecond)},
         {"store_silent_ms", std::to_string((now - entry.leaderState->writtenAt) / millisecond)}});
    answer(reply);
}

void refuseForTeam(entry_state &entry, const caller_call &call, const answer_function &answer,
                   const cell::job_spec &spec, const cell::team_refusal &refusal)
{
    logEvent(entry, "call_refused",
             {{"job", call.job},
              {"queue", call.queue},
              {"team", spec.team},
              {"why", refusal.reason},
              {"expected_wait_ms", std::to_string(refusal.expectedWait / millisecond)},
              {"beyond_share", spec.beyondShare ? "yes" : "no"},
              {"retry_after_ms", std::to_string(refusal.retryAfter / millisecond)},
              {"config", std::to_string(entry.config.version)},
              {"config_age_ms", std::to_string((steadyNow() - entry.configReadAt) / millisecond)}});
    caller_answer reply;
    reply.kind = answer_kind::refused;
    reply.retryAfter = refusal.retryAfter;
    reply.reason = refusal.reason;
    answer(reply);
}

void answerFromStore(entry_state &entry, const caller_call &call, const answer_function &answer)
{
    lookUpJob(entry, call.job, [&entry, call, answer](const job_lookup &lookup) {
        const call_kind kind = call.kind;
        if (lookup.outcome == lookup_outcome::failed) {
            answerSimple(answer, answer_kind::unknown);
        } else if (lookup.outcome == lookup_outcome::no_such_job) {
            answerSimple(answer, answer_kind::no_such_job);
        } else if (answerIfForbidden(entry, call, lookup.team, answer)) {
            return;
        } else if (kind != call_kind::cancel) {
            answerPhase(answer, lookup.phase);
        } else {
            // A live job that this scheduler does not know was accepted by another one.
            const bool isFinal =
                lookup.phase != cell::job_phase::queued && lookup.phase != cell::job_phase::running;
            answerSimple(answer, isFinal ? answer_kind::accepted : answer_kind::unknown);
        }
    });
}

void addWaiter(entry_state &entry, const caller_call &call, timestamp deadline,
               const answer_function &answer)
{
    entry.leaderState->waiters.emplace(call.job, write_waiter {call.kind, deadline, answer});
}

/// Returns the policy of the queue, or null if there is no such queue.
const cell::queue_policy *findQueue(entry_state &entry, const std::string &name)
{
    const auto &queues = currentKeys(entry).queues;
    const auto found = queues.find(name);
    return found == queues.end() ? nullptr : &entry.config.queues[found->second.position];
}

/// Refuses a job that the store or this process cannot hold. Returns whether it did.
bool refuseForSize(entry_state &entry, const caller_call &call, const answer_function &answer,
                   const cell::job_spec &spec, const cell::queue_policy &policy)
{
    if (!fitsJobRow(spec, policy)) {
        caller_answer reply;
        reply.kind = answer_kind::bad_request;
        reply.reason = "the job is larger than a row of the table service; give fewer steps or "
                       "shorter texts";
        answer(reply);
        return true;
    }
    if (!cell::hasMemoryFor(entry.leaderState->cell, spec)) {
        refuse(entry, call, answer, memoryRetryAfter,
               "the open jobs take all memory that is meant for them; retry later");
        return true;
    }
    return false;
}

void submit(entry_state &entry, const caller_call &call, timestamp deadline,
            const answer_function &answer)
{
    leader_state &leaderState = *entry.leaderState;
    const timestamp now = steadyNow();
    if (const cell::job_state *known = cell::findJob(leaderState.cell, call.job)) {
        if (answerIfForbidden(entry, call, known->spec.team, answer)) {
            return;
        }
        if (known->stored) {
            answerSimple(answer, answer_kind::accepted);
        } else {
            addWaiter(entry, call, deadline, answer);
        }
        return;
    }
    const cell::queue_policy *policy = findQueue(entry, call.queue);
    if (policy == nullptr) {
        answerSimple(answer, answer_kind::no_such_queue);
        return;
    }
    if (isStoreSlow(leaderState, now) || expectedStoredAt(leaderState, now) > deadline) {
        refuse(entry, call, answer, storeRetryAfter,
               "the table service is too slow to store the change before the caller's deadline; "
               "retry later");
        return;
    }
    cell::job_spec spec = call.spec;
    spec.id = call.job;
    spec.queue = call.queue;
    spec.team = call.team;
    if (refuseForSize(entry, call, answer, spec, *policy)) {
        return;
    }
    if (const auto refusal = cell::admitOrRefuse(leaderState.cell, spec, *policy, now)) {
        refuseForTeam(entry, call, answer, spec, *refusal);
        return;
    }
    cell::acceptJob(leaderState.cell, spec, *policy, now);
    cell::job_state *job = cell::findJob(leaderState.cell, call.job);
    const std::int64_t wall = wallNow();
    job->firstDueAt = now + (spec.firstDueWall - wall);
    leaderState.acceptedWall[call.job] = wall;
    logEvent(entry, "job_received",
             {{"job", call.job},
              {"queue", call.queue},
              {"team", call.team},
              {"steps", std::to_string(spec.steps.size())},
              {"widest_step", std::to_string(cell::widestStep(spec))},
              {"objective_ms", std::to_string((job->objectiveAt - now) / millisecond)},
              {"config", std::to_string(entry.config.version)},
              {"live_jobs", std::to_string(leaderState.cell.jobs.size())}});
    addWaiter(entry, call, deadline, answer);
    requestDecision(entry);
}

void cancel(entry_state &entry, const caller_call &call, timestamp deadline,
            const answer_function &answer)
{
    leader_state &leaderState = *entry.leaderState;
    const cell::job_state *known = cell::findJob(leaderState.cell, call.job);
    if (known == nullptr) {
        answerFromStore(entry, call, answer);
        return;
    }
    if (answerIfForbidden(entry, call, known->spec.team, answer)) {
        return;
    }
    if (known->finalStored) {
        answerSimple(answer, answer_kind::accepted);
        return;
    }
    cell::orders out;
    cell::cancelJob(leaderState.cell, call.job, steadyNow(), out);
    logEvent(entry, "job_cancelled", {{"job", call.job}});
    addWaiter(entry, call, deadline, answer);
    runOrders(entry, out);
    requestDecision(entry);
}

/// Handles a call whose key has been checked.
void handleAdmittedCall(entry_state &entry, const caller_call &call, timestamp deadline,
                        const answer_function &answer)
{
    switch (call.kind) {
    case call_kind::submit:
        submit(entry, call, deadline, answer);
        return;
    case call_kind::cancel:
        cancel(entry, call, deadline, answer);
        return;
    case call_kind::pending: {
        caller_answer reply;
        reply.kind = answer_kind::pending;
        reply.pending = cell::countPendingJobs(entry.leaderState->cell, call.queue);
        answer(reply);
        return;
    }
    case call_kind::state:
        break;
    }
    const cell::job_state *known = cell::findJob(entry.leaderState->cell, call.job);
    if (known != nullptr && answerIfForbidden(entry, call, known->spec.team, answer)) {
        return;
    }
    if (known != nullptr && known->stored) {
        answerPhase(answer, cell::visiblePhase(*known));
    } else {
        answerFromStore(entry, call, answer);
    }
}

} // namespace

void handleCall(entry_state &entry, const caller_call &call, timestamp deadline,
                const answer_function &answer)
{
    if (!entry.leaderState) {
        answerSimple(answer, answer_kind::not_scheduler);
        return;
    }
    if (entry.role == entry_role::loading) {
        if (entry.leaderState->deferredCalls.size() >= maxDeferredCalls) {
            refuse(entry, call, answer, storeRetryAfter,
                   "too many calls are queued while the scheduler loads its rows; retry later");
            return;
        }
        entry.leaderState->deferredCalls.emplace_back(
            [&entry, call, deadline, answer] { handleCall(entry, call, deadline, answer); });
        return;
    }
    if (!needsSchedulerCheck(entry, call)) {
        handleAdmittedCall(entry, call, deadline, answer);
    } else if (const auto admitted = admitAtScheduler(entry, call, deadline, answer)) {
        handleAdmittedCall(entry, *admitted, deadline, answer);
    }
}

} // namespace bramleygrade::entry
