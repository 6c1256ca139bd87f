#include "core/documents.h"

#include <algorithm>
#include <string_view>

#include "core/invariant.h"
#include "core/table_rows.h"

namespace bramleygrade {

namespace {

/// Maximum number of documents in one freshness_grant.
constexpr std::size_t grantedDocumentLimit = 16;
constexpr std::size_t nameLengthLimit = 128;

void installDocument(document_state &state, const document_row &row, std::uint64_t version)
{
    document_view &view = state.documents[row.document->service];
    BRAMLEYGRADE_INVARIANT(row.sequence >= view.row.sequence,
                           "the sequence of a document decreased; keep its newest version");
    view.row = row;
    view.rowVersion = std::max(view.rowVersion, version);
}

/// True where `rows` hold every document that has changed between the head in force and `head`.
bool coversChanges(const document_state &state, const document_head &head,
                   const std::vector<std::unique_ptr<table_row>> &rows)
{
    const std::uint64_t missed = head.sequence - state.head.sequence;
    if (missed > head.recent_services.size()) {
        return false;
    }
    for (std::uint64_t index = 0; index < missed; ++index) {
        if (findRow(rows, documentKey(head.recent_services[index])) == nullptr) {
            return false;
        }
    }
    return true;
}

/// True where this entry is certain to know the newest documents: the owner is the only writer, so
/// that it knows them from its first reading as owner on, while none of its writes is unsettled.
bool knowsNewestDocuments(const document_state &state, const authority_state &authority,
                          const cell_state &cell, timestamp now)
{
    return isOwnerOfDocuments(authority, cell, now) && state.unsettledWrites == 0
        && state.confirmedAt >= authority.shards.at(documentShard).ownedSince;
}

} // namespace

bool isOwnerOfDocuments(const authority_state &authority, const cell_state &cell, timestamp now)
{
    return holdsLease(authority, cell.identity, documentShard, now);
}

std::uint64_t sequenceOf(const document_state &state, const std::string &service)
{
    const auto found = state.documents.find(service);
    return found == state.documents.end() ? 0 : found->second.row.sequence;
}

bool areDocumentsFresh(const document_state &state, timestamp now)
{
    return state.isLoaded && now < state.freshUntil;
}

const service_document *findDocument(const document_state &state, const std::string &service)
{
    const auto found = state.documents.find(service);
    return found == state.documents.end() ? nullptr : found->second.row.document.get();
}

std::string validateDocument(const service_document &document, const cell_state &cell)
{
    if (document.service.empty() || document.service.size() > nameLengthLimit) {
        return "service: the name must have 1 to 128 characters";
    }
    if (document.service.find_first_of("/# \t\n") != std::string::npos) {
        return "service: the name must not contain '/', '#' or white space";
    }
    if (document.team.empty()) {
        return "team: name the team that owns the service";
    }
    if (document.allowed_domains.empty()) {
        return "allowed_domains: name at least one failure domain; data stays in the domains named";
    }
    if (document.request_timeout_ms <= 0 || document.request_timeout_ms > 60'000) {
        return "request_timeout_ms: must be between 1 and 60000";
    }
    if (document.stop_grace_ms < 0 || document.quota_cpu_millis < 0 || document.quota_memory_mb < 0
        || document.quota_accelerators < 0) {
        return "stop_grace_ms and quotas: must not be negative";
    }
    const bool isListed =
        std::any_of(cell.instances.begin(), cell.instances.end(), [&document](const auto &item) {
            const auto &domains = document.allowed_domains;
            return !item.second.rack.empty()
                && std::find(domains.begin(), domains.end(), item.second.failure_domain)
                != domains.end();
        });
    if (!cell.instances.empty() && !isListed) {
        return "allowed_domains: no worker of the platform's list is in any of these domains";
    }
    return {};
}

void updateDocuments(document_state &state, const std::vector<std::unique_ptr<table_row>> &rows,
                     bool isComplete, timestamp askedAt)
{
    const table_row *headRow = findRow(rows, documentHeadKey);
    document_head head;
    if (headRow != nullptr) {
        const auto parsed = parseJson<document_head>(headRow->value);
        if (!parsed) {
            return;
        }
        head = *parsed;
    }
    if (head.sequence < state.head.sequence || (!isComplete && !state.isLoaded)) {
        return; // Late answer, or a partial reading before the first complete one.
    }
    if (!isComplete && !coversChanges(state, head, rows)) {
        return; // `rows` lack a change that was made since the reading was asked for; the next poll
                // shows it.
    }
    const std::string_view prefix = documentPrefix;
    for (const auto &row : rows) {
        const bool isDocument = row->key.compare(0, prefix.size(), prefix) == 0;
        const auto value =
            isDocument ? parseJson<document_row>(row->value) : tl::make_unexpected(codec_error {});
        if (value && value->document != nullptr) {
            installDocument(state, *value, row->version);
        }
    }
    if (headRow != nullptr && headRow->version > state.unsettledHeadVersion) {
        state.unsettledWrites = 0;
    }
    state.head = head;
    state.headVersion = headRow == nullptr ? 0 : headRow->version;
    state.isLoaded = true;
    state.confirmedAt = std::max(state.confirmedAt, askedAt);
    state.freshUntil =
        std::max(state.freshUntil, askedAt + shortenedByClockError(documentFreshnessPeriod));
}

void addDocumentReads(const document_state &state, const document_head &newest,
                      table_request &request)
{
    request.reads.emplace_back(documentHeadKey);
    const std::uint64_t missed = newest.sequence - std::min(newest.sequence, state.head.sequence);
    if (!state.isLoaded || missed > newest.recent_services.size()) {
        request.prefixes.emplace_back(documentPrefix);
        return;
    }
    for (std::uint64_t index = 0; index < missed; ++index) {
        request.reads.push_back(documentKey(newest.recent_services[index]));
    }
}

void confirmDocuments(document_state &state, timestamp askedAt)
{
    state.confirmedAt = std::max(state.confirmedAt, askedAt);
    state.freshUntil =
        std::max(state.freshUntil, askedAt + shortenedByClockError(documentFreshnessPeriod));
}

void requestFreshness(document_state &state, const authority_state &authority,
                      const cell_state &cell, step_context &context)
{
    const bool isTableFresh = context.now - cell.tableReachedAt < 2 * pollInterval;
    if (!state.isLoaded || isTableFresh || context.now < state.nextFreshnessAskAt) {
        return;
    }
    state.nextFreshnessAskAt = context.now + freshnessAskInterval;
    const auto shard = authority.shards.find(documentShard);
    if (shard == authority.shards.end()) {
        return;
    }
    if (knowsNewestDocuments(state, authority, cell, context.now)) {
        state.freshUntil = std::max(state.freshUntil, context.now + documentFreshnessPeriod);
        return;
    }
    if (shard->second.row.owner == cell.identity) {
        return;
    }
    freshness_ask ask;
    ask.asked_at = context.now;
    ask.sequence = state.head.sequence;
    sendToPeer(context, cell.identity, shard->second.row.owner, ask);
}

void handleFreshnessAsk(const document_state &state, const authority_state &authority,
                        const cell_state &cell, const std::string &from, const freshness_ask &ask,
                        step_context &context)
{
    if (!knowsNewestDocuments(state, authority, cell, context.now)) {
        return;
    }
    freshness_grant grant;
    grant.asked_at = ask.asked_at;
    grant.sequence = state.head.sequence;
    for (const auto &[service, view] : state.documents) {
        if (view.row.sequence > ask.sequence) {
            grant.documents.push_back(std::make_unique<document_row>(view.row));
        }
    }
    if (grant.documents.size() > grantedDocumentLimit) {
        return;
    }
    sendToPeer(context, cell.identity, from, std::move(grant));
}

void handleFreshnessGrant(document_state &state, const freshness_grant &grant)
{
    if (!state.isLoaded || grant.sequence < state.head.sequence) {
        return;
    }
    for (const auto &row : grant.documents) {
        if (row->document != nullptr
            && row->sequence >= sequenceOf(state, row->document->service)) {
            installDocument(state, *row, 0);
        }
    }
    state.head.sequence = grant.sequence;
    state.freshUntil =
        std::max(state.freshUntil, grant.asked_at + shortenedByClockError(documentFreshnessPeriod));
}

} // namespace bramleygrade
