#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/authority.h"
#include "core/cell_view.h"

/// \file
/// Service documents: which version is in force here, and until when that may be relied on.
///
/// Only the owner of the `documents` shard writes documents, in a transaction that depends on the
/// row of that shard, on the head and on the document. Every entry may use its documents until
/// `documentFreshnessPeriod` after it last learned, from the table or from that owner, that they
/// are the newest. An entry that cannot learn this starts no new work, so that an accepted change
/// governs the cell at most `documentFreshnessPeriod` later.

namespace bramleygrade {

constexpr microseconds documentFreshnessPeriod = 5 * second;
constexpr microseconds freshnessAskInterval = second;
/// Changes that the head row lists by name; an entry that missed more reads all documents.
constexpr std::size_t recentChangeCount = 32;
/// Applies that may wait for their turn at the owner.
constexpr std::size_t applyQueueLimit = 64;
constexpr microseconds operationTimeout = 8 * second;

struct document_view
{
    document_row row;
    std::uint64_t rowVersion = 0;
};

/// Who waits for the answer to an operator's request: an operator here, or a peer that passed the
/// request on under its number `handle`.
struct operation_origin
{
    std::uint64_t handle = 0;
    std::string peer;
};

/// Brings the answer to whoever waits.
void answerOperation(const operation_origin &origin, operator_outcome outcome, std::string text,
                     std::uint64_t sequence, const cell_state &cell, step_context &context);

/// A change that an operator asked for, at the owner of the documents.
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
    /// The newest reading of the head in the table.
    timestamp confirmedAt = distantPast;
    timestamp nextFreshnessAskAt = 0;
    /// At the owner: the first one is being written.
    std::deque<pending_apply> queue;
    /// Writes that may still take effect; all depend on head version `unsettledHeadVersion`.
    int unsettledWrites = 0;
    std::uint64_t unsettledHeadVersion = 0;
};

bool areDocumentsFresh(const document_state &state, timestamp now);

/// Version of the service's document that is in force here; 0 where there is none.
std::uint64_t sequenceOf(const document_state &state, const std::string &service);

bool isOwnerOfDocuments(const authority_state &authority, const cell_state &cell, timestamp now);

const service_document *findDocument(const document_state &state, const std::string &service);

/// Says what is wrong with a document, or nothing.
std::string validateDocument(const service_document &document, const cell_state &cell);

/// Takes in rows that were read in one transaction asked at `askedAt`.
void updateDocuments(document_state &state, const std::vector<std::unique_ptr<table_row>> &rows,
                     bool isComplete, timestamp askedAt);

/// Adds to `request` what is needed to catch up with head `sequence`.
void addDocumentReads(const document_state &state, const document_head &newest,
                      table_request &request);

/// The table has confirmed the head that is in force here.
void confirmDocuments(document_state &state, timestamp askedAt);

/// Asks the owner for freshness where the table has not given it lately.
void requestFreshness(document_state &state, const authority_state &authority,
                      const cell_state &cell, step_context &context);
void handleFreshnessAsk(const document_state &state, const authority_state &authority,
                        const cell_state &cell, const std::string &from, const freshness_ask &ask,
                        step_context &context);
void handleFreshnessGrant(document_state &state, const freshness_grant &grant);

/// Takes an operator's change at the owner of the documents.
void enqueueApply(document_state &state, const authority_state &authority, const cell_state &cell,
                  pending_apply apply, step_context &context);

/// Writes the first change of the queue, and ends those that have waited too long.
void processApplyQueue(document_state &state, const authority_state &authority,
                       const cell_state &cell, operation_tracker &operations,
                       step_context &context);
void handleApplyResult(document_state &state, const cell_state &cell,
                       const table_operation &operation, const table_result &result,
                       step_context &context);

} // namespace bramleygrade
