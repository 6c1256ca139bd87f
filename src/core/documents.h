#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/authority.h"
#include "core/cell_view.h"

/// \file
/// Service documents: which version is in force here, and until when it may be used.
///
/// Only the owner of the `documents` shard writes documents, in a transaction that depends on the
/// row of that shard, on the head and on the document. Every entry may use its documents until
/// `documentFreshnessPeriod` after the table or that owner last confirmed that they are the newest.
/// An entry without such a confirmation starts no new work, so that an accepted change is
/// in force in the whole cell at most `documentFreshnessPeriod` later.

namespace bramleygrade {

/// How long documents may be used after they were last confirmed to be the newest.
constexpr microseconds documentFreshnessPeriod = 5 * second;
constexpr microseconds freshnessAskInterval = second;
/// Number of recent changes whose services the head row lists; an entry that missed more changes
/// reads all documents.
constexpr std::size_t recentChangeCount = 32;
/// Maximum number of changes queued at the owner.
constexpr std::size_t applyQueueLimit = 64;
/// Time limit for the answer to a change or a job that an operator sends.
constexpr microseconds operationTimeout = 8 * second;

struct document_view
{
    document_row row;
    std::uint64_t rowVersion = 0;
};

/// Where the answer to an operator's request goes: to an operator of this entry, or to the `peer`
/// that forwarded the request under its number `handle`.
struct operation_origin
{
    std::uint64_t handle = 0;
    std::string peer;
};

/// Sends the answer to the origin of the request.
void answerOperation(const operation_origin &origin, operator_outcome outcome, std::string text,
                     std::uint64_t sequence, const cell_state &cell, step_context &context);

/// A change requested by an operator, in the queue of the owner of the documents.
struct pending_apply
{
    operation_origin origin;
    service_document document;
    std::uint64_t expected = 0;
    timestamp answerBy = 0;
};

struct document_state
{
    std::map<std::string, document_view> documents;
    document_head head;
    std::uint64_t headVersion = 0;
    bool isLoaded = false;
    timestamp freshUntil = distantPast;
    /// When the newest confirmed reading of the head was asked for.
    timestamp confirmedAt = distantPast;
    timestamp nextFreshnessAskAt = 0;
    /// Changes in order of arrival, at the owner; the first one is being written.
    std::deque<pending_apply> queue;
    /// Writes that may still take effect; all depend on version `unsettledHeadVersion` of the head.
    int unsettledWrites = 0;
    std::uint64_t unsettledHeadVersion = 0;
};

/// True while the documents here may be used to start new work.
bool areDocumentsFresh(const document_state &state, timestamp now);

/// Sequence of the service's document that is in force here; 0 where there is none.
std::uint64_t sequenceOf(const document_state &state, const std::string &service);

bool isOwnerOfDocuments(const authority_state &authority, const cell_state &cell, timestamp now);

/// The service's document that is in force here, or null.
const service_document *findDocument(const document_state &state, const std::string &service);

/// Returns why a document is invalid, or an empty text.
std::string validateDocument(const service_document &document, const cell_state &cell);

/// Applies rows that were read in one transaction asked at `askedAt`; `isComplete` says that they
/// hold all documents. Ignores late readings, and partial ones that lack a change.
void updateDocuments(document_state &state, const std::vector<std::unique_ptr<table_row>> &rows,
                     bool isComplete, timestamp askedAt);

/// Adds to `request` the reads needed to catch up with the head `newest`.
void addDocumentReads(const document_state &state, const document_head &newest,
                      table_request &request);

/// Extends freshness: the table has confirmed, as of `askedAt`, the head that is in force here.
void confirmDocuments(document_state &state, timestamp askedAt);

/// Asks the owner to confirm the documents if the table has not been reached for two poll
/// intervals; the owner extends its own freshness instead.
void requestFreshness(document_state &state, const authority_state &authority,
                      const cell_state &cell, step_context &context);
/// Answers only while this entry owns the documents and is certain to know the newest ones.
void handleFreshnessAsk(const document_state &state, const authority_state &authority,
                        const cell_state &cell, const std::string &from, const freshness_ask &ask,
                        step_context &context);
void handleFreshnessGrant(document_state &state, const freshness_grant &grant);

/// Queues an operator's change at the owner of the documents; refuses it if it is invalid, the
/// queue is full or this entry is not the owner.
void enqueueApply(document_state &state, const authority_state &authority, const cell_state &cell,
                  pending_apply apply, step_context &context);

/// Writes the first change of the queue, and answers those that have reached their deadline.
void processApplyQueue(document_state &state, const authority_state &authority,
                       const cell_state &cell, operation_tracker &operations,
                       step_context &context);
/// Processes the result of an `applyDocument` transaction.
void handleApplyResult(document_state &state, const cell_state &cell,
                       const table_operation &operation, const table_result &result,
                       step_context &context);

} // namespace bramleygrade
