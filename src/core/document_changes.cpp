#include <algorithm>

#include "core/documents.h"
#include "core/table_rows.h"

namespace bramleygrade {

namespace {

void answerApply(const pending_apply &apply, operator_outcome outcome, std::string text,
                 std::uint64_t sequence, const cell_state &cell, step_context &context)
{
    answerOperation(apply.origin, outcome, std::move(text), sequence, cell, context);
}

std::string unknownOutcomeText(const std::string &service)
{
    return "it is not known whether the change is in force; check with `bramleygrade get " + service
        + "` and apply again if it is not";
}

/// The document in force here and the wanted one, as JSON on one line.
std::string describeDifference(const document_state &state, const service_document &wanted)
{
    const auto found = state.documents.find(wanted.service);
    const std::string current =
        found == state.documents.end() ? "none" : toJson(*found->second.row.document);
    return "current: " + current + " wanted: " + toJson(wanted);
}

void writeDocument(document_state &state, const authority_state &authority,
                   operation_tracker &operations, step_context &context)
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
    state.unsettledHeadVersion = state.headVersion;
    ++state.unsettledWrites;
    startOperation(operations, std::move(write), context);
}

/// Gives the head row a new version, so that no earlier write can take effect any more.
void fenceWrites(document_state &state, operation_tracker &operations, step_context &context)
{
    table_operation write;
    write.purpose = operation_purpose::applyDocument;
    addCondition(write.request, documentHeadKey, state.headVersion);
    addWrite(write.request, documentHeadKey, state.head);
    startOperation(operations, std::move(write), context);
}

/// Answers and removes the first change of the queue if its expected version is not the current
/// one: accepts it where it is already in force, and refuses it otherwise. Returns whether it did
/// so.
bool resolveFirstWithoutWrite(document_state &state, const cell_state &cell, step_context &context)
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
                "the document has changed: version " + std::to_string(current)
                    + " is in force, but the change expects " + std::to_string(apply.expected)
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
    operation_answer forwarded;
    forwarded.number = origin.handle;
    forwarded.outcome = std::make_unique<answer_operator>(std::move(result));
    sendToPeer(context, cell.identity, origin.peer, std::move(forwarded));
}

void enqueueApply(document_state &state, const authority_state &authority, const cell_state &cell,
                  pending_apply apply, step_context &context)
{
    const std::string rejection = validateDocument(apply.document, cell);
    if (!rejection.empty()) {
        answerApply(apply, operator_outcome::refused, rejection, 0, cell, context);
        return;
    }
    apply.answerBy = context.now + operationTimeout;
    const bool isOwner = isOwnerOfDocuments(authority, cell, context.now);
    if (!isOwner || state.queue.size() >= applyQueueLimit) {
        answerApply(apply, operator_outcome::refused,
                    "this entry does not own the documents, or its queue of changes is full; "
                    "apply again in 5 s",
                    0, cell, context);
        return;
    }
    state.queue.push_back(std::move(apply));
}

void processApplyQueue(document_state &state, const authority_state &authority,
                       const cell_state &cell, operation_tracker &operations, step_context &context)
{
    if (isAnyOperationPending(operations, operation_purpose::applyDocument)) {
        return;
    }
    const bool isOwner = isOwnerOfDocuments(authority, cell, context.now);
    while (!state.queue.empty()) {
        const pending_apply &apply = state.queue.front();
        const bool hasUnsettledWrite = state.unsettledWrites > 0;
        if (!isOwner || context.now >= apply.answerBy) {
            answerApply(apply,
                        hasUnsettledWrite ? operator_outcome::unknown : operator_outcome::refused,
                        hasUnsettledWrite
                            ? unknownOutcomeText(apply.document.service)
                            : "the change was not written before its deadline, or this entry does "
                              "not own the documents any more; apply again",
                        0, cell, context);
            state.queue.pop_front();
            continue;
        }
        const bool isHeadCurrent = state.isLoaded && context.now - cell.tableReachedAt < second * 2;
        if (isHeadCurrent && !hasUnsettledWrite && resolveFirstWithoutWrite(state, cell, context)) {
            continue;
        }
        if (isHeadCurrent) {
            writeDocument(state, authority, operations, context);
        }
        return;
    }
    if (isOwner && state.unsettledWrites > 0 && context.now - cell.tableReachedAt < 2 * second) {
        fenceWrites(state, operations, context);
    }
}

void handleApplyResult(document_state &state, const cell_state &cell,
                       const table_operation &operation, const table_result &result,
                       step_context &context)
{
    if (result.outcome == table_outcome::not_applied) {
        state.unsettledWrites = std::max(0, state.unsettledWrites - 1);
        return;
    }
    if (result.outcome == table_outcome::unknown) {
        return; // Stays unsettled: the transaction is sent again, and the next result settles it.
    }
    const std::uint64_t before = state.headVersion;
    updateDocuments(state, result.rows, false, operation.askedAt);
    if (state.headVersion == before && result.outcome == table_outcome::conflict) {
        // The row of the documents shard has changed: this entry is not the owner any more.
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
