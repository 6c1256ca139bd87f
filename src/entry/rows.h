#pragma once

#include <map>
#include <optional>
#include <string>

#include "cell/job_state.h"
#include "cell/scheduler.h"
#include "entry/ports.h"

/// \file
/// The rows in which the cell keeps what must last, and the messages between entries: JSON.

namespace bramleygrade::entry {

constexpr char headTable[] = "cell";
constexpr char headKey[] = "head";
constexpr char membersKey[] = "members";
constexpr char workersKey[] = "workers";
constexpr char jobTable[] = "jobs";
constexpr char progressTable[] = "progress";
constexpr char endedTable[] = "ended";

/// The row that every write of the scheduler depends on and renews. Whoever has renewed it last
/// is the scheduler; its sequence tells a lost answer from a lost write.
struct head_row
{
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
    std::string scheduler;
    std::string address;
    /// Tells two lives of the same instance apart.
    std::string incarnation;
};

std::string encodeHead(const head_row &head);
std::optional<head_row> decodeHead(const std::string &value);

/// What never changes of an accepted job. `acceptedWall`: time of day, microseconds since 1970.
std::string encodeJob(const cell::job_state &job, std::int64_t acceptedWall);
/// Returns nothing if the value cannot be read.
std::optional<cell::job_state> decodeJob(const std::string &id, const std::string &value,
                                         std::int64_t &acceptedWall);

/// Whether there is progress that a successor must know.
bool needsProgressRow(const cell::job_state &job);
/// Which tasks are done or have failed, and their newest checkpoints.
std::string encodeProgress(const cell::job_state &job);
bool decodeProgress(const std::string &value, cell::job_state &job);

/// Stands in the table of ended jobs and, until its rows are removed, in place of the job's row.
struct ended_row
{
    cell::job_phase phase = cell::job_phase::completed;
    /// Time of day, microseconds since 1970.
    std::int64_t endedWall = 0;
};

std::string encodeEnded(const ended_row &row);
std::optional<ended_row> decodeEnded(const std::string &value);

// Messages between entries.

/// A caller's call as one entry sends it to another.
struct call_message
{
    caller_call call;
    /// How long the sender waits for the answer.
    microseconds wait = 0;
};

std::string encodeCall(const call_message &message);
std::optional<call_message> decodeCall(const std::string &text);
std::string encodeAnswer(const caller_answer &answer);
std::optional<caller_answer> decodeAnswer(const std::string &text);
std::string encodeAdviceOrder(const cell::advice_order &order);
std::optional<cell::advice_order> decodeAdviceOrder(const std::string &text);
std::string encodeAdviceResult(const advice_result &result);
std::optional<advice_result> decodeAdviceResult(const std::string &text);

struct member
{
    std::string name;
    std::string address;
    /// Share of a processor, thousandths; 0: not known.
    std::int64_t processorMilli = 0;
};

/// The workers in use: what a successor needs to ask each what runs there.
std::string encodeWorkers(const std::map<std::string, cell::worker_state> &workers);
std::vector<cell::worker_entry> decodeWorkers(const std::string &value);

/// Peer addresses of the entries by name, for a scheduler that has just started.
std::string encodeMembers(const std::map<std::string, std::string> &members);
std::vector<member> decodeMembers(const std::string &value);

/// The scheduler's sign of life, with what entries answer callers from.
struct heartbeat_message
{
    std::int64_t epoch = 0;
    member sender;
    std::vector<member> members;
    std::vector<std::pair<std::string, std::int64_t>> pending;
};

std::string encodeHeartbeat(const heartbeat_message &beat);
std::optional<heartbeat_message> decodeHeartbeat(const std::string &text);

/// An entry's word about itself: who it is and whose sign of life it heard last.
struct member_status
{
    member sender;
    std::int64_t epoch = 0;
    /// Age of the newest sign of life, microseconds; -1: none yet.
    microseconds schedulerSeenAgo = -1;
    bool isScheduler = false;
    /// A claim of the head row is under way.
    bool isClaiming = false;
    /// In a request to take over: version of the head row, which its sender leaves alone
    /// meanwhile; 0: not known.
    std::int64_t headVersion = 0;
};

std::string encodeMemberStatus(const member_status &word);
std::optional<member_status> decodeMemberStatus(const std::string &text);

} // namespace bramleygrade::entry
