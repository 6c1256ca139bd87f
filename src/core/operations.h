#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/context.h"

/// \file
/// Transactions that were sent to the table service and have not been answered.

namespace bramleygrade {

/// What a transaction is for. `poll` checks the table for changes of the cell and the documents.
enum class operation_purpose {
    poll,
    loadCell,
    loadDocuments,
    join,
    leave,
    claim,
    changeRow,
    applyDocument,
    submitJob,
    loadJobs,
    updateJob
};

/// A transaction with the table service.
struct table_operation
{
    operation_purpose purpose = operation_purpose::poll;
    timestamp askedAt = 0;
    /// Without an answer by this time, the outcome counts as unknown.
    timestamp responseDeadline = 0;
    /// Shard, service or job that the transaction is about.
    std::string subject;
    /// Handle of the operator who waits for the answer, or 0.
    std::uint64_t handle = 0;
    table_request request;
};

/// Transactions that have not been answered, by number.
struct operation_tracker
{
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, table_operation> unanswered;
};

/// Time from sending a transaction to its `responseDeadline`.
constexpr microseconds tableResponseTimeout = 3 * second;

/// Emits the transaction and records it as unanswered. Returns its number, which the result of the
/// transaction carries.
inline std::uint64_t startOperation(operation_tracker &operations, table_operation operation,
                                    step_context &context)
{
    const std::uint64_t number = operations.nextNumber++;
    table_command tableCommand;
    tableCommand.operation = number;
    tableCommand.request = std::make_unique<table_request>(operation.request);
    operation.askedAt = context.now;
    operation.responseDeadline = context.now + tableResponseTimeout;
    operations.unanswered.emplace(number, std::move(operation));
    emit(context, std::move(tableCommand));
    return number;
}

/// Returns true if a transaction with this purpose and subject has not been answered.
inline bool isOperationPending(const operation_tracker &operations, operation_purpose purpose,
                               const std::string &subject = {})
{
    for (const auto &[number, operation] : operations.unanswered) {
        if (operation.purpose == purpose && operation.subject == subject) {
            return true;
        }
    }
    return false;
}

/// Returns true if a transaction with this purpose, on any subject, has not been answered.
inline bool isAnyOperationPending(const operation_tracker &operations, operation_purpose purpose)
{
    for (const auto &[number, operation] : operations.unanswered) {
        if (operation.purpose == purpose) {
            return true;
        }
    }
    return false;
}

} // namespace bramleygrade
