#include "core/documents.h"

#include <algorithm>
#include <string_view>

#include "core/invariant.h"
#include "core/table_rows.h"

namespace bramleygrade {

namespace {

/// Documents that one freshness_grant carries at most.
constexpr std::size_t grantedDocumentLimit = 16;
constexpr std::size_t nameLengthLimit = 128;

void install(document_state &state, const document_row &row, std::uint64_t version)
{
    document_view &view = state.documents[row.document->service];
    BRAMLEYGRADE_INVARIANT(row.sequence >= view.row.sequence,
                           "a document went back to an older version; keep the newest one");
    view.row = row;
    view.rowVersion = std::max(view.rowVersion, version);
}

void answerApply(const pending_apply &apply, operator_outcome outcome, std::string text,
                 std::uint64_t sequence, const cell_state &cell, step_context &context)
{
    answerOperation(apply.origin, outcome, std::move(text), sequence, cell, context);
}

std::string settleAdvice(const std::string &service)
{
    return "the change may be in force or not; `bramleygrade get " + service
        + "` shows which, then apply again if need be";
}

/// True where `rows` hold every document that has changed between the head in force and `head`.
bool coversChanges(const document_state &state, const document_head &head,
                   const std::vector<std::unique_ptr<table_row>> &rows)
{
    const std::uint64_t missed = head.sequence - state.head.sequence;
    if (missed > head.recent_services.size()) {
        return false;
    }
    for (std::uint64_t index = 0; index < missed; ++index) {
        if (findRow(rows, documentKey(head.recent_services[index])) == nullptr) {
            return false;
        }
    }
    return true;
}

std::uint64_t sequenceOf(const document_state &state, const std::string &service)
{
    const auto found = state.documents.find(service);
    return found == state.documents.end() ? 0 : found->second.row.sequence;
}

/// Fields that differ, as `field: current -> wanted` lines.
std::string describeDifference(const document_state &state, const service_document &wanted)
{
    const auto found = state.documents.find(wanted.service);
    const std::string current =
        found == state.documents.end() ? "none" : toJson(*found->second.row.document);
    return "current: " + current + " wanted: " + toJson(wanted);
}

bool isOwnerOfDocuments(const authority_state &authority, const cell_state &cell, timestamp now)
{
    return holdsAuthority(authority, cell.identity, documentShard, now);
}

/// The owner is the only writer, so that from its first reading on it knows the newest version, as
/// long as none of its writes is unsettled.
bool knowsNewest(const document_state &state, const authority_state &authority,
                 const cell_state &cell, timestamp now)
{
    return isOwnerOfDocuments(authority, cell, now) && state.unsettledWrites == 0
        && state.confirmedAt >= authority.shards.at(documentShard).ownedSince;
}

void writeDocument(document_state &state, const authority_state &authority,
                   operation_table &operations, step_context &context)
{
    const pending_apply &apply = state.queue.front();
    const std::string &service = apply.document.service;
    table_operation write;
    write.purpose = operation_purpose::applyDocument;
    write.subject = service;
    document_row row;
    row.sequence = state.head.sequence + 1;
    row.document = std::make_unique<service_document>(apply.document);
    document_head head = state.head;
    head.sequence = row.sequence;
    head.recent_services.insert(head.recent_services.begin(), service);
    head.recent_services.resize(std::min(head.recent_services.size(), recentChangeCount));
    const auto known = state.documents.find(service);
    const std::uint64_t version = known == state.documents.end() ? 0 : known->second.rowVersion;
    addCondition(write.request, shardKey(documentShard),
                 authority.shards.at(documentShard).rowVersion);
    addCondition(write.request, documentHeadKey, state.headVersion);
    addCondition(write.request, documentKey(service), version);
    addWrite(write.request, documentKey(service), row);
    addWrite(write.request, documentHeadKey, head);
    state.writtenOnHead = state.headVersion;
    ++state.unsettledWrites;
    startOperation(operations, std::move(write), context);
}

/// Gives the head a new version, so that no earlier write can take effect any more.
void fenceWrites(document_state &state, operation_table &operations, step_context &context)
{
    table_operation write;
    write.purpose = operation_purpose::applyDocument;
    addCondition(write.request, documentHeadKey, state.headVersion);
    addWrite(write.request, documentHeadKey, state.head);
    startOperation(operations, std::move(write), context);
}

/// Ends the first change of the queue where it cannot be written as asked.
bool refuseFirst(document_state &state, const cell_state &cell, step_context &context)
{
    const pending_apply &apply = state.queue.front();
    const std::uint64_t current = sequenceOf(state, apply.document.service);
    if (apply.expected == current) {
        return false;
    }
    const service_document *inForce = findDocument(state, apply.document.service);
    if (inForce != nullptr && *inForce == apply.document) {
        answerApply(apply, operator_outcome::accepted, "already in force", current, cell, context);
        state.queue.pop_front();
        return true;
    }
    answerApply(apply, operator_outcome::refused,
                "the document has changed meanwhile: version " + std::to_string(current)
                    + " is in force, you expected " + std::to_string(apply.expected)
                    + "; merge and apply again. " + describeDifference(state, apply.document),
                current, cell, context);
    state.queue.pop_front();
    return true;
}

} // namespace

void answerOperation(const operation_origin &origin, operator_outcome outcome, std::string text,
                     std::uint64_t sequence, const cell_state &cell, step_context &context)
{
    answer_operator result;
    result.handle = origin.handle;
    result.outcome = outcome;
    result.text = std::move(text);
    result.sequence = sequence;
    if (origin.peer.empty()) {
        emit(context, std::move(result));
        return;
    }
    operation_answer passed;
    passed.number = origin.handle;
    passed.outcome = std::make_unique<answer_operator>(std::move(result));
    sendToPeer(context, cell.identity, origin.peer, std::move(passed));
}

bool areDocumentsFresh(const document_state &state, timestamp now)
{
    return state.isLoaded && now < state.freshUntil;
}

const service_document *findDocument(const document_state &state, const std::string &service)
{
    const auto found = state.documents.find(service);
    return found == state.documents.end() ? nullptr : found->second.row.document.get();
}

std::string explainRejection(const service_document &document, const cell_state &cell)
{
    if (document.service.empty() || document.service.size() > nameLengthLimit) {
        return "service: a name of 1 to 128 characters is needed";
    }
    if (document.service.find_first_of("/# \t\n") != std::string::npos) {
        return "service: the name must not hold '/', '#' or white space";
    }
    if (document.team.empty()) {
        return "team: name the team that owns the service";
    }
    if (document.allowed_domains.empty()) {
        return "allowed_domains: name at least one failure domain; data stays where you choose";
    }
    if (document.request_timeout_ms <= 0 || document.request_timeout_ms > 60'000) {
        return "request_timeout_ms: must be between 1 and 60000";
    }
    if (document.stop_grace_ms < 0 || document.quota_cpu_millis < 0 || document.quota_memory_mb < 0
        || document.quota_accelerators < 0) {
        return "stop_grace_ms and quotas: must not be negative";
    }
    const bool isListed =
        std::any_of(cell.instances.begin(), cell.instances.end(), [&document](const auto &item) {
            const auto &domains = document.allowed_domains;
            return !item.second.rack.empty()
                && std::find(domains.begin(), domains.end(), item.second.failure_domain)
                != domains.end();
        });
    if (!cell.instances.empty() && !isListed) {
        return "allowed_domains: no worker of the platform's list is in any of these domains";
    }
    return {};
}

void noteDocumentRows(document_state &state, const std::vector<std::unique_ptr<table_row>> &rows,
                      bool isComplete, timestamp askedAt)
{
    const table_row *headRow = findRow(rows, documentHeadKey);
    document_head head;
    if (headRow != nullptr) {
        const auto parsed = parseJson<document_head>(headRow->value);
        if (!parsed) {
            return;
        }
        head = *parsed;
    }
    if (head.sequence < state.head.sequence || (!isComplete && !state.isLoaded)) {
        return; // A late answer; what is in force is newer.
    }
    if (!isComplete && !coversChanges(state, head, rows)) {
        return; // More has changed since the reading was asked for; the next poll asks for it.
    }
    const std::string_view prefix = documentPrefix;
    for (const auto &row : rows) {
        const bool isDocument = row->key.compare(0, prefix.size(), prefix) == 0;
        const auto value =
            isDocument ? parseJson<document_row>(row->value) : tl::make_unexpected(codec_error {});
        if (value && value->document != nullptr) {
            install(state, *value, row->version);
        }
    }
    if (headRow != nullptr && headRow->version > state.writtenOnHead) {
        state.unsettledWrites = 0;
    }
    state.head = head;
    state.headVersion = headRow == nullptr ? 0 : headRow->version;
    state.isLoaded = true;
    state.confirmedAt = std::max(state.confirmedAt, askedAt);
    state.freshUntil = std::max(state.freshUntil, askedAt + shortenedByClockError(documentSpan));
}

void requestDocuments(const document_state &state, const document_head &newest,
                      table_request &request)
{
    request.reads.emplace_back(documentHeadKey);
    const std::uint64_t missed = newest.sequence - std::min(newest.sequence, state.head.sequence);
    if (!state.isLoaded || missed > newest.recent_services.size()) {
        request.prefixes.emplace_back(documentPrefix);
        return;
    }
    for (std::uint64_t index = 0; index < missed; ++index) {
        request.reads.push_back(documentKey(newest.recent_services[index]));
    }
}

void noteDocumentsUnchanged(document_state &state, timestamp askedAt)
{
    state.confirmedAt = std::max(state.confirmedAt, askedAt);
    state.freshUntil = std::max(state.freshUntil, askedAt + shortenedByClockError(documentSpan));
}

void askForFreshness(document_state &state, const authority_state &authority,
                     const cell_state &cell, step_context &context)
{
    const bool isTableFresh = context.now - cell.tableReachedAt < 2 * pollInterval;
    if (!state.isLoaded || isTableFresh || context.now < state.nextAskAt) {
        return;
    }
    state.nextAskAt = context.now + freshnessAskInterval;
    const auto shard = authority.shards.find(documentShard);
    if (shard == authority.shards.end()) {
        return;
    }
    if (knowsNewest(state, authority, cell, context.now)) {
        state.freshUntil = std::max(state.freshUntil, context.now + documentSpan);
        return;
    }
    if (shard->second.row.owner == cell.identity) {
        return;
    }
    freshness_ask ask;
    ask.asked_at = context.now;
    ask.sequence = state.head.sequence;
    sendToPeer(context, cell.identity, shard->second.row.owner, ask);
}

void answerFreshnessAsk(const document_state &state, const authority_state &authority,
                        const cell_state &cell, const std::string &from, const freshness_ask &ask,
                        step_context &context)
{
    if (!knowsNewest(state, authority, cell, context.now)) {
        return;
    }
    freshness_grant grant;
    grant.asked_at = ask.asked_at;
    grant.sequence = state.head.sequence;
    for (const auto &[service, view] : state.documents) {
        if (view.row.sequence > ask.sequence) {
            grant.documents.push_back(std::make_unique<document_row>(view.row));
        }
    }
    if (grant.documents.size() > grantedDocumentLimit) {
        return;
    }
    sendToPeer(context, cell.identity, from, std::move(grant));
}

void noteFreshness(document_state &state, const freshness_grant &grant)
{
    if (!state.isLoaded || grant.sequence < state.head.sequence) {
        return;
    }
    for (const auto &row : grant.documents) {
        if (row->document != nullptr
            && row->sequence >= sequenceOf(state, row->document->service)) {
            install(state, *row, 0);
        }
    }
    state.head.sequence = grant.sequence;
    state.freshUntil =
        std::max(state.freshUntil, grant.asked_at + shortenedByClockError(documentSpan));
}

void startApply(document_state &state, const authority_state &authority, const cell_state &cell,
                pending_apply apply, step_context &context)
{
    const std::string rejection = explainRejection(apply.document, cell);
    if (!rejection.empty()) {
        answerApply(apply, operator_outcome::refused, rejection, 0, cell, context);
        return;
    }
    apply.answerBy = context.now + applyAnswerLimit;
    const bool isOwner = isOwnerOfDocuments(authority, cell, context.now);
    if (!isOwner || state.queue.size() >= applyQueueLimit) {
        answerApply(apply, operator_outcome::refused,
                    "no entry may write documents at the moment; apply again in 5 s", 0, cell,
                    context);
        return;
    }
    state.queue.push_back(std::move(apply));
}

void tendApplies(document_state &state, const authority_state &authority, const cell_state &cell,
                 operation_table &operations, step_context &context)
{
    if (isAnyUnderway(operations, operation_purpose::applyDocument)) {
        return;
    }
    const bool isOwner = isOwnerOfDocuments(authority, cell, context.now);
    while (!state.queue.empty()) {
        const pending_apply &apply = state.queue.front();
        const bool isTried = state.unsettledWrites > 0;
        if (!isOwner || context.now >= apply.answerBy) {
            answerApply(apply, isTried ? operator_outcome::unknown : operator_outcome::refused,
                        isTried ? settleAdvice(apply.document.service)
                                : "the change was not written in time; apply again",
                        0, cell, context);
            state.queue.pop_front();
            continue;
        }
        const bool isHeadKnown = state.isLoaded && context.now - cell.tableReachedAt < second * 2;
        if (isHeadKnown && !isTried && refuseFirst(state, cell, context)) {
            continue;
        }
        if (isHeadKnown) {
            writeDocument(state, authority, operations, context);
        }
        return;
    }
    if (isOwner && state.unsettledWrites > 0 && context.now - cell.tableReachedAt < 2 * second) {
        fenceWrites(state, operations, context);
    }
}

void noteApplyWrite(document_state &state, const cell_state &cell, const table_operation &operation,
                    const table_result &result, step_context &context)
{
    if (result.outcome == table_outcome::not_applied) {
        state.unsettledWrites = std::max(0, state.unsettledWrites - 1);
        return;
    }
    if (result.outcome == table_outcome::unknown) {
        return; // Stays unsettled: the same transaction is sent again and settles it.
    }
    const std::uint64_t before = state.headVersion;
    noteDocumentRows(state, result.rows, false, operation.askedAt);
    if (state.headVersion == before && result.outcome == table_outcome::conflict) {
        // The row of the shard has changed: this entry is the owner no longer.
        state.unsettledWrites = 0;
    }
    if (state.queue.empty() || state.queue.front().document.service != operation.subject) {
        return;
    }
    const auto view = state.documents.find(operation.subject);
    const bool isInForce = view != state.documents.end()
        && *view->second.row.document == state.queue.front().document
        && view->second.row.sequence > state.queue.front().expected;
    if (result.outcome == table_outcome::committed || isInForce) {
        answerApply(state.queue.front(), operator_outcome::accepted,
                    "in force in the whole cell within 5 s", view->second.row.sequence, cell,
                    context);
        state.queue.pop_front();
    }
}

} // namespace bramleygrade
