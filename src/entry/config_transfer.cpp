#include "entry/config_transfer.h"

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

constexpr microseconds failureReportInterval = 5 * second;
/// Time without a further part after which the store's answer counts as held up.
constexpr microseconds maxDeliveryPause = 600 * millisecond;
/// Bytes of rows that an entry sends to others within `serveWindow`, one row at least. It leaves
/// most of a link to callers.
constexpr std::size_t maxServedBytes = 1U << 20U;
constexpr microseconds serveWindow = 1 * second;

void countTransfer(entry_state &entry, const config_transfer &transfer)
{
    const std::string labels = std::string("{source=\"") + transfer.source + "\",outcome=\""
        + (transfer.isComplete ? "complete" : "incomplete") + "\"}";
    ++entry.metrics.counters["config_transfers_total" + labels];
    entry.metrics.counters["config_transfer_bytes_total" + labels] += transfer.bytes;
}

void logTransfer(entry_state &entry, const char *event, const config_transfer &transfer,
                 timestamp now)
{
    const config_transfers &transfers = entry.configTransfers;
    logEvent(entry, event,
             {{"source", transfer.source},
              {"version", std::to_string(entry.config.version)},
              {"newest_version", std::to_string(entry.confirmation.newestVersion)},
              {"received_bytes", std::to_string(transfer.bytes)},
              {"took_ms", std::to_string((now - transfer.beganAt) / millisecond)},
              {"failures", std::to_string(transfers.failures)},
              {"failing_ms", std::to_string((now - transfers.failingSince) / millisecond)}});
}

} // namespace

bool isStoreDelivering(const config_transfers &transfers, timestamp now)
{
    return transfers.storePartAt != distantPast && now < transfers.storePartAt + maxDeliveryPause;
}

bool mayServeRow(config_transfers &transfers, std::size_t bytes, timestamp now)
{
    if (now >= transfers.windowEndsAt) {
        transfers.windowEndsAt = now + serveWindow;
        transfers.servedBytes = 0;
    }
    if (transfers.servedBytes > 0 && transfers.servedBytes + bytes > maxServedBytes) {
        return false;
    }
    transfers.servedBytes += bytes;
    return true;
}

void recordConfigTransfer(entry_state &entry, const config_transfer &transfer)
{
    config_transfers &transfers = entry.configTransfers;
    const timestamp now = steadyNow();
    countTransfer(entry, transfer);
    if (transfer.isComplete) {
        if (transfers.failures > 0) {
            logTransfer(entry, "config_transfer_recovered", transfer, now);
        }
        transfers.failures = 0;
        return;
    }
    if (transfers.failures++ == 0) {
        transfers.failingSince = transfer.beganAt;
        transfers.nextReportAt = now;
    }
    if (now >= transfers.nextReportAt) {
        transfers.nextReportAt = now + failureReportInterval;
        logTransfer(entry, "config_transfer_failed", transfer, now);
    }
}

} // namespace bramleygrade::entry
