#pragma once

#include "core/entry_state.h"

/// \file
/// Operators' requests: each goes to the entry that decides on it, and its answer comes back here.

namespace bramleygrade {

void handleOperatorRequest(entry_state &state, const operator_request &request,
                           step_context &context);

/// Takes a request that a peer has passed on.
void handleForwardedOperation(entry_state &state, const std::string &from,
                              const forward_operation &forward, step_context &context);
void handleOperationAnswer(entry_state &state, const operation_answer &result,
                           step_context &context);
void handleUndeliveredOperation(entry_state &state, const forward_operation &forward,
                                step_context &context);

/// Ends requests whose answer stays away.
void expireForwardedOperations(entry_state &state, step_context &context);

} // namespace bramleygrade
