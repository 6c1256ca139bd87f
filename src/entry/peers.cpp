#include <algorithm>

#include "entry/authentication/confirmation_exchange.h"
#include "entry/entry.h"
#include "entry/membership.h"

namespace bramleygrade::entry {

namespace {

constexpr microseconds heartbeatInterval = 150 * millisecond;
/// Interval between heartbeats that carry the member list; its size grows with the cell.
constexpr microseconds memberListInterval = 1 * second;
/// Interval between heartbeats that carry the numbers of pending jobs. Followers use them for a
/// second, so that one may be lost.
constexpr microseconds pendingInterval = 450 * millisecond;
constexpr microseconds heartbeatTimeout = 400 * millisecond;
/// Upper limit of a forwarded call's wait; equals `maxCallTimeout` in callers.cpp, the longest time
/// that callers may wait.
constexpr microseconds maxCallWait = 10 * second;
/// A member that misses more consecutive heartbeats than are sent in ten seconds is removed after
/// the next write.
constexpr int maxMissedHeartbeats = static_cast<int>(10 * second / heartbeatInterval);

void respondJson(const net::http_server::responder &respond, int status, std::string body)
{
    respond({status, {{"Content-Type", "application/json"}}, std::move(body)});
}

member_status ownStatus(const entry_state &entry)
{
    member_status memberStatus;
    memberStatus.sender = self(entry);
    memberStatus.epoch = entry.epoch;
    memberStatus.isScheduler = entry.leaderState != nullptr;
    memberStatus.isClaiming = entry.role == entry_role::claiming;
    memberStatus.schedulerSeenAgo = entry.leaderState ? 0
        : entry.schedulerSeenAt == distantPast        ? -1
                                                      : steadyNow() - entry.schedulerSeenAt;
    return memberStatus;
}

void onHeartbeat(entry_state &entry, const heartbeat_message &heartbeat, const std::string &peer,
                 const net::http_server::responder &respond)
{
    const timestamp now = steadyNow();
    if (heartbeat.epoch >= entry.epoch) {
        recordScheduler(entry, heartbeat.epoch, heartbeat.sender, now);
        entry.heartbeatPeer = peer;
        for (const member &other : heartbeat.members) {
            recordMember(entry, other);
        }
        if (heartbeat.pendingVersion != 0 || !heartbeat.pending.empty()) {
            entry.pending.clear();
            entry.pending.insert(heartbeat.pending.begin(), heartbeat.pending.end());
            entry.pendingVersion = heartbeat.pendingVersion;
            entry.pendingAt = now;
        }
        hearOfVersion(entry, heartbeat.configVersion, announcedVersionDelay);
    }
    respondJson(respond, 200, encodeMemberStatus(ownStatus(entry)));
}

void onHello(entry_state &entry, const member_status &memberStatus,
             const net::http_server::responder &respond)
{
    if (memberStatus.isClaiming && memberStatus.epoch >= entry.epoch) {
        entry.otherClaimAt = steadyNow();
    }
    if (entry.leaderState) {
        if (recordMember(entry, memberStatus.sender)) {
            entry.leaderState->membersChanged = true;
            entry.leaderState->nextMemberListAt = distantPast;
            logEvent(entry, "member_joined", {{"member", memberStatus.sender.name}});
        }
    }
    respondJson(respond, 200, encodeMemberStatus(ownStatus(entry)));
}

void onHandover(entry_state &entry, const member_status &memberStatus,
                const net::http_server::responder &respond)
{
    if (entry.leaderState || entry.stopping || memberStatus.epoch < entry.epoch) {
        respondJson(respond, 409, "{}");
        return;
    }
    if (memberStatus.headVersion > 0) {
        claimHead(entry, memberStatus.headVersion, memberStatus.epoch,
                  [respond](bool claimed) { respondJson(respond, claimed ? 200 : 503, "{}"); });
        return;
    }
    readHead(
        entry,
        [&entry, memberStatus, respond](const store_result &result,
                                        const std::optional<head_row> &head, std::int64_t version) {
            if (result.outcome != store_outcome::done || !head
                || head->epoch != memberStatus.epoch) {
                respondJson(respond, 503, "{}");
                return;
            }
            claimHead(entry, version, memberStatus.epoch,
                      [respond](bool claimed) { respondJson(respond, claimed ? 200 : 503, "{}"); });
        });
}

void onCall(entry_state &entry, const call_message &message,
            const net::http_server::responder &respond)
{
    const microseconds wait = std::clamp<microseconds>(message.wait, 0, maxCallWait);
    handleCall(entry, message.call, steadyNow() + wait, [respond](const caller_answer &answer) {
        respondJson(respond, 200, encodeAnswer(answer));
    });
}

void onConfirmQuery(entry_state &entry, const confirm_query &query,
                    const net::http_server::responder &respond)
{
    confirm_reply reply = answerConfirmQuery(entry, query);
    respond({200,
             {{"Content-Type", "application/json"}},
             encodeConfirmReply(reply),
             std::move(reply.whileServed)});
}

void onAdviceRequest(entry_state &entry, const cell::advice_order &order,
                     const net::http_server::responder &respond)
{
    entry.ports.advice(order, steadyNow() + order.expected + second,
                       [respond](const advice_result &result) {
                           respondJson(respond, 200, encodeAdviceResult(result));
                       });
}

template <typename Message, typename Handler>
void dispatch(entry_state &entry, const std::optional<Message> &message, Handler handle,
              const net::http_server::responder &respond)
{
    if (!message) {
        respondJson(respond, 400, "{}");
        return;
    }
    handle(entry, *message, respond);
}

void sendHeartbeat(entry_state &entry, const std::string &name, const std::string &address,
                   const std::string &body)
{
    sendPeer(
        entry, address, "/beat", body, heartbeatTimeout, true,
        [&entry, name, epoch = entry.epoch, sentAt = steadyNow()](const net::call_result &result) {
            if (!entry.leaderState || entry.epoch != epoch) {
                return;
            }
            const auto memberStatus = decodeMemberStatus(result.body);
            int &missed = entry.leaderState->missedHeartbeats[name];
            if (result.status != 200 || !memberStatus) {
                if (++missed == 1) {
                    logEvent(entry, "member_silent", {{"member", name}});
                }
                if (missed == maxMissedHeartbeats + 1) {
                    entry.leaderState->membersChanged = true; // the write allows to forget it
                }
                confirmByMember(entry, name, sentAt, member_reply::none);
                return;
            }
            if (missed > 0) {
                logEvent(entry, "member_back", {{"member", name}});
            }
            missed = 0;
            if (memberStatus->epoch > epoch) {
                recordScheduler(entry, memberStatus->epoch, {}, steadyNow());
            } else {
                confirmByMember(entry, name, sentAt,
                                memberStatus->isClaiming ? member_reply::claiming
                                                         : member_reply::follows);
            }
        });
}

} // namespace

void forgetSilentMembers(entry_state &entry)
{
    auto &missedHeartbeats = entry.leaderState->missedHeartbeats;
    for (auto it = missedHeartbeats.begin(); it != missedHeartbeats.end();) {
        if (it->second <= maxMissedHeartbeats) {
            ++it;
            continue;
        }
        entry.members.erase(it->first);
        entry.processorShares.erase(it->first);
        entry.leaderState->membersChanged = true;
        logEvent(entry, "member_forgotten", {{"member", it->first}});
        it = missedHeartbeats.erase(it);
    }
}

void countPeerBytes(entry_state &entry, const std::string &target, const char *direction,
                    std::size_t bytes)
{
    static const std::set<std::string> messages {"/beat",  "/call",     "/confirm", "/advice",
                                                 "/hello", "/handover", "/word"};
    const std::string message = messages.count(target) > 0 ? target.substr(1) : "other";
    const std::string label = std::string("direction=\"") + direction + "\"}";
    entry.metrics.counters["peer_bytes_total{" + label] += bytes;
    entry.metrics.counters["peer_message_bytes_total{message=\"" + message + "\"," + label] +=
        bytes;
}

void sendPeer(entry_state &entry, const std::string &address, const std::string &path,
              std::string body, microseconds timeout, bool idempotent,
              std::function<void(net::call_result)> done)
{
    net::http_call call;
    call.address = address;
    call.target = path;
    call.body = std::move(body);
    call.deadline = steadyNow() + timeout;
    call.idempotent = idempotent;
    sendPeer(entry, std::move(call), std::move(done));
}

void sendPeer(entry_state &entry, net::http_call call, std::function<void(net::call_result)> done)
{
    const net::duty_scope scope(&entry.meter, dutyOfPeerPath(call.target));
    call.method = "POST";
    ++entry.metrics.counters["peer_calls_total{side=\"client\"}"];
    countPeerBytes(entry, call.target, "sent", call.body.size());
    const std::string target = call.target;
    entry.client.send(std::move(call),
                      [&entry, target, done = std::move(done)](const net::call_result &result) {
                          countPeerBytes(entry, target, "received", result.receivedBytes);
                          done(result);
                      });
}

heartbeat_message makeHeartbeat(const entry_state &entry)
{
    heartbeat_message heartbeat;
    heartbeat.epoch = entry.epoch;
    heartbeat.sender = self(entry);
    if (entry.leaderState && steadyNow() >= entry.leaderState->nextMemberListAt) {
        for (const auto &[name, address] : entry.members) {
            const auto share = entry.processorShares.find(name);
            heartbeat.members.push_back(
                {name, address, share == entry.processorShares.end() ? 0 : share->second});
        }
    }
    heartbeat.configVersion = entry.config.requiresKeys ? entry.config.version : 0;
    // The pending jobs are not known before the rows are loaded.
    if (entry.role == entry_role::scheduler && steadyNow() >= entry.leaderState->nextPendingAt) {
        heartbeat.pendingVersion = entry.config.version;
        for (const auto &[queue, count] : cell::countPendingByQueue(entry.leaderState->cell)) {
            if (count > 0) {
                heartbeat.pending.emplace_back(queue, count);
            }
        }
    }
    return heartbeat;
}

void sendHeartbeats(entry_state &entry, timestamp now)
{
    entry.leaderState->nextHeartbeatAt = now + heartbeatInterval;
    const std::string body = encodeHeartbeat(makeHeartbeat(entry));
    if (now >= entry.leaderState->nextMemberListAt) {
        entry.leaderState->nextMemberListAt = now + memberListInterval;
    }
    if (now >= entry.leaderState->nextPendingAt) {
        entry.leaderState->nextPendingAt = now + pendingInterval;
    }
    const auto members = entry.members;
    for (const auto &[name, address] : members) {
        if (name != entry.settings.name) {
            sendHeartbeat(entry, name, address, body);
        }
    }
}

void announceClaim(entry_state &entry)
{
    const std::string body = encodeMemberStatus(ownStatus(entry));
    const auto members = entry.members;
    for (const auto &[name, address] : members) {
        if (name != entry.settings.name && name != entry.scheduler.name) {
            sendPeer(entry, address, "/hello", body, headTimeout, true,
                     [](const net::call_result &) {});
        }
    }
}

void onPeerClosed(entry_state &entry, const std::string &peer)
{
    if (entry.role == entry_role::follower && !peer.empty() && peer == entry.heartbeatPeer) {
        // The scheduler has ended or lost its connections; it is probed without delay.
        entry.heartbeatPeer.clear();
        suspectScheduler(entry);
    }
}

void servePeer(entry_state &entry, const net::http_request &request,
               const net::http_server::responder &respond)
{
    if (request.target == "/beat") {
        const auto handleHeartbeat = [&request](entry_state &to, const heartbeat_message &heartbeat,
                                                const net::http_server::responder &answer) {
            onHeartbeat(to, heartbeat, request.peer, answer);
        };
        dispatch(entry, decodeHeartbeat(request.body), handleHeartbeat, respond);
    } else if (request.target == "/call") {
        dispatch(entry, decodeCall(request.body), onCall, respond);
    } else if (request.target == "/confirm") {
        dispatch(entry, decodeConfirmQuery(request.body), onConfirmQuery, respond);
    } else if (request.target == "/advice") {
        dispatch(entry, decodeAdviceOrder(request.body), onAdviceRequest, respond);
    } else if (request.target == "/hello") {
        dispatch(entry, decodeMemberStatus(request.body), onHello, respond);
    } else if (request.target == "/handover") {
        dispatch(entry, decodeMemberStatus(request.body), onHandover, respond);
    } else if (request.target == "/word") {
        respondJson(respond, 200, encodeMemberStatus(ownStatus(entry)));
    } else {
        respondJson(respond, 404, "{}");
    }
}

} // namespace bramleygrade::entry
