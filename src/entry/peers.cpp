#include <algorithm>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

constexpr microseconds beatInterval = 150 * millisecond;
/// How often the members are told with a sign of life; it grows with their number.
constexpr microseconds membersInterval = 1 * second;
constexpr microseconds beatPatience = 400 * millisecond;
/// Longest time that a call of another entry may wait here (the longest that callers may wait).
constexpr microseconds longestCallWait = 10 * second;
/// Beats that a member may miss before it is forgotten: those of ten seconds.
constexpr int membersForgottenAfter = static_cast<int>(10 * second / beatInterval);

void answerWith(const net::http_server::responder &respond, int status, std::string body)
{
    respond({status, {{"Content-Type", "application/json"}}, std::move(body)});
}

member_status ownWord(const entry_state &entry)
{
    member_status word;
    word.sender = self(entry);
    word.epoch = entry.epoch;
    word.isScheduler = entry.leaderState != nullptr;
    word.isClaiming = entry.role == entry_role::claiming;
    word.schedulerSeenAgo = entry.leaderState  ? 0
        : entry.schedulerSeenAt == distantPast ? -1
                                               : steadyNow() - entry.schedulerSeenAt;
    return word;
}

void onBeat(entry_state &entry, const heartbeat_message &beat, const std::string &peer,
            const net::http_server::responder &respond)
{
    const timestamp now = steadyNow();
    if (beat.epoch >= entry.epoch) {
        recordScheduler(entry, beat.epoch, beat.sender, now);
        entry.heartbeatPeer = peer;
        for (const member &other : beat.members) {
            entry.members[other.name] = other.address;
            recordProcessorShare(entry, other);
        }
        if (!beat.pending.empty()) {
            entry.pending.clear();
            entry.pending.insert(beat.pending.begin(), beat.pending.end());
            entry.pendingAt = now;
        }
    }
    answerWith(respond, 200, encodeMemberStatus(ownWord(entry)));
}

void onHello(entry_state &entry, const member_status &word,
             const net::http_server::responder &respond)
{
    if (entry.leaderState) {
        std::string &address = entry.members[word.sender.name];
        const bool added = address != word.sender.address;
        address = word.sender.address;
        recordProcessorShare(entry, word.sender);
        if (added) {
            entry.leaderState->membersChanged = true;
            entry.leaderState->nextMemberListAt = distantPast;
            logEvent(entry, "member_joined", {{"member", word.sender.name}});
        }
    }
    answerWith(respond, 200, encodeMemberStatus(ownWord(entry)));
}

void onHandover(entry_state &entry, const member_status &word,
                const net::http_server::responder &respond)
{
    if (entry.leaderState || entry.stopping || word.epoch < entry.epoch) {
        answerWith(respond, 409, "{}");
        return;
    }
    if (word.headVersion > 0) {
        claimHead(entry, word.headVersion, word.epoch,
                  [respond](bool claimed) { answerWith(respond, claimed ? 200 : 503, "{}"); });
        return;
    }
    readHead(entry,
             [&entry, word, respond](const store_result &result,
                                     const std::optional<head_row> &head, std::int64_t version) {
                 if (result.outcome != store_outcome::done || !head || head->epoch != word.epoch) {
                     answerWith(respond, 503, "{}");
                     return;
                 }
                 claimHead(entry, version, word.epoch, [respond](bool claimed) {
                     answerWith(respond, claimed ? 200 : 503, "{}");
                 });
             });
}

void onCall(entry_state &entry, const call_message &message,
            const net::http_server::responder &respond)
{
    const microseconds wait = std::clamp<microseconds>(message.wait, 0, longestCallWait);
    handleCall(entry, message.call, steadyNow() + wait, [respond](const caller_answer &answer) {
        answerWith(respond, 200, encodeAnswer(answer));
    });
}

void onAdviceAsked(entry_state &entry, const cell::advice_order &order,
                   const net::http_server::responder &respond)
{
    entry.ports.advice(order, steadyNow() + order.expected + second,
                       [respond](const advice_result &result) {
                           answerWith(respond, 200, encodeAdviceResult(result));
                       });
}

template <typename Message, typename Handler>
void dispatch(entry_state &entry, const std::optional<Message> &message, Handler handle,
              const net::http_server::responder &respond)
{
    if (!message) {
        answerWith(respond, 400, "{}");
        return;
    }
    handle(entry, *message, respond);
}

void sendBeat(entry_state &entry, const std::string &name, const std::string &address,
              const std::string &body)
{
    sendPeer(entry, address, "/beat", body, beatPatience, true,
             [&entry, name, epoch = entry.epoch](const net::call_result &result) {
                 if (!entry.leaderState || entry.epoch != epoch) {
                     return;
                 }
                 const auto word = decodeMemberStatus(result.body);
                 int &missed = entry.leaderState->missedHeartbeats[name];
                 if (result.status != 200 || !word) {
                     if (++missed == 1) {
                         logEvent(entry, "member_silent", {{"member", name}});
                     }
                     if (missed > membersForgottenAfter) {
                         entry.members.erase(name);
                         entry.processorShares.erase(name);
                         entry.leaderState->membersChanged = true;
                         logEvent(entry, "member_forgotten", {{"member", name}});
                     }
                     return;
                 }
                 if (missed > 0) {
                     logEvent(entry, "member_back", {{"member", name}});
                 }
                 missed = 0;
                 if (word->epoch > epoch) {
                     recordScheduler(entry, word->epoch, {}, steadyNow());
                 } else {
                     entry.leaderState->confirmedAt = steadyNow();
                 }
             });
}

} // namespace

void sendPeer(entry_state &entry, const std::string &address, const std::string &path,
              std::string body, microseconds patience, bool idempotent,
              std::function<void(net::call_result)> done)
{
    net::http_call call;
    call.address = address;
    call.method = "POST";
    call.target = path;
    call.body = std::move(body);
    call.deadline = steadyNow() + patience;
    call.idempotent = idempotent;
    entry.client.send(std::move(call), std::move(done));
}

heartbeat_message makeHeartbeat(const entry_state &entry)
{
    heartbeat_message beat;
    beat.epoch = entry.epoch;
    beat.sender = self(entry);
    if (entry.leaderState && steadyNow() >= entry.leaderState->nextMemberListAt) {
        for (const auto &[name, address] : entry.members) {
            const auto share = entry.processorShares.find(name);
            beat.members.push_back(
                {name, address, share == entry.processorShares.end() ? 0 : share->second});
        }
    }
    // Before the rows are loaded nothing is known of the jobs that wait.
    if (entry.role == entry_role::scheduler) {
        for (const cell::queue_policy &queue : entry.config.queues) {
            beat.pending.emplace_back(queue.name,
                                      cell::pendingJobs(entry.leaderState->cell, queue.name));
        }
    }
    return beat;
}

void sendHeartbeats(entry_state &entry, timestamp now)
{
    entry.leaderState->nextHeartbeatAt = now + beatInterval;
    const std::string body = encodeHeartbeat(makeHeartbeat(entry));
    if (now >= entry.leaderState->nextMemberListAt) {
        entry.leaderState->nextMemberListAt = now + membersInterval;
    }
    const auto members = entry.members;
    for (const auto &[name, address] : members) {
        if (name != entry.settings.name) {
            sendBeat(entry, name, address, body);
        }
    }
}

void onPeerClosed(entry_state &entry, const std::string &peer)
{
    if (entry.role == entry_role::follower && !peer.empty() && peer == entry.heartbeatPeer) {
        // The scheduler has ended, or lost its connections: look at once.
        entry.heartbeatPeer.clear();
        suspectScheduler(entry);
    }
}

void servePeer(entry_state &entry, const net::http_request &request,
               const net::http_server::responder &respond)
{
    if (request.target == "/beat") {
        const auto take = [&request](entry_state &to, const heartbeat_message &beat,
                                     const net::http_server::responder &answer) {
            onBeat(to, beat, request.peer, answer);
        };
        dispatch(entry, decodeHeartbeat(request.body), take, respond);
    } else if (request.target == "/call") {
        dispatch(entry, decodeCall(request.body), onCall, respond);
    } else if (request.target == "/advice") {
        dispatch(entry, decodeAdviceOrder(request.body), onAdviceAsked, respond);
    } else if (request.target == "/hello") {
        dispatch(entry, decodeMemberStatus(request.body), onHello, respond);
    } else if (request.target == "/handover") {
        dispatch(entry, decodeMemberStatus(request.body), onHandover, respond);
    } else if (request.target == "/word") {
        answerWith(respond, 200, encodeMemberStatus(ownWord(entry)));
    } else {
        answerWith(respond, 404, "{}");
    }
}

} // namespace bramleygrade::entry
