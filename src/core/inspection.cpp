#include "bramleygrade/inspection.h"

#include <sstream>

#include <json/json.h>

#include "core/entry_state.h"
#include "core/shard_claims.h"

namespace bramleygrade {

namespace {

Json::Int64 remainingMs(timestamp until, timestamp now)
{
    const bool isSet = until > distantPast / 2 && until < distantFuture / 2;
    return isSet ? static_cast<Json::Int64>((until - now) / millisecond) : 0;
}

Json::Value dumpShards(const entry_state &state, timestamp now)
{
    Json::Value shards(Json::objectValue);
    for (const auto &[name, view] : state.authority.shards) {
        Json::Value &shard = shards[name];
        shard["owner"] = view.row.owner;
        shard["epoch"] = static_cast<Json::UInt64>(view.row.epoch);
        shard["row_version"] = static_cast<Json::UInt64>(view.rowVersion);
        for (const std::string &successor : view.row.successors) {
            shard["successors"].append(successor);
        }
        shard["handed_over"] = view.row.handed_over;
        shard["acting"] = holdsLease(state.authority, state.cell.identity, name, now);
        shard["authority_ms"] =
            remainingMs(leaseExpiry(state.authority, state.cell.identity, name, now), now);
        shard["given_up"] = view.isRelinquished;
        shard["unsettled_version"] = static_cast<Json::UInt64>(view.unsettledVersion);
    }
    return shards;
}

Json::Value dumpWorkers(const entry_state &state, timestamp now)
{
    Json::Value workers(Json::objectValue);
    for (const auto &[name, view] : state.pool.workers) {
        Json::Value &worker = workers[name];
        worker["shard"] = view.shard;
        worker["failure_domain"] = view.info.failure_domain;
        worker["service"] = view.info.service;
        worker["slots"] = view.info.slots;
        worker["busy"] = view.busySlots;
        worker["foreign"] = view.untrackedSlots;
        worker["usable"] = countUsableSlots(view, state.authority, state.cell.identity, now);
        worker["leaving"] = isLeavingWorker(view);
        worker["ejected_ms"] = remainingMs(view.health.ejectedUntil, now);
        worker["mean_answer_us"] = static_cast<Json::Int64>(view.health.meanAnswer);
        worker["seen_ms_ago"] = -remainingMs(view.lastReportRequestedAt, now);
        worker["tasks"] = static_cast<Json::UInt64>(view.tasks.size());
        worker["committed_cpu_millis"] = static_cast<Json::Int64>(view.committed.cpuMillis);
        worker["committed_memory_mb"] = static_cast<Json::Int64>(view.committed.memoryMb);
        worker["committed_accelerators"] = static_cast<Json::Int64>(view.committed.accelerators);
    }
    return workers;
}

Json::Value dumpDocuments(const entry_state &state, timestamp now)
{
    Json::Value documents(Json::objectValue);
    documents["head_sequence"] = static_cast<Json::UInt64>(state.documents.head.sequence);
    documents["fresh_ms"] = remainingMs(state.documents.freshUntil, now);
    documents["waiting_changes"] = static_cast<Json::UInt64>(state.documents.queue.size());
    documents["unsettled_writes"] = state.documents.unsettledWrites;
    for (const auto &[service, view] : state.documents.documents) {
        documents["sequence"][service] = static_cast<Json::UInt64>(view.row.sequence);
    }
    return documents;
}

Json::Value dumpMembers(const entry_state &state, timestamp now)
{
    Json::Value members(Json::objectValue);
    for (const auto &[name, member] : state.cell.members) {
        Json::Value &row = members[member.row.identity];
        row["failure_domain"] = member.row.failure_domain;
        row["address"] = member.row.host + ":" + std::to_string(member.row.peer_port);
        const auto lastMessage = state.cell.lastMessageAt.find(member.row.identity);
        row["heard_ms_ago"] = lastMessage == state.cell.lastMessageAt.end()
            ? Json::Int64 {-1}
            : -remainingMs(lastMessage->second, now);
        row["shards"] = countOwnedShards(state.authority, member.row.identity);
    }
    return members;
}

Json::Value dumpRequests(const entry_state &state)
{
    Json::Value requests(Json::objectValue);
    for (const auto &[service, queue] : state.requests.queues) {
        Json::Value &row = requests["queues"][service];
        row["waiting"] = static_cast<Json::UInt64>(queue.waiting);
        row["mean_answer_us"] = static_cast<Json::Int64>(queue.meanAnswer);
        for (const auto &[team, own] : queue.teams) {
            row["in_flight"][team] = own.inFlight;
        }
    }
    requests["in_progress"] = static_cast<Json::UInt64>(state.requests.requests.size());
    requests["attempts"] = static_cast<Json::UInt64>(state.requests.attempts.size());
    requests["remembered_ids"] = static_cast<Json::UInt64>(state.requests.home.remembered.size());
    requests["remembered_bytes"] = static_cast<Json::UInt64>(state.requests.home.bodyBytes);
    return requests;
}

Json::Value dumpJobs(const entry_state &state)
{
    Json::Value jobs(Json::objectValue);
    for (const auto &[shard, home] : state.jobs.homes) {
        Json::Value &row = jobs["homes"][shard];
        row["ready"] = home.phase == home_phase::ready;
        row["epoch"] = static_cast<Json::UInt64>(home.epoch);
        row["racks_awaited"] = static_cast<Json::UInt64>(home.unansweredRacks.size());
    }
    for (const auto &[name, job] : state.jobs.jobs) {
        Json::Value &count = jobs["count"][wire::EnumNamejob_phase(job.row.phase)];
        count = count.asInt() + 1;
        for (const job_task &task : job.tasks) {
            const bool isRunning = task.phase == job_task_phase::running;
            Json::Value &running = jobs["running_tasks"][serviceOfJob(name)];
            running = running.asInt() + (isRunning ? 1 : 0);
        }
    }
    return jobs;
}

void addMetric(std::ostream &text, const char *name, const char *kind, const char *help,
               double value)
{
    text << "# HELP bramleygrade_" << name << ' ' << help << "\n# TYPE bramleygrade_" << name << ' '
         << kind << "\nbramleygrade_" << name << ' ' << value << '\n';
}

/// Present problems of this entry, one line each, for operators.
std::vector<std::string> listProblems(const entry_state &state, timestamp now)
{
    std::vector<std::string> problems;
    if (now - state.cell.tableReachedAt > 3 * second) {
        problems.emplace_back(
            "the table service has not answered for more than 3 s; no document, job or "
            "shard can change until it does");
    }
    if (!areDocumentsFresh(state.documents, now)) {
        problems.emplace_back(
            "documents may be outdated; this entry starts no new work until the table or "
            "the owner of the documents confirms them");
    }
    if (state.clockAlarms > 0) {
        problems.emplace_back(
            "the clocks of two entries have differed by more than 250 ms; check time "
            "synchronisation");
    }
    for (const auto &[name, view] : state.authority.shards) {
        const bool isOwn = view.row.owner == state.cell.identity;
        if (isOwn && !holdsLease(state.authority, state.cell.identity, name, now)) {
            problems.push_back("shard " + name
                               + " is owned by this entry, but its lease is not in force");
        }
    }
    for (const auto &[name, worker] : state.pool.workers) {
        if (now < worker.health.ejectedUntil) {
            problems.push_back(
                "worker " + name
                + " is ejected: it failed requests and gets none until the ejection ends");
        }
    }
    return problems;
}

} // namespace

std::string dumpState(const decision_core &core, timestamp now)
{
    const entry_state &state = core.state();
    Json::Value dump(Json::objectValue);
    dump["identity"] = state.cell.identity;
    dump["failure_domain"] = state.cell.failureDomain;
    dump["joined"] = state.cell.isJoined;
    dump["draining"] = state.cell.isDraining;
    dump["table_reached_ms_ago"] = -remainingMs(state.cell.tableReachedAt, now);
    dump["list_received_ms_ago"] = -remainingMs(state.cell.listReceivedAt, now);
    dump["transactions_underway"] = static_cast<Json::UInt64>(state.operations.unanswered.size());
    dump["shards"] = dumpShards(state, now);
    dump["workers"] = dumpWorkers(state, now);
    dump["documents"] = dumpDocuments(state, now);
    dump["members"] = dumpMembers(state, now);
    dump["requests"] = dumpRequests(state);
    dump["jobs"] = dumpJobs(state);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, dump);
}

std::string describeStatus(const decision_core &core, timestamp now)
{
    const entry_state &state = core.state();
    std::ostringstream text;
    text << "entry " << state.cell.identity << " in " << state.cell.failureDomain
         << (state.cell.isDraining ? ", draining" : "") << '\n';
    const std::vector<std::string> problems = listProblems(state, now);
    text << (problems.empty() ? "no problem is known here" : "problems:") << '\n';
    for (const std::string &problem : problems) {
        text << "  " << problem << '\n';
    }
    text << "members " << state.cell.members.size() << ", active "
         << activeMembers(state.cell, now).size() << "; shards " << state.authority.shards.size()
         << ", own " << countOwnedShards(state.authority, state.cell.identity) << "; workers "
         << state.pool.workers.size() << "\ndocuments up to change "
         << state.documents.head.sequence << "; requests in progress "
         << state.requests.requests.size() << ", transactions under way "
         << state.operations.unanswered.size() << '\n';
    return text.str();
}

std::string listMetrics(const decision_core &core, timestamp now)
{
    const entry_state &state = core.state();
    const request_counters &counters = state.requests.counters;
    std::ostringstream text;
    text.precision(15);
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    addMetric(text, "requests_accepted_total", "counter", "requests taken in",
              count(counters.accepted));
    addMetric(text, "requests_done_total", "counter", "answered in full", count(counters.done));
    addMetric(text, "requests_not_run_total", "counter", "surely not run", count(counters.notRun));
    addMetric(text, "requests_may_have_run_total", "counter", "fate not known",
              count(counters.mayHaveRun));
    addMetric(text, "requests_forwarded_total", "counter", "passed to a peer",
              count(counters.forwarded));
    addMetric(text, "requests_retried_total", "counter", "attempted again",
              count(counters.retried));
    addMetric(text, "answers_late_total", "counter", "answers after their request had ended",
              count(counters.lateAnswers));
    addMetric(text, "requests_in_progress", "gauge", "requests without an answer yet",
              count(state.requests.requests.size()));
    addMetric(text, "shards_owned", "gauge", "shards whose row names this entry",
              countOwnedShards(state.authority, state.cell.identity));
    addMetric(text, "document_sequence", "gauge", "newest change in force here",
              count(state.documents.head.sequence));
    addMetric(text, "documents_fresh", "gauge", "1 while the documents are known to be the newest",
              areDocumentsFresh(state.documents, now) ? 1 : 0);
    addMetric(text, "clock_alarms_total", "counter", "messages that showed a wrong clock",
              count(state.clockAlarms));
    return text.str();
}

std::map<std::string, member_address> memberAddresses(const decision_core &core)
{
    std::map<std::string, member_address> addresses;
    for (const auto &[name, member] : core.state().cell.members) {
        addresses[member.row.identity] = {member.row.host, member.row.peer_port};
    }
    return addresses;
}

std::uint32_t reachableHomes(const decision_core &core, timestamp now)
{
    // The lease of a claimant starts only after `leaseDuration`, that of a first owner or of a
    // receiver of a hand-over at once. Every owner accepts as new only ids that were issued later
    // than `futureTolerance` plus `clockOffsetBound` after the start of its lease.
    constexpr microseconds claimedHomeDelay =
        lengthenedByClockError(leaseDuration) + futureTolerance + 2 * clockOffsetBound;
    constexpr microseconds handedOverHomeDelay = futureTolerance + 2 * clockOffsetBound;
    const entry_state &state = core.state();
    std::uint32_t homes = 0;
    for (int number = 0; number < homeShardCount; ++number) {
        const auto found = state.authority.shards.find("home-" + std::to_string(number));
        if (found == state.authority.shards.end() || found->second.rowVersion == 0) {
            continue;
        }
        const shard_view &view = found->second;
        const bool isHandedOver = view.row.handed_over || view.row.epoch == 1;
        const microseconds delay = isHandedOver ? handedOverHomeDelay : claimedHomeDelay;
        const auto lastMessage = state.cell.lastMessageAt.find(view.row.owner);
        const bool isOwnHome = view.row.owner == state.cell.identity;
        const bool isActing = isOwnHome
            ? holdsLease(state.authority, state.cell.identity, found->first, now)
            : lastMessage != state.cell.lastMessageAt.end()
                && now - lastMessage->second < 2 * second;
        if (isActing && now - view.knownSince > delay) {
            homes |= std::uint32_t {1} << number;
        }
    }
    return homes;
}

int homeNumberOf(const std::string &requestId)
{
    return std::stoi(homeShardOf(requestId).substr(std::string("home-").size()));
}

bool isDraining(const decision_core &core)
{
    return core.state().cell.isDraining;
}

std::uint64_t membershipVersion(const decision_core &core)
{
    return core.state().cell.headVersion;
}

} // namespace bramleygrade
