#pragma once

#include "core/entry_state.h"

/// \file
/// Operators' requests: forwarded to the entry that decides on them, whose answer is returned to
/// the operator by the entry that received the request.

namespace bramleygrade {

/// Refuses an invalid request; otherwise executes it, or forwards it to the owner of the shard that
/// decides on it.
void handleOperatorRequest(entry_state &state, const operator_request &request,
                           step_context &context);

/// Executes a request that a peer has forwarded. Invalid requests, and `drain`, are ignored.
void handleForwardedOperation(entry_state &state, const std::string &from,
                              const forward_operation &forward, step_context &context);

/// Passes the deciding entry's answer on to the operator; ignored if the request is not pending.
void handleOperationAnswer(entry_state &state, const operation_answer &result,
                           step_context &context);

/// Refuses a request whose forwarding message has certainly not reached the peer.
void handleUndeliveredOperation(entry_state &state, const forward_operation &forward,
                                step_context &context);

/// Answers forwarded requests past their response deadline with an unknown outcome.
void expireForwardedOperations(entry_state &state, step_context &context);

} // namespace bramleygrade
