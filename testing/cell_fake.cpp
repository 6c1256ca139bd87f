#include "testing/cell_fake.h"

#include <algorithm>

#include "bramleygrade/json_codec.h"

namespace bramleygrade {

namespace {

constexpr microseconds maxMessageDelay = 2 * second;
constexpr microseconds maxTableDelay = 6 * second;
constexpr microseconds listPollInterval = second;

const char *domainOf(int index)
{
    static const char *const domains[] = {"domain-a", "domain-b", "domain-c"};
    return domains[index % 3];
}

} // namespace

bool isWithin(const std::vector<fault_window> &windows, timestamp now)
{
    return std::any_of(windows.begin(), windows.end(), [now](const fault_window &window) {
        return window.from <= now && now < window.until;
    });
}

void applyDocumentForAllDomains(cell_fake &cell, service_document document)
{
    operator_request request;
    request.action = operator_action::apply;
    document.service = "booking";
    document.allowed_domains = {"domain-a", "domain-b", "domain-c"};
    request.document = std::make_unique<service_document>(std::move(document));
    cell.deliver(0, request);
}

cell_fake::cell_fake(const cell_options &options)
    : m_options(options)
    , m_random(options.seed)
{
    for (int index = 0; index < options.entries; ++index) {
        cell_entry entry;
        entry.name = "entry-" + std::to_string(index + 1);
        entry.domain = domainOf(index);
        if (options.hasClockErrors) {
            entry.clockOffset = static_cast<microseconds>(draw(60'001)) - 30 * millisecond;
            entry.clockDriftPpm = static_cast<std::int64_t>(draw(2001)) - 1000;
        }
        m_entries.push_back(std::move(entry));
    }
    for (int index = 0; index < options.racks * options.workersPerRack; ++index) {
        const int rack = index / options.workersPerRack;
        cell_worker worker;
        instance &info = worker.tasks.info;
        info.name = "worker-" + std::to_string(index + 1);
        info.failure_domain = domainOf(rack);
        info.rack = std::to_string(rack + 1);
        info.service = "booking";
        info.slots = options.slots;
        info.cpu_millis = 8000;
        info.memory_mb = 16000;
        m_workers.push_back(std::move(worker));
    }
    publishInstanceList();
    m_instanceLists.front().at = distantPast;
}

void cell_fake::at(timestamp when, action callback)
{
    m_queue.push(
        {std::max(when, m_now), m_nextOrder++, std::make_shared<action>(std::move(callback))});
}

void cell_fake::run(timestamp until)
{
    while (!m_queue.empty() && m_queue.top().at <= until) {
        const scheduled_action next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        (*next.callback)();
    }
    m_now = std::max(m_now, until);
}

timestamp cell_fake::localTime(int index) const
{
    const cell_entry &entry = m_entries[static_cast<std::size_t>(index)];
    const microseconds passed = m_now - historyStart;
    return m_now + entry.clockOffset + passed * entry.clockDriftPpm / 1'000'000;
}

microseconds cell_fake::networkDelay()
{
    const microseconds baseDelay = 200 + static_cast<microseconds>(draw(1500));
    return drawBernoulli(m_options.delayPerMille)
        ? baseDelay + static_cast<microseconds>(draw(maxMessageDelay))
        : baseDelay;
}

void cell_fake::publishInstanceList()
{
    std::vector<instance> instances;
    for (const cell_entry &entry : m_entries) {
        if (entry.isAlive) {
            instance listed;
            listed.name = entry.name;
            listed.failure_domain = entry.domain;
            instances.push_back(listed);
        }
    }
    for (const cell_worker &worker : m_workers) {
        if (worker.isAlive) {
            instances.push_back(worker.tasks.info);
            instances.back().state =
                m_now >= worker.leavingSince ? instance_state::leaving : instance_state::live;
        }
    }
    m_instanceLists.push_back({m_now, std::move(instances)});
}

void cell_fake::startEntry(int index)
{
    cell_entry &entry = m_entries[static_cast<std::size_t>(index)];
    entry.isAlive = true;
    entry.pausedUntil = 0;
    entry.newestListAt = distantFuture;
    ++entry.generation;
    entry_identity identity;
    identity.name = entry.name;
    identity.incarnation = std::to_string(entry.generation);
    identity.failureDomain = entry.domain;
    identity.seed = draw(UINT64_MAX);
    entry.core = std::make_unique<decision_core>(identity);
    publishInstanceList();
    const std::uint64_t generation = entry.generation;
    after(static_cast<microseconds>(draw(m_options.tickInterval)),
          [this, index, generation] { tickEntry(index, generation); });
    after(static_cast<microseconds>(draw(listPollInterval)),
          [this, index, generation] { pollInstanceList(index, generation); });
}

void cell_fake::killEntry(int index)
{
    m_entries[static_cast<std::size_t>(index)].isAlive = false;
    publishInstanceList();
}

void cell_fake::pauseEntry(int index, microseconds span)
{
    cell_entry &entry = m_entries[static_cast<std::size_t>(index)];
    entry.pausedUntil = std::max(entry.pausedUntil, m_now + span);
}

void cell_fake::killWorker(int index)
{
    cell_worker &worker = m_workers[static_cast<std::size_t>(index)];
    advanceTime(worker.tasks, m_now);
    worker.isAlive = false;
    worker.diedAt = m_now;
    for (auto &[key, task] : worker.tasks.tasks) {
        if (task.phase == task_phase::running) {
            task.phase = task_phase::failed;
            task.endedAt = m_now;
        }
    }
    publishInstanceList();
}

void cell_fake::markWorkerLeaving(int index)
{
    m_workers[static_cast<std::size_t>(index)].leavingSince = m_now;
    publishInstanceList();
}

void cell_fake::tickEntry(int index, std::uint64_t generation)
{
    cell_entry &entry = m_entries[static_cast<std::size_t>(index)];
    if (!entry.isAlive || entry.generation != generation) {
        return;
    }
    if (m_now >= entry.pausedUntil) {
        step(index, tick {});
    }
    after(std::max(m_options.tickInterval, entry.pausedUntil - m_now),
          [this, index, generation] { tickEntry(index, generation); });
}

void cell_fake::pollInstanceList(int index, std::uint64_t generation)
{
    cell_entry &entry = m_entries[static_cast<std::size_t>(index)];
    if (!entry.isAlive || entry.generation != generation) {
        return;
    }
    if (m_now >= entry.pausedUntil) {
        const auto newest = std::find_if(m_instanceLists.rbegin(), m_instanceLists.rend(),
                                         [this](const instance_list_snapshot &state) {
                                             return state.at <= m_now - m_options.listLag;
                                         });
        list_update update;
        update.asked_at = localTime(index);
        update.is_unchanged = entry.newestListAt == newest->at;
        if (!update.is_unchanged) {
            for (const instance &listed : newest->instances) {
                update.instances.push_back(std::make_unique<instance>(listed));
            }
        }
        entry.newestListAt = newest->at;
        // The delay is below the poll interval, so that an update never overtakes its predecessor.
        after(std::min<microseconds>(networkDelay(), listPollInterval / 2),
              [this, index, update] { deliver(index, update); });
    }
    after(listPollInterval, [this, index, generation] { pollInstanceList(index, generation); });
}

void cell_fake::deliver(int index, event input)
{
    const cell_entry &entry = m_entries[static_cast<std::size_t>(index)];
    if (!entry.isAlive) {
        return;
    }
    if (m_now < entry.pausedUntil) {
        const std::uint64_t generation = entry.generation;
        at(entry.pausedUntil + static_cast<microseconds>(draw(10 * millisecond)),
           [this, index, generation, input = std::move(input)] {
               if (m_entries[static_cast<std::size_t>(index)].generation == generation) {
                   deliver(index, input);
               }
           });
        return;
    }
    step(index, input);
}

void cell_fake::step(int index, const event &input)
{
    cell_entry &entry = m_entries[static_cast<std::size_t>(index)];
    for (command &wanted : bramleygrade::step(*entry.core, input, localTime(index))) {
        executeCommand(index, std::move(wanted));
    }
}

void cell_fake::executeCommand(int index, command wanted)
{
    if (auto *transaction = std::get_if<table_command>(&wanted)) {
        transact(index, *transaction);
    } else if (auto *message = std::get_if<peer_message>(&wanted)) {
        sendMessage(index, *message);
    } else if (auto *request = std::get_if<dispatch_request>(&wanted)) {
        // The adapter sends from its own thread, which may run later or only after a pause.
        after(static_cast<microseconds>(draw(2 * millisecond)),
              [this, index, request = *request] { sendRequest(index, request); });
    } else if (auto *call = std::get_if<worker_call>(&wanted)) {
        after(static_cast<microseconds>(draw(2 * millisecond)),
              [this, index, call = *call] { callWorker(index, call); });
    } else if (auto *answered = std::get_if<answer_caller>(&wanted)) {
        if (onAnswer) {
            onAnswer(index, *answered);
        }
    } else if (auto *outcome = std::get_if<answer_operator>(&wanted)) {
        if (onOperatorAnswer) {
            onOperatorAnswer(index, *outcome);
        }
    } else if (std::holds_alternative<drained>(wanted) && onDrained) {
        onDrained(index);
    }
}

void cell_fake::transact(int index, const table_command &wanted)
{
    const cell_entry &entry = m_entries[static_cast<std::size_t>(index)];
    if (isWithin(tableOutages, m_now) || isWithin(entry.tablePartitions, m_now)) {
        table_result refused;
        refused.operation = wanted.operation;
        refused.outcome =
            wanted.request->writes.empty() ? table_outcome::unknown : table_outcome::not_applied;
        after(networkDelay(), [this, index, refused] { deliver(index, refused); });
        return;
    }
    if (drawBernoulli(m_options.tableLossPerMille)) {
        return;
    }
    const microseconds delay = drawBernoulli(m_options.tableDelayPerMille)
        ? static_cast<microseconds>(draw(maxTableDelay))
        : 1000 + static_cast<microseconds>(draw(4000));
    const std::uint64_t generation = entry.generation;
    after(delay,
          [this, index, generation, wanted] { applyTransaction(index, generation, wanted); });
}

void cell_fake::applyTransaction(int index, std::uint64_t generation, const table_command &wanted)
{
    if (isWithin(tableOutages, m_now)) {
        return;
    }
    const bool isWrite = !wanted.request->writes.empty();
    ++(isWrite ? counters.tableWrites : counters.tableReads);
    table_response response = executeTransaction(m_table, *wanted.request);
    if (onTransaction) {
        onTransaction(index, *wanted.request, response);
    }
    if (isWrite && response.committed) {
        for (const auto &write : wanted.request->writes) {
            const auto row = write->key.rfind("document/", 0) == 0
                ? parseJson<document_row>(write->value)
                : tl::make_unexpected(codec_error {});
            if (row) {
                documentChanges.push_back(
                    {m_now, row->document->service, row->document->allowed_domains});
            }
        }
    }
    if (drawBernoulli(m_options.tableAnswerLossPerMille)
        || isWithin(m_entries[static_cast<std::size_t>(index)].tablePartitions, m_now)) {
        return;
    }
    table_result result;
    result.operation = wanted.operation;
    result.outcome = response.committed ? table_outcome::committed : table_outcome::conflict;
    result.rows = std::move(response.rows);
    after(networkDelay(), [this, index, generation, result] {
        if (m_entries[static_cast<std::size_t>(index)].generation == generation) {
            deliver(index, result);
        }
    });
}

int cell_fake::indexOfIdentity(const std::string &identity) const
{
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (m_entries[index].isAlive && identityOf(*m_entries[index].core) == identity) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

void cell_fake::sendMessage(int index, const peer_message &message)
{
    ++counters.peerMessages;
    // Forwarded requests and their answers are caller traffic; all else is control traffic.
    const bool isControl =
        message.body.Asforward_request() == nullptr && message.body.Asforward_answer() == nullptr;
    if (isControl) {
        counters.peerBytes += toJson(message).size();
    }
    const int target = indexOfIdentity(message.to);
    if (target < 0) {
        undelivered notice;
        notice.message = std::make_unique<peer_message>(message);
        after(networkDelay(), [this, index, notice] { deliver(index, notice); });
        return;
    }
    const bool isPartitioned =
        isWithin(m_entries[static_cast<std::size_t>(index)].peerPartitions, m_now)
        || isWithin(m_entries[static_cast<std::size_t>(target)].peerPartitions, m_now);
    if (isPartitioned || drawBernoulli(m_options.lossPerMille)) {
        return;
    }
    const int copies = drawBernoulli(m_options.duplicatePerMille) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        after(networkDelay(), [this, target, message] { deliver(target, message); });
    }
}

} // namespace bramleygrade
