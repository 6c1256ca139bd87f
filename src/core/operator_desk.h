#pragma once

#include "core/entry_state.h"

/// \file
/// Operators' requests: each goes to the entry that decides on it, and its answer comes back here.

namespace bramleygrade {

void takeOperatorRequest(entry_state &state, const operator_request &request,
                         step_context &context);

/// Takes a request that a peer has passed on.
void takeForwardedOperation(entry_state &state, const std::string &from,
                            const forward_operation &forward, step_context &context);
void noteOperationAnswer(entry_state &state, const operation_answer &result, step_context &context);
void noteOperationUndelivered(entry_state &state, const forward_operation &forward,
                              step_context &context);

/// Ends requests whose answer stays away.
void tendOperations(entry_state &state, step_context &context);

} // namespace bramleygrade
