/// Sends requests to the entries of a cell on loopback and checks every answer.
///
/// Each request carries a token that its answer must contain. With --unrepeatable each request has
/// an id, and one with an unknown outcome is retried through the next entry. Prints counts by
/// outcome and waiting times; with --verdict FILE writes `id outcome` lines, which
/// scripts/verdict.sh compares with the workers' ledgers. Exit code 1 if an answer was wrong or
/// incomplete.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

ABSL_FLAG(std::vector<std::string>, entries, {}, "HOST:PORT of the entries, loopback only");
ABSL_FLAG(std::string, service, "booking", "service to call");
ABSL_FLAG(std::string, team, "salon-a", "calling team");
ABSL_FLAG(int, count, 1000, "total number of requests");
ABSL_FLAG(int, threads, 16, "concurrent requests");
ABSL_FLAG(int, deadline_ms, 3000, "deadline of each attempt");
ABSL_FLAG(int, attempts, 6, "attempts for each request");
ABSL_FLAG(int, pause_ms, 0, "pause of each thread between two requests");
ABSL_FLAG(bool, unrepeatable, false, "give each request an id");
ABSL_FLAG(bool, own_ids, false, "generate ids locally instead of requesting them from the entry");
ABSL_FLAG(std::string, verdict, "", "output file for `id outcome` lines");

namespace bramleygrade {

namespace {

using monotonic_clock = std::chrono::steady_clock;

struct load_totals
{
    std::mutex mutex;
    std::vector<double> waits;
    /// Last reported outcome of each id.
    std::map<std::string, std::string> lastOutcomes;
    int done = 0;
    int notRun = 0;
    int mayHaveRun = 0;
    int unreachable = 0;
    int wrong = 0;
    int repeated = 0;
};

std::string makeRequestId(int number)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return absl::StrCat(now.count(), "-load-", number);
}

/// Returns an id issued by the entry, or a locally generated one if the entry does not answer.
std::string fetchRequestId(const std::string &entry, int number)
{
    const std::vector<std::string> parts = absl::StrSplit(entry, ':');
    httplib::Client client(parts.at(0), std::stoi(parts.at(1)));
    client.set_connection_timeout(1, 0);
    client.set_read_timeout(1, 0);
    const httplib::Result result = client.Get("/v1/request-id");
    return result && result->status == 200 ? result->body.substr(0, result->body.find('\n'))
                                           : makeRequestId(number);
}

/// Sends one attempt through one entry. Returns the outcome header, "not-sent" if no connection was
/// opened, or an empty string if the answer was lost.
std::string sendAttempt(const std::string &entry, const std::string &id, bool isRepeat,
                        const std::string &token, std::string &body)
{
    const std::vector<std::string> parts = absl::StrSplit(entry, ':');
    httplib::Client client(parts.at(0), std::stoi(parts.at(1)));
    client.set_connection_timeout(1, 0);
    client.set_read_timeout(absl::GetFlag(FLAGS_deadline_ms) / 1000 + 3, 0);
    httplib::Headers headers {
        {"Bramley-Team", absl::GetFlag(FLAGS_team)},
        {"Bramley-Deadline-Ms", std::to_string(absl::GetFlag(FLAGS_deadline_ms))}};
    if (!id.empty()) {
        headers.emplace("Bramley-Request-Id", id);
    }
    if (isRepeat) {
        headers.emplace("Bramley-Repeat", "true");
    }
    const std::string path = "/v1/services/" + absl::GetFlag(FLAGS_service) + "/call";
    const httplib::Result result = client.Post(path.c_str(), headers, token, "text/plain");
    if (!result) {
        return result.error() == httplib::Error::Connection ? "not-sent" : "";
    }
    body = result->body;
    return result->get_header_value("Bramley-Outcome");
}

void sendRequest(int number, const std::vector<std::string> &entries, load_totals &totals)
{
    const std::string token = absl::StrCat("token-", number, "-end");
    const bool isUnrepeatable = absl::GetFlag(FLAGS_unrepeatable);
    const auto startedAt = monotonic_clock::now();
    std::string id;
    std::string outcome;
    std::string body;
    bool isRepeat = false;
    int retryCount = 0;
    for (; retryCount < absl::GetFlag(FLAGS_attempts); ++retryCount) {
        const std::string &entry =
            entries[static_cast<std::size_t>(number + retryCount) % entries.size()];
        // "not-run" is final for an id, so the request is sent again with a new one.
        if (isUnrepeatable && !isRepeat) {
            id = absl::GetFlag(FLAGS_own_ids) ? absl::StrCat(makeRequestId(number), "-", retryCount)
                                              : fetchRequestId(entry, number);
        }
        outcome = sendAttempt(entry, id, isRepeat, token, body);
        isRepeat = isUnrepeatable && outcome != "not-run" && outcome != "not-sent";
        if (isUnrepeatable) {
            const std::lock_guard<std::mutex> lock(totals.mutex);
            totals.lastOutcomes[id] = outcome.empty() ? "unreachable" : outcome;
        }
        if (outcome == "done") {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    const std::chrono::duration<double, std::milli> elapsed = monotonic_clock::now() - startedAt;
    const std::lock_guard<std::mutex> lock(totals.mutex);
    totals.waits.push_back(elapsed.count());
    totals.repeated += retryCount > 0 ? 1 : 0;
    if (outcome == "done") {
        ++totals.done;
        totals.wrong += body.find(token) == std::string::npos ? 1 : 0;
    } else if (outcome == "not-run") {
        ++totals.notRun;
    } else if (outcome == "may-have-run") {
        ++totals.mayHaveRun;
    } else {
        ++totals.unreachable;
    }
}

double percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

int run()
{
    const std::vector<std::string> entries = absl::GetFlag(FLAGS_entries);
    for (const std::string &entry : entries) {
        if (entry.rfind("127.0.0.1:", 0) != 0) {
            std::cerr << "--entries: addresses must be on the loopback interface, 127.0.0.1:PORT"
                      << std::endl;
            return 2;
        }
    }
    if (entries.empty()) {
        std::cerr << "--entries: give at least one HOST:PORT" << std::endl;
        return 2;
    }
    load_totals totals;
    std::atomic<int> next {0};
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_threads)));
    const auto startedAt = monotonic_clock::now();
    for (int thread = 0; thread < absl::GetFlag(FLAGS_threads); ++thread) {
        threads.emplace_back([&] {
            for (int number = next++; number < absl::GetFlag(FLAGS_count); number = next++) {
                sendRequest(number, entries, totals);
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(absl::GetFlag(FLAGS_pause_ms)));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::chrono::duration<double> elapsed = monotonic_clock::now() - startedAt;
    std::sort(totals.waits.begin(), totals.waits.end());
    std::cout << "sent " << totals.waits.size() << " done " << totals.done << " not-run "
              << totals.notRun << " may-have-run " << totals.mayHaveRun << " unreachable "
              << totals.unreachable << " wrong " << totals.wrong << " repeated " << totals.repeated
              << "; ms p50 " << percentile(totals.waits, 0.5) << " p99 "
              << percentile(totals.waits, 0.99) << " max " << percentile(totals.waits, 1)
              << "; per second " << static_cast<double>(totals.waits.size()) / elapsed.count()
              << std::endl;
    if (!absl::GetFlag(FLAGS_verdict).empty()) {
        std::ofstream file(absl::GetFlag(FLAGS_verdict));
        for (const auto &[id, outcome] : totals.lastOutcomes) {
            file << id << ' ' << outcome << '\n';
        }
    }
    return totals.wrong == 0 ? 0 : 1;
}

} // namespace

} // namespace bramleygrade

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return bramleygrade::run();
}
