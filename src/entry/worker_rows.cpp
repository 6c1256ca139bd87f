#include <charconv>

#include "cell/workers/worker_list.h"
#include "entry/json_text.h"
#include "entry/rows.h"

namespace bramleygrade::entry {

namespace {

/// The address at which the life has answered: the registry may show another one by mistake, where
/// a successor must not take another process's answer for the worker's end.
const std::string &addressInRow(const cell::worker_state &worker)
{
    return worker.life.address.empty() ? worker.entry.address : worker.life.address;
}

/// A number that is not known counts as the effect that a successor waits longest for.
cell::former_order_effect decodeEffect(std::int64_t number)
{
    switch (number) {
    case 0:
        return cell::former_order_effect::none;
    case 2:
        return cell::former_order_effect::leases;
    default:
        return cell::former_order_effect::possible;
    }
}

} // namespace

std::string workersRowKey(std::size_t index)
{
    return index == 0 ? workersKey : std::string(workersKey) + '/' + std::to_string(index);
}

std::optional<std::size_t> workersRowIndex(const std::string &key)
{
    const std::string prefix = std::string(workersKey) + '/';
    std::size_t index = 0;
    if (key == workersKey) {
        return index;
    }
    const char *end = key.data() + key.size();
    if (key.rfind(prefix, 0) != 0
        || std::from_chars(key.data() + prefix.size(), end, index).ptr != end
        || workersRowKey(index) != key || index >= cell::maxListRows) {
        return std::nullopt;
    }
    return index;
}

std::string encodeWorkerRow(const std::map<std::string, cell::worker_state> &workers,
                            std::size_t index)
{
    return writeObject([&](json_writer &out) {
        out.Key("workers");
        out.StartArray();
        for (const auto &[id, worker] : workers) {
            if (worker.listRow != index) {
                continue;
            }
            out.StartArray();
            putText(out, id);
            putText(out, addressInRow(worker));
            putText(out, worker.entry.service);
            out.Int64(worker.life.born);
            out.Int64(worker.listedCapacity.cpuMilli);
            out.Int64(worker.listedCapacity.memoryMb);
            out.Int64(worker.listedCapacity.accelerators);
            out.Int64(static_cast<std::int64_t>(cell::formerOrderEffect(worker.life)));
            out.EndArray();
        }
        out.EndArray();
    });
}

std::vector<cell::worker_entry> decodeWorkers(const std::string &value)
{
    rapidjson::Document document;
    const auto *rows = parseObject(value, document) ? arrayField(document, "workers") : nullptr;
    std::vector<cell::worker_entry> workers;
    if (rows == nullptr) {
        return workers;
    }
    for (const auto &row : rows->GetArray()) {
        if (row.IsArray() && row.Size() >= 3) {
            cell::worker_entry worker;
            worker.id = textOf(row[0]);
            worker.address = textOf(row[1]);
            worker.service = textOf(row[2]);
            worker.born = row.Size() >= 4 ? integerOf(row[3]) : 0;
            if (row.Size() >= 7) {
                worker.capacity = {integerOf(row[4]), integerOf(row[5]), integerOf(row[6])};
            }
            worker.formerOrders = decodeEffect(row.Size() >= 8 ? integerOf(row[7]) : 0);
            workers.push_back(std::move(worker));
        }
    }
    return workers;
}

} // namespace bramleygrade::entry
