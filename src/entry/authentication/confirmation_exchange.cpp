#include "entry/authentication/confirmation_exchange.h"

#include "entry/authentication/admission.h"

namespace bramleygrade::entry {

namespace {

/// A full link delays an answer by up to half a second.
constexpr microseconds askTimeout = 800 * millisecond;
/// Longest transfer of the row from one peer, after which another one is asked.
constexpr microseconds maxPeerTransferTime = 10 * second;

/// Logs a change between confirmed and unconfirmed.
void reportState(entry_state &entry, timestamp now)
{
    config_confirmation &confirmation = entry.confirmation;
    const microseconds limit = entry.settings.revocationLimit;
    const bool isConfirmed = !isExpired(confirmation, limit, now);
    if (isConfirmed == confirmation.isReportedConfirmed) {
        return;
    }
    confirmation.isReportedConfirmed = isConfirmed;
    logEvent(entry, isConfirmed ? "config_confirmed" : "config_unconfirmed",
             {{"version", std::to_string(entry.config.version)},
              {"age_ms", formatConfigAge(entry)},
              {"by", confirmation.by}});
}

void confirmAsOf(entry_state &entry, timestamp at, const std::string &by)
{
    if (entry.config.version < entry.confirmation.newestVersion) {
        return; // what was asked is known to be out of date
    }
    confirm(entry.confirmation, at, entry.settings.revocationLimit, by);
    if (entry.config.requiresKeys) {
        reportState(entry, steadyNow());
    }
}

/// Applies a peer's answer to a question asked at `askedAt`.
void applyConfirmReply(entry_state &entry, const std::string &peer, timestamp askedAt,
                       const confirm_reply &reply)
{
    if (reply.version > entry.config.version && !reply.row.empty()) {
        applyConfigRow(entry,
                       {entry.ports.codec.configTable, entry.ports.codec.configKey, reply.row,
                        reply.rowVersion, false});
    }
    if (reply.version == entry.config.version && reply.age >= 0) {
        entry.confirmation.hasLastAskFailed = false;
        confirmAsOf(entry, askedAt - reply.age, peer);
    }
}

std::optional<confirm_reply> decodeReply(const net::call_result &result)
{
    return result.status == 200 ? decodeConfirmReply(result.body) : std::nullopt;
}

/// Reads the row from a peer that has said that it has a newer version, unless the store or another
/// peer is sending it.
void fetchRow(entry_state &entry);

void onRowReply(entry_state &entry, const std::string &peer, timestamp askedAt,
                const net::call_result &result)
{
    const auto reply = decodeReply(result);
    const bool hasRow = reply && !reply->row.empty();
    if (hasRow || result.outcome != net::call_outcome::answered) {
        recordConfigTransfer(entry, {"peer", askedAt, hasRow, result.receivedBytes});
    }
    if (reply) {
        applyConfirmReply(entry, peer, askedAt, *reply);
    }
    if (!hasRow) {
        fetchRow(entry);
    }
}

void fetchRow(entry_state &entry)
{
    config_transfers &transfers = entry.configTransfers;
    const timestamp now = steadyNow();
    const bool isBehind = entry.confirmation.newestVersion > entry.config.version;
    if (!isBehind || transfers.isPeerSending || isStoreDelivering(transfers, now)) {
        return;
    }
    const std::string peer = takeSource(transfers, entry.scheduler.name);
    const auto member = entry.members.find(peer);
    if (member == entry.members.end()) {
        return;
    }
    net::http_call call;
    call.address = member->second;
    call.target = "/confirm";
    call.body = encodeConfirmQuery({entry.settings.name, entry.config.version, true});
    call.deadline = now + askTimeout;
    call.completeBy = now + maxPeerTransferTime;
    call.idempotent = true;
    transfers.isPeerSending = true;
    sendPeer(entry, std::move(call), [&entry, peer, now](const net::call_result &result) {
        entry.configTransfers.isPeerSending = false;
        onRowReply(entry, peer, now, result);
    });
}

void onConfirmReply(entry_state &entry, const std::string &peer, timestamp askedAt,
                    const net::call_result &result)
{
    const auto reply = decodeReply(result);
    if (!reply) {
        if (result.receivedBytes > 0) {
            recordConfigTransfer(entry, {"peer", askedAt, false, result.receivedBytes});
        }
        return;
    }
    applyConfirmReply(entry, peer, askedAt, *reply);
    if (reply->version > entry.config.version) {
        hearOfVersion(entry, reply->version, announcedVersionDelay);
        entry.configTransfers.sources.push_back(peer);
        fetchRow(entry);
    }
}

} // namespace

void confirmFromStore(entry_state &entry, timestamp beganAt, std::int64_t rowVersion)
{
    // A row older than the one in force comes from a stale read, which says nothing.
    if (rowVersion >= entry.configRowVersion) {
        confirmAsOf(entry, beganAt, "store");
    }
}

void hearOfVersion(entry_state &entry, std::int64_t version, microseconds askDelay)
{
    noteVersion(entry.confirmation, entry.config.version, version, steadyNow(), askDelay);
}

void monitorConfirmation(entry_state &entry, timestamp now)
{
    config_confirmation &confirmation = entry.confirmation;
    const bool isBehind = confirmation.newestVersion > entry.config.version;
    if (!entry.config.requiresKeys && !isBehind) {
        return;
    }
    const microseconds limit = entry.config.requiresKeys ? entry.settings.revocationLimit : 0;
    if (limit > 0) {
        reportState(entry, now);
    }
    if (!isAskDue(confirmation, entry.config.version, limit, now)) {
        return;
    }
    entry.configTransfers.sources.clear();
    const std::string query =
        encodeConfirmQuery({entry.settings.name, entry.config.version, false});
    for (const auto &[name, address] : beginAsk(confirmation, entry.config.version, entry.members,
                                                entry.settings.name, entry.scheduler.name, now)) {
        sendPeer(entry, address, "/confirm", query, askTimeout, true,
                 [&entry, peer = name, now](const net::call_result &result) {
                     onConfirmReply(entry, peer, now, result);
                 });
    }
}

confirm_reply answerConfirmQuery(entry_state &entry, const confirm_query &query)
{
    hearOfVersion(entry, query.version, announcedVersionDelay);
    confirm_reply reply;
    reply.version = entry.config.version;
    if (entry.confirmation.confirmedAt != distantPast) {
        reply.age = std::max<microseconds>(steadyNow() - entry.confirmation.confirmedAt, 0);
    }
    if (query.wantsRow && query.version < entry.config.version) {
        reply.whileServed = serveRow(entry.configTransfers);
    }
    if (reply.whileServed) {
        reply.row = entry.configRow;
        reply.rowVersion = entry.configRowVersion;
    }
    return reply;
}

} // namespace bramleygrade::entry
