/// Sends requests to the entries of a cell on loopback and checks every answer.
///
/// Each request carries a token that its answer must hold. With --unrepeatable each has an id, and
/// one whose fate is unclear is repeated through the next entry. Prints counts by outcome and
/// waiting times; with --verdict FILE writes `id outcome` lines, to be held against the workers'
/// ledgers. Exit code 1 where an answer was wrong or incomplete.

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
ABSL_FLAG(int, count, 1000, "requests in all");
ABSL_FLAG(int, threads, 16, "requests at a time");
ABSL_FLAG(int, deadline_ms, 3000, "deadline of each attempt");
ABSL_FLAG(int, attempts, 6, "attempts for each request");
ABSL_FLAG(int, pause_ms, 0, "pause of each thread between two requests");
ABSL_FLAG(bool, unrepeatable, false, "give each request an id");
ABSL_FLAG(bool, own_ids, false, "make up ids instead of asking the entry for one");
ABSL_FLAG(std::string, verdict, "", "file for `id outcome` lines");

namespace bramleygrade {

namespace {

using steady = std::chrono::steady_clock;

struct load_totals
{
    std::mutex mutex;
    std::vector<double> waits;
    /// What was said last about each id.
    std::map<std::string, std::string> verdicts;
    int done = 0;
    int notRun = 0;
    int mayHaveRun = 0;
    int unreachable = 0;
    int wrong = 0;
    int repeated = 0;
};

std::string newId(int number)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return absl::StrCat(now.count(), "-load-", number);
}

/// An id from the entry, or one of our own where it does not answer.
std::string askForId(const std::string &entry, int number)
{
    const std::vector<std::string> parts = absl::StrSplit(entry, ':');
    httplib::Client client(parts.at(0), std::stoi(parts.at(1)));
    client.set_connection_timeout(1, 0);
    client.set_read_timeout(1, 0);
    const httplib::Result result = client.Get("/v1/request-id");
    return result && result->status == 200 ? result->body.substr(0, result->body.find('\n'))
                                           : newId(number);
}

/// One attempt through one entry: the outcome header, "not-sent" where no connection opened, or
/// empty where the answer was lost.
std::string attempt(const std::string &entry, const std::string &id, bool isRepeat,
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

void sendOne(int number, const std::vector<std::string> &entries, load_totals &totals)
{
    const std::string token = absl::StrCat("token-", number, "-end");
    const bool isUnrepeatable = absl::GetFlag(FLAGS_unrepeatable);
    const auto startedAt = steady::now();
    std::string id;
    std::string outcome;
    std::string body;
    bool isRepeat = false;
    int tries = 0;
    for (; tries < absl::GetFlag(FLAGS_attempts); ++tries) {
        const std::string &entry =
            entries[static_cast<std::size_t>(number + tries) % entries.size()];
        // "Not run" is final for an id: the request is sent again under a new one.
        if (isUnrepeatable && !isRepeat) {
            id = absl::GetFlag(FLAGS_own_ids) ? absl::StrCat(newId(number), "-", tries)
                                              : askForId(entry, number);
        }
        outcome = attempt(entry, id, isRepeat, token, body);
        isRepeat = isUnrepeatable && outcome != "not-run" && outcome != "not-sent";
        if (isUnrepeatable) {
            const std::lock_guard<std::mutex> lock(totals.mutex);
            totals.verdicts[id] = outcome.empty() ? "unreachable" : outcome;
        }
        if (outcome == "done") {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    const std::chrono::duration<double, std::milli> took = steady::now() - startedAt;
    const std::lock_guard<std::mutex> lock(totals.mutex);
    totals.waits.push_back(took.count());
    totals.repeated += tries > 0 ? 1 : 0;
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
            std::cerr << "--entries: only addresses of 127.0.0.1 are loaded" << std::endl;
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
    const auto startedAt = steady::now();
    for (int thread = 0; thread < absl::GetFlag(FLAGS_threads); ++thread) {
        threads.emplace_back([&] {
            for (int number = next++; number < absl::GetFlag(FLAGS_count); number = next++) {
                sendOne(number, entries, totals);
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(absl::GetFlag(FLAGS_pause_ms)));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::chrono::duration<double> took = steady::now() - startedAt;
    std::sort(totals.waits.begin(), totals.waits.end());
    std::cout << "sent " << totals.waits.size() << " done " << totals.done << " not-run "
              << totals.notRun << " may-have-run " << totals.mayHaveRun << " unreachable "
              << totals.unreachable << " wrong " << totals.wrong << " repeated " << totals.repeated
              << "; ms p50 " << percentile(totals.waits, 0.5) << " p99 "
              << percentile(totals.waits, 0.99) << " max " << percentile(totals.waits, 1)
              << "; per second " << static_cast<double>(totals.waits.size()) / took.count()
              << std::endl;
    if (!absl::GetFlag(FLAGS_verdict).empty()) {
        std::ofstream file(absl::GetFlag(FLAGS_verdict));
        for (const auto &[id, outcome] : totals.verdicts) {
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
