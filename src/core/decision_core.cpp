#include "bramleygrade/decision_core.h"

#include <algorithm>

#include "core/entry_state.h"
#include "core/invariant.h"
#include "core/job_home.h"
#include "core/operator_requests.h"
#include "core/shard_claims.h"
#include "core/table_rows.h"
#include "core/table_sync.h"
#include "core/task_owner.h"
#include "core/worker_polling.h"

namespace bramleygrade {

namespace {

constexpr microseconds loadReportInterval = second;
/// Interval between load reports that list the spare capacity of shards; each listed shard adds one
/// second to it.
constexpr microseconds shardListInterval = 3 * second;

void addShardLoads(const entry_state &state, load_report &report, timestamp now)
{
    for (const auto &[shard, view] : state.authority.shards) {
        const bool isRack = shard.compare(0, 5, "rack-") == 0;
        if (isRack && holdsLease(state.authority, state.cell.identity, shard, now)) {
            report.shards.push_back(std::make_unique<shard_load>(computeShardLoad(state, shard)));
        }
    }
}

void sendLoadReports(entry_state &state, step_context &context)
{
    if (context.now < state.nextLoadReportAt) {
        return;
    }
    state.nextLoadReportAt = context.now + loadReportInterval;
    load_report report;
    request_environment environment = environmentOf(state);
    addServiceLoads(state.requests, environment, report, context.now);
    if (context.now >= state.nextShardListAt) {
        addShardLoads(state, report, context.now);
        // The more shards there are, the less often they are listed: answers to placements carry
        // newer loads.
        const auto shards = static_cast<microseconds>(report.shards.size());
        state.nextShardListAt = context.now + shardListInterval + shards * second;
    }
    // Jobs of this entry may be placed on its own shards too.
    recordLoadReport(state.requests, state.cell.identity, report, context.now);
    for (const auto &[name, member] : state.cell.members) {
        if (member.row.identity != state.cell.identity) {
            sendToPeer(context, state.cell.identity, member.row.identity, report);
        }
    }
}

/// Relinquishes all shards if the send time of a message lies more than `clockOffsetBound` ahead:
/// one of the two clocks violates its bound, so that no lease can be relied on.
void checkSenderClock(entry_state &state, const peer_message &message, timestamp now)
{
    if (message.sent_at > now + clockOffsetBound) {
        ++state.clockAlarms;
        relinquishAllShards(state.authority);
    }
}

void handleListUpdate(entry_state &state, const list_update &list, step_context &context)
{
    state.cell.listAskedAt = list.asked_at;
    if (list.is_unchanged) {
        state.cell.listReceivedAt = context.now;
        return;
    }
    updateInstanceList(state.cell, list, context.now);
    for (auto &[name, worker] : state.pool.workers) {
        if (state.cell.instances.count(name) == 0) {
            endAllTasks(state, worker, context); // A worker that is not listed cannot run anything.
        }
    }
    updateWorkers(state.pool, state.cell);
}

/// Handles a message between the home of a job and the owner of a worker.
void handleTaskMessage(entry_state &state, const peer_message &message, step_context &context)
{
    if (const auto *wanted = message.body.Asplace_task()) {
        handlePlaceTask(state, message.from, *wanted, context);
    } else if (const auto *report = message.body.Astask_report()) {
        handleTaskReport(state, message.from, *report, context);
    } else if (const auto *stop = message.body.Asstop_task()) {
        handleStopTask(state, *stop, context);
    } else if (const auto *find = message.body.Asfind_tasks()) {
        handleFindTasks(state, message.from, *find, context);
    } else if (const auto *found = message.body.Asfound_tasks()) {
        handleFoundTasks(state, *found, context);
    }
}

void handlePeerMessage(entry_state &state, const peer_message &message, step_context &context)
{
    if (message.to != state.cell.identity) {
        return; // Addressed to an earlier incarnation at this address.
    }
    checkSenderClock(state, message, context.now);
    state.cell.lastMessageAt[message.from] = context.now;
    const std::string &self = state.cell.identity;
    request_environment environment = environmentOf(state);
    if (const auto *ask = message.body.Aspromise_ask()) {
        handlePromiseAsk(state.authority, self, message.from, *ask, context);
    } else if (const auto *grant = message.body.Aspromise_grant()) {
        handlePromiseGrant(state.authority, self, message.from, *grant);
    } else if (const auto *freshnessAsk = message.body.Asfreshness_ask()) {
        handleFreshnessAsk(state.documents, state.authority, state.cell, message.from,
                           *freshnessAsk, context);
    } else if (const auto *freshness = message.body.Asfreshness_grant()) {
        handleFreshnessGrant(state.documents, *freshness);
    } else if (const auto *operation = message.body.Asforward_operation()) {
        handleForwardedOperation(state, message.from, *operation, context);
    } else if (const auto *decided = message.body.Asoperation_answer()) {
        handleOperationAnswer(state, *decided, context);
    } else if (const auto *load = message.body.Asload_report()) {
        recordLoadReport(state.requests, message.from, *load, context.now);
    } else if (const auto *forward = message.body.Asforward_request()) {
        handleForwardedRequest(state.requests, environment, message.from, *forward, context);
    } else if (const auto *answered = message.body.Asforward_answer()) {
        handleForwardAnswer(state.requests, environment, message.from, *answered, context);
    } else {
        handleTaskMessage(state, message, context);
    }
}

void handleUndelivered(entry_state &state, const undelivered &notice, step_context &context)
{
    if (notice.message == nullptr) {
        return;
    }
    if (!notice.may_have_arrived) {
        // No process listens at the peer's address: it gets no new work until a message from it
        // arrives.
        state.cell.lastMessageAt.erase(notice.message->to);
    }
    if (const auto *forward = notice.message->body.Asforward_request()) {
        request_environment environment = environmentOf(state);
        handleUndeliveredForward(state.requests, environment, *forward, notice.may_have_arrived,
                                 context);
    } else if (const auto *operation = notice.message->body.Asforward_operation()) {
        if (!notice.may_have_arrived) {
            handleUndeliveredOperation(state, *operation, context);
        }
    }
}

/// Erases the member row of a draining entry once it owns no shard and has no request in progress,
/// then emits `drained`.
void finishDraining(entry_state &state, step_context &context)
{
    const bool isDone = state.cell.isDraining && !state.isDrainReported
        && countOwnedShards(state.authority, state.cell.identity) == 0
        && state.requests.requests.empty() && state.requests.attempts.empty();
    if (!isDone) {
        return;
    }
    const member_view *own = findMember(state.cell, state.cell.identity);
    if (own != nullptr && !isAnyOperationPending(state.operations, operation_purpose::leave)) {
        table_operation leave;
        leave.purpose = operation_purpose::leave;
        addCondition(leave.request, memberKey(state.cell.name), own->rowVersion);
        addErase(leave.request, memberKey(state.cell.name));
        addWrite(leave.request, cellHeadKey, own->row);
        startOperation(state.operations, std::move(leave), context);
    } else if (own == nullptr) {
        state.isDrainReported = true;
        emit(context, drained {});
    }
}

void handleTick(entry_state &state, step_context &context)
{
    syncTable(state, context);
    joinCell(state.cell, state.operations, context);
    requestPromises(state.authority, state.cell.identity, context);
    reconcileShards(state.authority, state.cell, state.pool, state.operations, context);
    requestFreshness(state.documents, state.authority, state.cell, context);
    processApplyQueue(state.documents, state.authority, state.cell, state.operations, context);
    expireForwardedOperations(state, context);
    pollWorkers(state, context);
    expireTasks(state, context);
    maintainJobs(state, context);
    request_environment environment = environmentOf(state);
    tickRequests(state.requests, environment, context);
    sendLoadReports(state, context);
    eraseAbsentMembers(state.cell, state.operations, context);
    finishDraining(state, context);
}

} // namespace

decision_core::decision_core(const entry_identity &identity)
    : m_state(std::make_unique<entry_state>())
{
    m_state->cell.name = identity.name;
    m_state->cell.identity = identity.name + "#" + identity.incarnation;
    m_state->cell.failureDomain = identity.failureDomain;
    m_state->cell.host = identity.host;
    m_state->cell.peerPort = identity.peerPort;
    m_state->pool.random = identity.seed;
}

decision_core::~decision_core() = default;
decision_core::decision_core(decision_core &&other) noexcept = default;
decision_core &decision_core::operator=(decision_core &&other) noexcept = default;

std::vector<command> step(decision_core &core, const event &input, timestamp now)
{
    entry_state &state = core.state();
    BRAMLEYGRADE_INVARIANT(now >= state.lastStepAt,
                           "`now` decreased; pass times from a monotonic clock");
    if (now - state.lastStepAt > pauseThreshold) {
        state.cell.resumedAt = now;
    }
    state.lastStepAt = now;
    std::vector<command> commands;
    step_context context {now, commands};
    request_environment environment = environmentOf(state);
    if (std::holds_alternative<tick>(input)) {
        handleTick(state, context);
    } else if (const auto *result = std::get_if<table_result>(&input)) {
        handleTableResult(state, *result, context);
    } else if (const auto *list = std::get_if<list_update>(&input)) {
        handleListUpdate(state, *list, context);
    } else if (const auto *message = std::get_if<peer_message>(&input)) {
        handlePeerMessage(state, *message, context);
    } else if (const auto *notice = std::get_if<undelivered>(&input)) {
        handleUndelivered(state, *notice, context);
    } else if (const auto *request = std::get_if<caller_request>(&input)) {
        handleCallerRequest(state.requests, environment, *request, context);
    } else if (const auto *answered = std::get_if<endpoint_result>(&input)) {
        handleEndpointResult(state.requests, environment, *answered, context);
    } else if (const auto *worker = std::get_if<worker_result>(&input)) {
        handleWorkerResult(state, *worker, context);
    } else if (const auto *operatorRequest = std::get_if<operator_request>(&input)) {
        handleOperatorRequest(state, *operatorRequest, context);
    }
    // Handles the messages that this entry sends to itself where it is both home of a job and owner
    // of a worker.
    while (!state.loopbackMessages.empty()) {
        const peer_message message = std::move(state.loopbackMessages.front());
        state.loopbackMessages.pop_front();
        handleTaskMessage(state, message, context);
    }
    return commands;
}

bool holdsShardLease(const decision_core &core, const std::string &shard, timestamp now)
{
    const entry_state &state = core.state();
    return holdsLease(state.authority, state.cell.identity, shard, now);
}

const std::string &identityOf(const decision_core &core)
{
    return core.state().cell.identity;
}

} // namespace bramleygrade
