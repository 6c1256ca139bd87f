#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/authentication/admission.h"
#include "entry/authentication/confirmation_exchange.h"
#include "platform/platform.h"

namespace bramleygrade::testing {

using namespace bramleygrade::entry;

constexpr char jobId[] = "5c0e7a21d94b36f8";
constexpr char jobBody[] = R"({"spec":"x","steps":[{"count":1,"cpu":500}]})";

/// Returns a configuration row with the private queue `private`, the public queue `open`, the
/// queues in `more`, and the teams red and blue; `redKeys` is a JSON list.
inline stored_row makeRow(int version, const std::string &redKeys, const std::string &more = "")
{
    const std::string value = R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"open","host":"h","pathPrefix":"/open/","service":"s",)"
          R"("public":true})"
        + more + R"(],"tenants":[{"name":"red","apiKeys":)" + redKeys
        + R"(},{"name":"blue","apiKeys":["b1"]}]})";
    return {"op", "config", value, version, false};
}

constexpr char privateQueue[] =
    R"(,{"name":"private","host":"h","pathPrefix":"/p/","service":"s"})";

/// An entry that is not started, with a store that the test answers.
struct admission_fixture
{
    admission_fixture()
        : entry(loop, makeSettings())
    {
        platform_codec &codec = entry.ports.codec;
        codec.decode = platform::decodeCallerRequest;
        codec.encode = platform::encodeCallerAnswer;
        codec.decodeConfig = platform::decodeConfiguration;
        codec.configTable = "op";
        codec.configKey = "config";
        entry.ports.store.read = [this](const row_range &range, const read_limits &,
                                        const store_completion &done) {
            ++reads;
            if (range.table == "op" && !isConfigReadable) {
                pendingReads.push_back(done);
                return;
            }
            store_result result;
            result.outcome = store_outcome::done;
            for (const stored_row &row : rows) {
                if (row.table == range.table) {
                    result.rows.push_back(row);
                }
            }
            done(result);
        };
        entry.ports.store.write = [this](const table_write &, timestamp,
                                         const store_completion &done) { answerWrite = done; };
        applyConfigRow(entry, makeRow(2, R"(["r1","r2"])", privateQueue));
        confirmNow();
    }

    static cell_settings makeSettings()
    {
        cell_settings settings;
        settings.name = "entry-1";
        settings.peerAddress = "10.0.0.1:1";
        settings.logLinesPerSecond = 1'000;
        settings.revocationLimit = 5 * second;
        return settings;
    }

    void confirmNow() { confirmFromStore(entry, steadyNow(), entry.configRowVersion); }

    void lead()
    {
        entry.leaderState = std::make_unique<leader_state>();
        entry.role = entry_role::scheduler;
        cell::changeConfig(entry.leaderState->cell, entry.config);
    }

    /// Serves a caller's request. The response has status 0 while there is no answer.
    std::shared_ptr<net::http_response> serve(const std::string &method, const std::string &path,
                                              const net::header_list &headers)
    {
        net::http_request request;
        request.method = method;
        request.target = path;
        request.host = "h";
        request.headers = headers;
        request.body = method == "POST" ? jobBody : "";
        const auto response = std::make_shared<net::http_response>();
        response->status = 0;
        serveCaller(entry, request,
                    [response](const net::http_response &given) { *response = given; });
        return response;
    }

    std::shared_ptr<net::http_response> serve(const std::string &method, const std::string &path,
                                              const std::string &key)
    {
        return serve(method, path, net::header_list {{"Authorization", "Token " + key}});
    }

    static caller_call makeCall(call_kind kind, const std::string &key, std::int64_t version,
                                const std::string &queue = "private")
    {
        caller_call call;
        call.kind = kind;
        call.queue = queue;
        call.job = jobId;
        call.spec.steps.emplace_back();
        call.key = key;
        call.configVersion = version;
        return call;
    }

    /// Hands a forwarded call to the scheduler. The answer is null while there is none.
    std::shared_ptr<std::optional<caller_answer>> forward(const caller_call &call,
                                                          microseconds wait = second)
    {
        const auto answer = std::make_shared<std::optional<caller_answer>>();
        handleCall(entry, call, steadyNow() + wait,
                   [answer](const caller_answer &given) { *answer = given; });
        return answer;
    }

    answer_kind forwardedKind(call_kind kind, const std::string &key)
    {
        const auto answer = forward(makeCall(kind, key, entry.config.version));
        return *answer ? (*answer)->kind : answer_kind::unknown;
    }

    bool hasLogged(const std::string &text) const
    {
        return entry.log.pending.find(text) != std::string::npos;
    }

    /// Adds a job of the team that is stored.
    void addStoredJob(const std::string &team)
    {
        cell::job_spec spec = makeCall(call_kind::submit, "", 0).spec;
        spec.id = jobId;
        spec.queue = "private";
        spec.team = team;
        cell::scheduler &cell = entry.leaderState->cell;
        cell::acceptJob(cell, spec, *cell::findQueue(entry.config, "private"), steadyNow());
        cell::findJob(cell, jobId)->stored = true;
    }

    boost::asio::io_context loop;
    entry_state entry;
    std::vector<stored_row> rows;
    bool isConfigReadable = true;
    std::vector<store_completion> pendingReads;
    store_completion answerWrite;
    int reads = 0;
};

constexpr char jobPath[] = "/p/5c0e7a21d94b36f8";

} // namespace bramleygrade::testing
