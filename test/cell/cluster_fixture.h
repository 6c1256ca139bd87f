#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>

#include "entry/entry.h"
#include "entry/liveness.h"
#include "testing/cell/memory_table.h"

namespace bramleygrade::testing {

/// Encodes an entry's answer to a caller as a status code.
inline net::http_response encodeStatus(const entry::caller_answer &answer)
{
    net::http_response response;
    switch (answer.kind) {
    case entry::answer_kind::accepted:
    case entry::answer_kind::state:
        response.status = 200;
        break;
    case entry::answer_kind::refused:
        response.status = 503;
        break;
    case entry::answer_kind::no_such_job:
        response.status = 410;
        break;
    default:
        response.status = 504;
    }
    return response;
}

/// Decodes a caller's request: POST /ID submits a job of one task, GET /ID asks for its state.
inline entry::decoded_request decodeTestRequest(const net::http_request &request)
{
    entry::decoded_request decoded;
    decoded.isCall = true;
    decoded.call.queue = "queue";
    decoded.call.job = request.target.substr(1);
    decoded.call.kind =
        request.method == "POST" ? entry::call_kind::submit : entry::call_kind::state;
    cell::step_spec step;
    step.demand = {1'000, 100, 0};
    step.estimate = second;
    decoded.call.spec.steps.push_back(step);
    return decoded;
}

/// An entry with its own event loops, which a test can stop running: that of the entry (`blocked`,
/// as by long work) or all of them (`frozen`).
struct cluster_member
{
    boost::asio::io_context loop;
    boost::asio::io_context livenessLoop;
    std::unique_ptr<entry::entry_state> entry;
    std::unique_ptr<entry::liveness_responder> livenessResponder;
    bool blocked = false;
    bool frozen = false;

    bool runs() const { return !blocked && !frozen; }
};

/// Entries on the loopback interface that share a `memory_table`. There are no workers, so jobs
/// stay queued.
class cluster_fixture
{
public:
    explicit cluster_fixture(int entries = 3)
    {
        for (int index = 0; index < entries; ++index) {
            add("entry-" + std::to_string(index + 1));
        }
    }

    /// Starts another entry. The first error of all starts is kept in `startError`.
    cluster_member &add(const std::string &name, std::int64_t processorMilli = 250)
    {
        members.push_back(std::make_unique<cluster_member>());
        cluster_member &added = *members.back();
        entry::cell_settings settings;
        settings.name = name;
        settings.callerAddress = nextAddress();
        settings.readyAddress = nextAddress();
        settings.peerAddress = nextAddress();
        settings.logLinesPerSecond = 0;
        settings.shutdownGrace = 6 * second;
        settings.processorMilli = processorMilli;

        added.entry = std::make_unique<entry::entry_state>(added.loop, settings);
        entry::entry_state &entry = *added.entry;
        entry.ports.store = table.makePort(name, added.loop);
        entry.ports.codec.decode = [](const net::http_request &request, const cell::cell_config &) {
            return decodeTestRequest(request);
        };
        entry.ports.codec.encode = encodeStatus;
        entry.ports.codec.workerTable = "registry";
        entry.ports.codec.configTable = "configuration";
        entry.config.version = 1;
        cell::queue_policy queue;
        queue.name = "queue";
        entry.config.queues.push_back(queue);
        added.livenessResponder =
            std::make_unique<entry::liveness_responder>(added.livenessLoop, entry.loopState);
        std::string error = entry::startEntry(entry);
        error = error.empty() ? added.livenessResponder->listen(settings.peerAddress) : error;
        startError = startError.empty() ? error : startError;
        return added;
    }

    /// Runs the event loops of all entries that are not frozen until the condition holds. Returns
    /// false if it does not hold within 20 s.
    template <typename Condition>
    bool runUntil(Condition holds)
    {
        const auto timeoutAt = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!holds()) {
            if (std::chrono::steady_clock::now() > timeoutAt) {
                return false;
            }
            for (const auto &member : members) {
                runOnce(*member);
            }
            clientLoop.restart();
            clientLoop.run_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    /// Runs the event loops for this long.
    void runFor(microseconds time)
    {
        const timestamp until = entry::steadyNow() + time;
        runUntil([until] { return entry::steadyNow() >= until; });
    }

    /// Returns the scheduler among the entries whose event loop runs; null if there is none.
    cluster_member *leader()
    {
        for (const auto &member : members) {
            if (member->runs() && member->entry->role == entry::entry_role::scheduler) {
                return member.get();
            }
        }
        return nullptr;
    }

    /// Returns true if one entry is the scheduler and all other running entries follow it.
    bool hasAgreedLeader()
    {
        const cluster_member *lead = leader();
        if (lead == nullptr) {
            return false;
        }
        for (const auto &member : members) {
            const entry::entry_state &entry = *member->entry;
            if (member->runs() && !entry.stopping
                && (entry.epoch != lead->entry->epoch
                    || entry.scheduler.name != lead->entry->settings.name)) {
                return false;
            }
        }
        return true;
    }

    /// Sends a caller's request; writes the status of the answer to `status` on arrival.
    void call(const cluster_member &to, const char *method, const std::string &job, int &status)
    {
        net::http_call request;
        request.address = to.entry->settings.callerAddress;
        request.method = method;
        request.target = "/" + job;
        request.deadline = entry::steadyNow() + 10 * second;
        client.send(std::move(request),
                    [&status](const net::call_result &result) { status = result.status; });
    }

    /// Sends a caller's request and returns the status of the answer; -1 if none comes in time.
    int callAndWait(const cluster_member &to, const char *method, const std::string &job)
    {
        int status = -1;
        call(to, method, job, status);
        runUntil([&] { return status != -1; });
        return status;
    }

    memory_table table;
    std::vector<std::unique_ptr<cluster_member>> members;
    std::string startError;

private:
    static void runOnce(cluster_member &member)
    {
        if (member.frozen) {
            return;
        }
        member.livenessLoop.restart();
        member.livenessLoop.poll();
        if (!member.blocked) {
            member.loop.restart();
            member.loop.poll();
        }
    }

protected:
    /// Returns an unused address. Concurrent test processes begin in different port ranges, which
    /// two of them may share.
    std::string nextAddress()
    {
        constexpr int firstPort = 10'000;
        constexpr int portsPerProcess = 250;
        constexpr int processes = 48;
        static int used = 0;
        using boost::asio::ip::tcp;
        for (;;) {
            const int port = firstPort + (getpid() % processes) * portsPerProcess + used++;
            tcp::acceptor probe(clientLoop);
            boost::system::error_code error;
            probe.open(tcp::v4(), error);
            probe.set_option(boost::asio::socket_base::reuse_address(true), error);
            probe.bind({boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)},
                       error);
            if (!error) {
                return "127.0.0.1:" + std::to_string(port);
            }
        }
    }

    boost::asio::io_context clientLoop;
    net::http_client client {clientLoop, entry::steadyNow};
};

} // namespace bramleygrade::testing
