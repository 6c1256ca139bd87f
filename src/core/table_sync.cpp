#include "core/table_sync.h"

#include <string_view>

#include "core/job_home.h"
#include "core/shard_claims.h"
#include "core/table_rows.h"

namespace bramleygrade {

namespace {

std::uint64_t versionOf(const std::vector<std::unique_ptr<table_row>> &rows, const char *key)
{
    const table_row *row = findRow(rows, key);
    return row == nullptr ? 0 : row->version;
}

void sendPoll(entry_state &state, step_context &context)
{
    table_operation poll;
    poll.purpose = operation_purpose::poll;
    poll.request.reads = {cellHeadKey, documentHeadKey};
    startOperation(state.operations, std::move(poll), context);
    state.cell.nextPollAt = context.now + pollInterval;
}

void sendCellLoad(entry_state &state, step_context &context)
{
    table_operation load;
    load.purpose = operation_purpose::loadCell;
    load.request.reads = {cellHeadKey};
    load.request.prefixes = {memberPrefix, shardPrefix};
    startOperation(state.operations, std::move(load), context);
}

void sendDocumentLoad(entry_state &state, const document_head &newest, step_context &context)
{
    if (isAnyOperationPending(state.operations, operation_purpose::loadDocuments)) {
        return;
    }
    table_operation load;
    load.purpose = operation_purpose::loadDocuments;
    addDocumentReads(state.documents, newest, load.request);
    startOperation(state.operations, std::move(load), context);
}

void handlePollResult(entry_state &state, const table_operation &operation,
                      const table_result &result, step_context &context)
{
    const std::uint64_t cellVersion = versionOf(result.rows, cellHeadKey);
    if (state.cell.isLoaded && cellVersion == state.cell.headVersion) {
        confirmShardRows(state.authority, state.cell.identity, operation.askedAt);
    } else if (cellVersion > state.cell.headVersion || !state.cell.isLoaded) {
        state.cell.isReloadNeeded = true;
    }
    const std::uint64_t documentVersion = versionOf(result.rows, documentHeadKey);
    if (state.documents.isLoaded && documentVersion == state.documents.headVersion) {
        confirmDocuments(state.documents, operation.askedAt);
    } else if (documentVersion > state.documents.headVersion || !state.documents.isLoaded) {
        const table_row *row = findRow(result.rows, documentHeadKey);
        const auto head = row == nullptr
            ? document_head {}
            : parseJson<document_head>(row->value).value_or(document_head {});
        sendDocumentLoad(state, head, context);
    }
}

void handleCellLoadResult(entry_state &state, const table_operation &operation,
                          const table_result &result, step_context &context)
{
    const std::uint64_t version = versionOf(result.rows, cellHeadKey);
    if (state.cell.isLoaded && version < state.cell.headVersion) {
        return; // Late answer: a newer reading is known.
    }
    const std::string_view prefix = shardPrefix;
    for (const auto &row : result.rows) {
        if (row->key.compare(0, prefix.size(), prefix) != 0) {
            continue;
        }
        const auto value = parseJson<shard_row>(row->value);
        if (value) {
            updateShardRow(state.authority, state.cell.identity, row->key.substr(prefix.size()),
                           *value, row->version, operation.askedAt, context.now);
        }
    }
    updateMembers(state.cell, result.rows, context.now);
    state.cell.headVersion = version;
    state.cell.isLoaded = true;
}

void dispatchResult(entry_state &state, const table_operation &operation,
                    const table_result &result, step_context &context)
{
    const bool isRead = result.outcome == table_outcome::committed;
    switch (operation.purpose) {
    case operation_purpose::poll:
        if (isRead) {
            handlePollResult(state, operation, result, context);
        }
        return;
    case operation_purpose::loadCell:
        if (isRead) {
            handleCellLoadResult(state, operation, result, context);
        } else {
            state.cell.isReloadNeeded = true;
        }
        return;
    case operation_purpose::loadDocuments:
        if (isRead) {
            updateDocuments(state.documents, result.rows, !operation.request.prefixes.empty(),
                            operation.askedAt);
        }
        return;
    case operation_purpose::join:
    case operation_purpose::leave:
        state.cell.isReloadNeeded = true;
        return;
    case operation_purpose::claim:
    case operation_purpose::changeRow:
        handleShardWriteResult(state.authority, state.cell, operation, result, context);
        return;
    case operation_purpose::applyDocument:
        handleApplyResult(state.documents, state.cell, operation, result, context);
        return;
    case operation_purpose::submitJob:
        handleSubmitWriteResult(state, operation, result, context);
        return;
    case operation_purpose::updateJob:
        handleJobWriteResult(state, result, context);
        return;
    case operation_purpose::loadJobs:
        handleJobsLoaded(state, operation, result, context);
        return;
    }
}

void expireOperations(entry_state &state, step_context &context)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[number, operation] : state.operations.unanswered) {
        if (operation.responseDeadline <= context.now) {
            expired.push_back(number);
        }
    }
    for (const std::uint64_t number : expired) {
        table_result lost;
        lost.operation = number;
        lost.outcome = table_outcome::unknown;
        handleTableResult(state, lost, context);
    }
}

} // namespace

void syncTable(entry_state &state, step_context &context)
{
    expireOperations(state, context);
    if (context.now >= state.cell.nextPollAt) {
        sendPoll(state, context);
    }
    if (state.cell.isReloadNeeded
        && !isAnyOperationPending(state.operations, operation_purpose::loadCell)) {
        state.cell.isReloadNeeded = false;
        sendCellLoad(state, context);
    }
}

void handleTableResult(entry_state &state, const table_result &result, step_context &context)
{
    const auto found = state.operations.unanswered.find(result.operation);
    if (found == state.operations.unanswered.end()) {
        return;
    }
    const table_operation operation = std::move(found->second);
    state.operations.unanswered.erase(found);
    const bool isAnswered =
        result.outcome == table_outcome::committed || result.outcome == table_outcome::conflict;
    if (isAnswered) {
        state.cell.tableReachedAt = std::max(state.cell.tableReachedAt, operation.askedAt);
    }
    dispatchResult(state, operation, result, context);
}

} // namespace bramleygrade
