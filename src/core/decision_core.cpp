#include "bramleygrade/decision_core.h"

#include <algorithm>

#include "core/entry_state.h"
#include "core/invariant.h"
#include "core/shard_claims.h"
#include "core/table_rows.h"
#include "core/table_sync.h"
#include "core/worker_watch.h"

namespace bramleygrade {

namespace {

constexpr microseconds loadReportInterval = second;
/// Every so many load reports also lists the spare capacity of the shards.
constexpr int reportsPerShardList = 4;

void sendLoadReports(entry_state &state, step_context &context)
{
    if (context.now < state.nextLoadReportAt) {
        return;
    }
    state.nextLoadReportAt = context.now + loadReportInterval;
    load_report report;
    request_environment environment = environmentOf(state);
    reportSlots(state.requests, environment, report, context.now);
    ++state.loadReportsSent;
    for (const auto &[name, member] : state.cell.members) {
        if (member.row.identity != state.cell.identity) {
            sendToPeer(context, state.cell.identity, member.row.identity, report);
        }
    }
}

/// A message from the future shows that a clock breaks its bound; then nobody here may act on time.
void checkClock(entry_state &state, const peer_message &message, timestamp now)
{
    if (message.sent_at > now + clockOffsetBound) {
        ++state.clockAlarms;
        giveUpEverything(state.authority);
    }
}

void takePeerMessage(entry_state &state, const peer_message &message, step_context &context)
{
    if (message.to != state.cell.identity) {
        return; // Meant for an earlier incarnation at this address.
    }
    checkClock(state, message, context.now);
    state.cell.heardAt[message.from] = context.now;
    const std::string &self = state.cell.identity;
    request_environment environment = environmentOf(state);
    if (const auto *ask = message.body.Aspromise_ask()) {
        answerPromiseAsk(state.authority, self, message.from, *ask, context);
    } else if (const auto *grant = message.body.Aspromise_grant()) {
        notePromise(state.authority, self, message.from, *grant);
    } else if (const auto *freshnessAsk = message.body.Asfreshness_ask()) {
        answerFreshnessAsk(state.documents, state.authority, state.cell, message.from,
                           *freshnessAsk, context);
    } else if (const auto *freshness = message.body.Asfreshness_grant()) {
        noteFreshness(state.documents, *freshness);
    } else if (const auto *apply = message.body.Asforward_apply()) {
        pending_apply pending;
        pending.handle = apply->number;
        pending.peer = message.from;
        pending.document = apply->document ? *apply->document : service_document {};
        pending.expected = apply->expected;
        startApply(state.documents, state.authority, state.cell, std::move(pending), context);
    } else if (const auto *applied = message.body.Asapply_answer()) {
        noteApplyAnswer(state.documents, *applied, context);
    } else if (const auto *load = message.body.Asload_report()) {
        noteLoad(state.requests, message.from, *load, context.now);
    } else if (const auto *forward = message.body.Asforward_request()) {
        takeForwardedRequest(state.requests, environment, message.from, *forward, context);
    } else if (const auto *answered = message.body.Asforward_answer()) {
        noteForwardAnswer(state.requests, environment, message.from, *answered, context);
    }
}

void takeUndelivered(entry_state &state, const undelivered &notice, step_context &context)
{
    if (notice.message == nullptr) {
        return;
    }
    if (const auto *forward = notice.message->body.Asforward_request()) {
        request_environment environment = environmentOf(state);
        noteForwardUndelivered(state.requests, environment, *forward, context);
    }
}

void answerText(std::uint64_t handle, operator_outcome outcome, std::string text,
                std::uint64_t sequence, step_context &context)
{
    answer_operator result;
    result.handle = handle;
    result.outcome = outcome;
    result.text = std::move(text);
    result.sequence = sequence;
    emit(context, std::move(result));
}

void takeOperatorRequest(entry_state &state, const operator_request &request, step_context &context)
{
    switch (request.action) {
    case operator_action::apply: {
        pending_apply pending;
        pending.handle = request.handle;
        pending.document = request.document ? *request.document : service_document {};
        pending.expected = request.expected;
        startApply(state.documents, state.authority, state.cell, std::move(pending), context);
        return;
    }
    case operator_action::get: {
        const std::string service = request.names.empty() ? std::string() : request.names.front();
        const auto found = state.documents.documents.find(service);
        if (found == state.documents.documents.end()) {
            answerText(request.handle, operator_outcome::refused,
                       "no document of this service is in force here; check the name", 0, context);
            return;
        }
        answerText(request.handle, operator_outcome::accepted, toJson(*found->second.row.document),
                   found->second.row.sequence, context);
        return;
    }
    case operator_action::drain:
        state.cell.isDraining = true;
        answerText(request.handle, operator_outcome::accepted,
                   std::to_string(countOwnedShards(state.authority, state.cell.identity))
                       + " shards to hand over, " + std::to_string(state.requests.requests.size())
                       + " requests in progress",
                   0, context);
        return;
    default:
        answerText(request.handle, operator_outcome::refused, "not known to this version", 0,
                   context);
        return;
    }
}

/// A draining entry leaves once it owns no shard and no request is in progress.
void finishDraining(entry_state &state, step_context &context)
{
    const bool isDone = state.cell.isDraining && !state.isDrainReported
        && countOwnedShards(state.authority, state.cell.identity) == 0
        && state.requests.requests.empty() && state.requests.attempts.empty();
    if (!isDone) {
        return;
    }
    const member_view *own = findMember(state.cell, state.cell.identity);
    if (own != nullptr && !isAnyUnderway(state.operations, operation_purpose::leave)) {
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

void passTime(entry_state &state, step_context &context)
{
    tendTable(state, context);
    joinCell(state.cell, state.operations, context);
    askForPromises(state.authority, state.cell.identity, context);
    tendShards(state.authority, state.cell, state.operations, context);
    askForFreshness(state.documents, state.authority, state.cell, context);
    tendApplies(state.documents, state.authority, state.cell, state.operations, context);
    pollWorkers(state, context);
    request_environment environment = environmentOf(state);
    tendRequests(state.requests, environment, context);
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
    BRAMLEYGRADE_INVARIANT(now >= state.newestNow,
                           "time went back; feed the core from a clock that never does");
    state.newestNow = now;
    std::vector<command> commands;
    step_context context {now, commands};
    request_environment environment = environmentOf(state);
    if (std::holds_alternative<tick>(input)) {
        passTime(state, context);
    } else if (const auto *result = std::get_if<table_result>(&input)) {
        noteTableResult(state, *result, context);
    } else if (const auto *list = std::get_if<list_update>(&input)) {
        noteList(state.cell, *list, now);
        noteInstances(state.pool, state.cell);
    } else if (const auto *message = std::get_if<peer_message>(&input)) {
        takePeerMessage(state, *message, context);
    } else if (const auto *notice = std::get_if<undelivered>(&input)) {
        takeUndelivered(state, *notice, context);
    } else if (const auto *request = std::get_if<caller_request>(&input)) {
        takeCallerRequest(state.requests, environment, *request, context);
    } else if (const auto *answered = std::get_if<endpoint_result>(&input)) {
        noteEndpointResult(state.requests, environment, *answered, context);
    } else if (const auto *worker = std::get_if<worker_result>(&input)) {
        noteWorkerResult(state, *worker, context);
    } else if (const auto *wish = std::get_if<operator_request>(&input)) {
        takeOperatorRequest(state, *wish, context);
    }
    return commands;
}

bool isActingFor(const decision_core &core, const std::string &shard, timestamp now)
{
    const entry_state &state = core.state();
    return holdsAuthority(state.authority, state.cell.identity, shard, now);
}

const std::string &identityOf(const decision_core &core)
{
    return core.state().cell.identity;
}

} // namespace bramleygrade
