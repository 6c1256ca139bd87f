#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <variant>

#include "decision_generated.h"
#include "settings_generated.h"

/// \file
/// Aliases for the types generated from the schema, and the units of time. All values are plain
/// aggregates with `==`. Times are points in time, in microseconds on the local clock of the
/// process that reads them; in messages between entries they are on the clock of the sender.
/// Durations have their unit in their name.

namespace bramleygrade {

/// Point in time: microseconds since the Unix epoch, on the local clock of the process.
using timestamp = std::int64_t;
/// Duration in microseconds. Deadlines are stored as `timestamp`, not as durations.
using microseconds = std::int64_t;

constexpr microseconds millisecond = 1'000;
constexpr microseconds second = 1'000'000;
constexpr timestamp distantPast = std::numeric_limits<timestamp>::min() / 4;
constexpr timestamp distantFuture = std::numeric_limits<timestamp>::max() / 4;

using service_document = wire::service_document_value;
using job_specification = wire::job_specification_value;
using placement_policy = wire::placement_policy;

using table_row = wire::table_row_value;
using row_condition = wire::row_condition_value;
using row_write = wire::row_write_value;
using table_request = wire::table_request_value;
using table_response = wire::table_response_value;
using instance = wire::instance_value;
using instance_list = wire::instance_list_value;
using instance_state = wire::instance_state;
using shard_row = wire::shard_row_value;
using member_row = wire::member_row_value;
using document_head = wire::document_head_value;
using document_row = wire::document_row_value;
using job_row = wire::job_row_value;
using job_phase = wire::job_phase;
using worker_task = wire::worker_task_value;
using worker_report = wire::worker_report_value;
using task_phase = wire::task_phase;
using task_order = wire::task_order_value;

using answer = wire::answer_value;
using outcome = wire::outcome;
using promise_ask = wire::promise_ask_value;
using promise_grant = wire::promise_grant_value;
using shard_epoch = wire::shard_epoch_value;
using freshness_ask = wire::freshness_ask_value;
using freshness_grant = wire::freshness_grant_value;
using forward_operation = wire::forward_operation_value;
using operation_answer = wire::operation_answer_value;
using load_report = wire::load_report_value;
using service_load = wire::service_load_value;
using shard_load = wire::shard_load_value;
using forward_request = wire::forward_request_value;
using forward_answer = wire::forward_answer_value;
using place_task = wire::place_task_value;
using placement_step = wire::placement_step;
using placement_result = wire::placement_result;
using task_report = wire::task_report_value;
using stop_task = wire::stop_task_value;
using find_tasks = wire::find_tasks_value;
using found_tasks = wire::found_tasks_value;
using peer_message = wire::peer_message_value;
using peer_batch = wire::peer_batch_value;

using tick = wire::tick_value;
using table_result = wire::table_result_value;
using table_outcome = wire::table_outcome;
using list_update = wire::list_update_value;
using caller_request = wire::caller_request_value;
using endpoint_result = wire::endpoint_result_value;
using endpoint_outcome = wire::endpoint_outcome;
using worker_result = wire::worker_result_value;
using worker_call_kind = wire::worker_call_kind;
using operator_request = wire::operator_request_value;
using operator_action = wire::operator_action;
using operator_outcome = wire::operator_outcome;
using undelivered = wire::undelivered_value;

using table_command = wire::table_command_value;
using answer_caller = wire::answer_caller_value;
using dispatch_request = wire::dispatch_request_value;
using worker_call = wire::worker_call_value;
using answer_operator = wire::answer_operator_value;
using drained = wire::drained_value;

using entry_settings = wire::entry_settings_value;

/// Input of the decision core.
using event = std::variant<tick, table_result, list_update, peer_message, undelivered,
                           caller_request, endpoint_result, worker_result, operator_request>;
/// Output of the decision core: an action that the caller of step() executes.
using command = std::variant<table_command, peer_message, answer_caller, dispatch_request,
                             worker_call, answer_operator, drained>;

} // namespace bramleygrade
