#pragma once

#include <optional>

#include "entry/entry.h"

/// \file
/// Checks callers' keys at the entry that receives a call and again at the scheduler, and the teams
/// of jobs.

namespace bramleygrade::entry {

/// Returns the index of the configuration in force.
const caller_keys &currentKeys(entry_state &entry);

/// Checks a caller's request of a known queue and fills team and configuration version of its call.
/// Returns the answer if the call is not admitted.
std::optional<caller_answer> admitCaller(entry_state &entry, decoded_request &decoded);

/// Checks a call again if another configuration admitted it. Returns the answer if the
/// configuration in force does not admit it. Only for calls that cannot have taken effect.
std::optional<caller_answer> recheckCall(entry_state &entry, caller_call &call);

/// Returns whether the scheduler has to check the call with `admitAtScheduler`.
bool needsSchedulerCheck(const entry_state &entry, const caller_call &call);

/// Checks a call at the scheduler. Returns the call if it is to be handled now; otherwise it has
/// been answered, or is held until the scheduler has the configuration that admitted it.
std::optional<caller_call> admitAtScheduler(entry_state &entry, const caller_call &call,
                                            timestamp deadline, const answer_function &answer);

/// Handles the held calls again, after a change of the configuration or of the entry's role.
void retryHeldCalls(entry_state &entry);
/// Refuses held calls whose deadline has come, and reads the configuration for the others.
void monitorHeldCalls(entry_state &entry, timestamp now);

/// Answers the call if the job belongs to another team. Returns whether it has.
bool answerIfForbidden(entry_state &entry, const caller_call &call, const std::string &jobTeam,
                       const answer_function &answer);

/// Returns the age of the configuration's confirmation in ms; empty if there is none.
std::string formatConfigAge(const entry_state &entry);

/// Follows the adoption of a configuration: indexes and checks its teams, and applies it to the
/// calls that wait.
void onConfigAdopted(entry_state &entry, const stored_row &row);

} // namespace bramleygrade::entry
