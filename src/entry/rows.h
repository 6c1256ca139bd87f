#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/jobs/job_state.h"
#include "cell/scheduler.h"
#include "entry/ports.h"

/// \file
/// Encodes and decodes the rows of the cell's persistent state and the messages between entries.
/// Both are JSON. The decoders return nothing, or an empty list, if the text cannot be read.

namespace bramleygrade::entry {

constexpr char headTable[] = "cell";
constexpr char headKey[] = "head";
constexpr char membersKey[] = "members";
constexpr char workersKey[] = "workers";
constexpr char jobTable[] = "jobs";
constexpr char progressTable[] = "progress";
constexpr char endedTable[] = "ended";
/// Limit of a row; the users' table service refuses a write with a row of more than 65,536 bytes,
/// and with it the changes of all other jobs in that write.
constexpr std::size_t maxRowBytes = 65'536;

/// The row that elects the scheduler. Every write of the scheduler expects its version and rewrites
/// it, so that a write fails once another entry has claimed the row. After an unanswered write its
/// sequence shows whether the write took effect.
struct head_row
{
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
    std::string scheduler;
    std::string address;
    /// Differs between two processes of the same instance.
    std::string incarnation;
};

std::string encodeHead(const head_row &head);
std::optional<head_row> decodeHead(const std::string &value);

/// Returns whether the step at position `index` waits only for earlier steps, so that there are no
/// cycles, and whether its count and resources are within their limits.
bool isValidStep(const cell::step_spec &step, int index);

/// Encodes the immutable part of an accepted job. `acceptedWall`: wall-clock time of acceptance,
/// microseconds since 1970.
std::string encodeJob(const cell::job_state &job, std::int64_t acceptedWall);
/// Whether the job's row is within the store's limit.
bool fitsJobRow(const cell::job_spec &spec, const cell::queue_policy &policy);
/// Returns nothing if the value cannot be read; `acceptedWall` is then left unchanged.
std::optional<cell::job_state> decodeJob(const std::string &id, const std::string &value,
                                         std::int64_t &acceptedWall);

/// Returns true if the job has progress that a later scheduler needs.
bool needsProgressRow(const cell::job_state &job);
/// Largest number of rows of a job's progress. With the bounds of `open_occurrences.h`, what a
/// successor must know of a job takes fewer, so that one write can hold it.
constexpr std::size_t maxProgressRows = 12;

/// The rows of a job's progress, one at least, all within `maxRowBytes`.
struct encoded_progress
{
    std::vector<std::string> rows;
    /// Checkpoints for which there is no room; their tasks would begin anew after a takeover.
    std::size_t checkpointsLeftOut = 0;
    /// Other facts for which there is no room.
    std::size_t itemsLeftOut = 0;
};

/// Encodes whether the job has begun, which tasks are done, the failed attempts of the others, and
/// their newest checkpoints. All rows must be stored by one write.
encoded_progress encodeProgress(const cell::job_state &job);
/// Returns the number of rows, which the first one tells.
std::size_t progressRowCount(const std::string &first);
/// Key of the row at position `index`; that of the first one is the job's id.
std::string progressRowKey(const std::string &job, std::size_t index);
/// Adds the progress to the job; returns false if a row cannot be read.
bool decodeProgress(const std::vector<std::string> &rows, cell::job_state &job);
/// The same for one of the rows.
bool decodeProgress(const std::string &value, cell::job_state &job);
/// Whether the encoded progress shows that a task of the job has begun.
bool showsBegin(const std::string &value);

/// Tombstone of an ended job. It is stored in `endedTable`, or in place of the job's row in
/// `jobTable` until a later write moves it.
struct ended_row
{
    cell::job_phase phase = cell::job_phase::completed;
    /// Wall-clock time, microseconds since 1970.
    std::int64_t endedWall = 0;
    /// As `job_spec::team`.
    std::string team;
};

std::string encodeEnded(const ended_row &row);
std::optional<ended_row> decodeEnded(const std::string &value);

/// Returns the team in the row of an accepted or ended job; empty if the job has none.
std::string decodeJobTeam(const std::string &value);

// Messages between entries.

/// A caller's call, forwarded from one entry to another.
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

/// An entry of the cell.
struct member
{
    std::string name;
    std::string address;
    /// Processor share in thousandths of a processor; 0: not known.
    std::int64_t processorMilli = 0;
};

/// Encodes id, address, service, start time and largest capacity of the workers in one row of the
/// stored list, so that a later scheduler can ask each what runs there.
std::string encodeWorkerRow(const std::map<std::string, cell::worker_state> &workers,
                            std::size_t index);
std::vector<cell::worker_entry> decodeWorkers(const std::string &value);
/// Key of the row at position `index`.
std::string workersRowKey(std::size_t index);
/// Returns the position of the row; nothing if the key is not one of such a row.
std::optional<std::size_t> workersRowIndex(const std::string &key);

/// Encodes the entries' peer addresses by name, for an entry that has just started.
std::string encodeMembers(const std::map<std::string, std::string> &members);
std::vector<member> decodeMembers(const std::string &value);

/// The scheduler's heartbeat. From `pending`, followers answer callers.
struct heartbeat_message
{
    std::int64_t epoch = 0;
    member sender;
    std::vector<member> members;
    /// Number of pending jobs of the queues that have any.
    std::vector<std::pair<std::string, std::int64_t>> pending;
    /// Version of the configuration of which all queues were counted; 0 if this heartbeat carries
    /// no numbers.
    std::int64_t pendingVersion = 0;
    /// Version of the scheduler's configuration; 0 if it requires no keys.
    std::int64_t configVersion = 0;
};

std::string encodeHeartbeat(const heartbeat_message &heartbeat);
std::optional<heartbeat_message> decodeHeartbeat(const std::string &text);

/// An entry's own status: its name and address, its role, and when it last saw the scheduler alive.
struct member_status
{
    member sender;
    std::int64_t epoch = 0;
    /// Time since the scheduler was last seen alive, microseconds; -1: never.
    microseconds schedulerSeenAgo = -1;
    bool isScheduler = false;
    /// A claim of the head row is under way.
    bool isClaiming = false;
    /// In a handover request: version of the head row, which the sender does not rewrite until the
    /// request is answered; 0: not known.
    std::int64_t headVersion = 0;
};

/// An entry's question whether its configuration is the newest.
struct confirm_query
{
    std::string sender;
    std::int64_t version = 0;
    /// Whether the answer shall have the row. A row can be large, so one entry at a time is asked.
    bool wantsRow = false;
};

std::string encodeConfirmQuery(const confirm_query &query);
std::optional<confirm_query> decodeConfirmQuery(const std::string &text);

/// The answer: the version of the peer's configuration, and the row if it is wanted and newer than
/// that of the query. A peer that sends many rows may leave it out.
struct confirm_reply
{
    std::int64_t version = 0;
    /// Time since the peer's configuration was the newest in the store, microseconds; -1: never.
    microseconds age = -1;
    std::string row;
    std::int64_t rowVersion = 0;
    /// Kept while the row is being sent; not part of the message.
    std::shared_ptr<void> whileServed = nullptr;
};

std::string encodeConfirmReply(const confirm_reply &reply);
std::optional<confirm_reply> decodeConfirmReply(const std::string &text);

std::string encodeMemberStatus(const member_status &memberStatus);
std::optional<member_status> decodeMemberStatus(const std::string &text);

} // namespace bramleygrade::entry
