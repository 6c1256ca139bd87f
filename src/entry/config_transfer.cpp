#include "entry/config_transfer.h"

#include <algorithm>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

constexpr microseconds failureReportInterval = 5 * second;
/// Time without a further part after which the store's answer counts as held up.
constexpr microseconds maxDeliveryPause = 600 * millisecond;
/// Least rate of the store's answer, bytes per second; a peer is asked if it is lower.
constexpr std::int64_t minDeliveryRate = 100'000;
/// Maximum number of rows that an entry sends to others at the same time.
constexpr long maxServedRows = 4;

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

void noteStorePart(config_transfers &transfers, std::size_t bytes, timestamp now)
{
    if (transfers.storePartAt == distantPast) {
        transfers.storeBeganAt = now;
    }
    transfers.storePartAt = now;
    transfers.storeBytes = bytes;
}

void endStoreTransfer(config_transfers &transfers)
{
    transfers.storePartAt = distantPast;
}

bool isStoreDelivering(const config_transfers &transfers, timestamp now)
{
    if (transfers.storePartAt == distantPast || now >= transfers.storePartAt + maxDeliveryPause) {
        return false;
    }
    const microseconds elapsed = now - transfers.storeBeganAt;
    return elapsed < maxDeliveryPause
        || static_cast<std::int64_t>(transfers.storeBytes) * second >= minDeliveryRate * elapsed;
}

std::string takeSource(config_transfers &transfers, const std::string &scheduler)
{
    std::vector<std::string> &sources = transfers.sources;
    const auto other = std::find_if(sources.begin(), sources.end(),
                                    [&](const std::string &name) { return name != scheduler; });
    const auto taken = other == sources.end() ? sources.begin() : other;
    if (taken == sources.end()) {
        return "";
    }
    std::string name = *taken;
    sources.erase(taken);
    return name;
}

std::shared_ptr<void> serveRow(const config_transfers &transfers)
{
    return transfers.served.use_count() <= maxServedRows ? transfers.served : nullptr;
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
