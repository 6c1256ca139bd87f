#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cell/scheduler.h"
#include "net/http_message.h"

/// \file
/// Interface between an entry and the platform that it runs on. A platform adapter fills these
/// structs; the entry itself depends on no particular platform. Every call completes exactly once,
/// at its deadline, or the end of its limits, at the latest.

namespace bramleygrade::entry {

/// One row of the table service. Version 0 means that the row does not exist.
struct stored_row
{
    std::string table;
    std::string key;
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
};

/// A row and the version that it must have.
struct row_expectation
{
    std::string table;
    std::string key;
    std::int64_t version = 0;
};

/// An atomic write, which takes effect only if all expectations hold.
struct table_write
{
    std::vector<row_expectation> expected;
    std::vector<stored_row> puts;
    std::vector<row_expectation> removals;
};

enum class store_outcome {
    done,
    conflict, ///< an expectation does not hold; `rows` has the current rows
    refused, ///< nothing was done
    history_dropped, ///< the requested changes are no longer kept
    unanswered, ///< no answer; the call may take effect, now or later
    rejected, ///< nothing was done, and the same call would be rejected again
};

struct store_result
{
    store_outcome outcome = store_outcome::unanswered;
    std::vector<stored_row> rows;
    std::int64_t version = 0;
    bool hasMore = false;
    /// Bytes of the answer that have arrived, also if the rest has not.
    std::size_t receivedBytes = 0;
};

using store_completion = std::function<void(store_result)>;

struct row_range
{
    std::string table;
    /// First key. The range ends before `until`, or at the end of the table if `until` is empty.
    std::string from;
    std::string until;
    bool isOwnTable = true; ///< false for a table that the platform or the operator writes
};

/// Until when a read may last.
struct read_limits
{
    /// When it ends if no part of the answer has arrived.
    timestamp answerBy = distantFuture;
    /// When it ends at the latest while the answer is arriving, if that is after `answerBy`.
    timestamp completeBy = distantPast;
    /// Called for each part of an incomplete answer, with the bytes so far. May be empty.
    std::function<void(std::size_t)> onPart = nullptr;
};

struct store_port
{
    std::function<void(table_write, timestamp deadline, store_completion)> write;
    std::function<void(row_range, read_limits, store_completion)> read;
    /// Long poll for changes of the table after version `after`; completes as soon as there are
    /// any, or after `wait`.
    std::function<void(std::string table, std::int64_t after, microseconds wait, read_limits,
                       store_completion)>
        watch;
};

struct worker_port
{
    /// `workerClock`: the worker's steady clock in its answer, microseconds; 0 if there is none.
    std::function<void(const std::string &address, const cell::start_order &, timestamp deadline,
                       std::function<void(cell::order_outcome, std::int64_t workerClock)>)>
        start;
    std::function<void(const std::string &address, const cell::stop_order &, timestamp deadline,
                       std::function<void(cell::order_outcome)>)>
        stop;
    std::function<void(const std::string &address, const cell::poll_order &, timestamp deadline,
                       std::function<void(cell::order_outcome, cell::worker_report)>)>
        poll;
};

struct advice_result
{
    bool answered = false;
    /// Pairs of worker and ticket.
    std::vector<std::pair<std::string, std::string>> allowed;
    /// How long the advice may be used.
    microseconds validFor = 0;
};

using advice_function = std::function<void(const cell::advice_order &, timestamp deadline,
                                           std::function<void(advice_result)>)>;

enum class call_kind { submit, state, cancel, pending };

/// A call of a caller, independent of the platform's format.
struct caller_call
{
    call_kind kind = call_kind::state;
    std::string queue;
    std::string job;
    cell::job_spec spec;
    /// Team to which `key` belongs; empty on queues that need no key.
    std::string team;
    std::string key;
    /// Version of the configuration by which an entry admitted the call.
    std::int64_t configVersion = 0;
};

enum class answer_kind {
    accepted,
    state,
    pending,
    no_such_job,
    no_such_queue,
    bad_request,
    unauthenticated, ///< the queue needs a key, and the call has none that is valid
    forbidden, ///< the job belongs to another team
    refused, ///< nothing was done or will be; the caller may retry after `retryAfter`
    unknown, ///< the call may have taken effect
    not_scheduler, ///< this entry is not the scheduler; nothing was done
};

/// The answer to a call; `kind` determines which of the other fields are used.
struct caller_answer
{
    answer_kind kind = answer_kind::unknown;
    cell::job_phase phase = cell::job_phase::queued;
    std::int64_t pending = 0;
    microseconds retryAfter = 0;
    std::string reason;
};

/// A decoded request of a caller: either a call, or the answer if no decision is needed. Once a
/// queue matches, `call.queue` and `call.key` are filled in both cases.
struct decoded_request
{
    bool isCall = false;
    caller_call call;
    caller_answer answer;
    /// How long the caller waits for the answer; 0 if the request does not say.
    microseconds callTimeout = 0;
    /// Why the request carries no key; empty if it carries one.
    std::string keyProblem;
};

/// Converts between the platform's formats and the types of the entry.
struct platform_codec
{
    std::function<decoded_request(const net::http_request &, const cell::cell_config &)> decode;
    std::function<net::http_response(const caller_answer &)> encode;
    /// Returns false if the row names no usable worker.
    std::function<bool(const stored_row &, cell::worker_entry &)> decodeWorker;
    /// Returns false if the row is not a readable configuration.
    std::function<bool(const stored_row &, cell::cell_config &)> decodeConfig;
    std::string workerTable;
    std::string configTable;
    std::string configKey;
};

struct platform_ports
{
    store_port store;
    worker_port workers;
    advice_function advice;
    platform_codec codec;
};

} // namespace bramleygrade::entry
