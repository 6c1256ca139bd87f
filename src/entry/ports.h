#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cell/scheduler.h"
#include "net/http_message.h"

/// \file
/// What an entry needs from the platform it runs on. A platform adapter fills these structs; the
/// entry itself knows no name of any platform. Every call ends exactly once, at its deadline at
/// the latest.

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

struct row_expectation
{
    std::string table;
    std::string key;
    std::int64_t version = 0;
};

/// An atomic change: it takes effect only if all expectations hold.
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
    history_dropped, ///< the changes asked for are not kept any more
    unanswered, ///< it may take effect, now or later
};

struct store_result
{
    store_outcome outcome = store_outcome::unanswered;
    std::vector<stored_row> rows;
    std::int64_t version = 0;
    bool hasMore = false;
};

using store_completion = std::function<void(store_result)>;

struct row_range
{
    std::string table;
    /// First key; the range ends before `until`, or with the table if that is empty.
    std::string from;
    std::string until;
    bool isOwnTable = true; ///< false: a table that the platform or the operator writes
};

struct store_port
{
    std::function<void(table_write, timestamp deadline, store_completion)> write;
    std::function<void(row_range, timestamp deadline, store_completion)> read;
    /// Changes of the table after a version, as soon as there are any.
    std::function<void(std::string table, std::int64_t after, microseconds wait, timestamp deadline,
                       store_completion)>
        watch;
};

struct worker_port
{
    std::function<void(const std::string &address, const cell::start_order &, timestamp deadline,
                       std::function<void(cell::order_outcome)>)>
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
    /// Worker and ticket.
    std::vector<std::pair<std::string, std::string>> allowed;
    microseconds validFor = 0;
};

using advice_function = std::function<void(const cell::advice_order &, timestamp deadline,
                                           std::function<void(advice_result)>)>;

enum class call_kind { submit, state, cancel, pending };

/// What a caller asks.
struct caller_call
{
    call_kind kind = call_kind::state;
    std::string queue;
    std::string job;
    cell::job_spec spec;
};

enum class answer_kind {
    accepted,
    state,
    pending,
    no_such_job,
    no_such_queue,
    bad_request,
    refused, ///< nothing was done and nothing will be; `retryAfter` says when to come back
    unknown, ///< it may have been done
    not_scheduler, ///< another entry decides; nothing was done
};

/// The answer to a call.
struct caller_answer
{
    answer_kind kind = answer_kind::unknown;
    cell::job_phase phase = cell::job_phase::queued;
    std::int64_t pending = 0;
    microseconds retryAfter = 0;
    std::string reason;
};

/// A caller's request, decoded: either a call or an answer that needs no decision.
struct decoded_request
{
    bool isCall = false;
    caller_call call;
    caller_answer answer;
    /// How long the caller waits.
    microseconds callTimeout = 0;
};

/// Translates between the platform's formats and the project's values.
struct platform_codec
{
    std::function<decoded_request(const net::http_request &, const cell::cell_config &)> decode;
    std::function<net::http_response(const caller_answer &)> encode;
    /// False: the row names no worker to use.
    std::function<bool(const stored_row &, cell::worker_entry &)> decodeWorker;
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
