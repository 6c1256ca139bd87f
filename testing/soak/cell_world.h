#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/http_client.h"
#include "table_store.h"
#include "worker.h"

/// \file
/// A small deployment around the entries: the table service, workers and clients.

namespace bramleygrade::soak {

struct entry_addresses
{
    std::string callers;
    std::string readiness;
};

struct world_settings
{
    std::vector<entry_addresses> entries;
    /// One for each entry.
    std::vector<std::string> storeAddresses;
    std::vector<std::string> peerAddresses;
    /// `peerLinks[from][to]`: where entry `from` reaches entry `to`.
    std::vector<std::vector<std::string>> peerLinks;
    /// For each worker one for each entry.
    std::vector<std::vector<std::string>> workerAddresses;
    /// The entries' process ids are in the files pid-0, pid-1 and so on here.
    std::string pidFolder;
};

/// A route of the configuration, which is a queue of jobs.
struct route
{
    std::string name;
    std::string host;
    std::string prefix;
    int priority = 0;
    int maxAttempts = 4;
    double slackFactor = 2.2;
    int latencyTargetMs = 1'000;
};

/// What a client knows of its job.
struct client_job
{
    std::string id;
    std::string queue;
    bool accepted = false;
    bool isCancelRequested = false;
    timestamp acceptedAt = 0;
    /// When the cancellation was acknowledged; 0: it was not.
    timestamp cancelledAt = 0;
    /// Answer to the newest question about its state, with the time.
    std::string state;
    timestamp stateAt = 0;
};

constexpr char serviceName[] = "agenda";

class cell_world
{
public:
    cell_world(boost::asio::io_context &loop, world_settings settings);

    /// Opens the ports. Returns an empty text or an error.
    std::string start(int workerCount, std::int64_t cpuMilli, const std::vector<route> &routes);
    /// Waits until all entries are ready and calls `run`; ends the process with 2 after 20 s.
    void whenReady(const std::function<void()> &run);
    void at(microseconds delay, const std::function<void()> &run);

    /// Submits a job of one step, with retries at other entries as the pages tell. `extra` and
    /// `jobExtra` are further fields of the step and of the job, each with a leading comma.
    void submit(const std::string &id, const std::string &queue, const step_behaviour &step,
                const std::string &extra = "", const std::string &jobExtra = "");
    void cancel(const std::string &id);
    void askState(const std::string &id);
    /// Asks each entry how many jobs of the queue are pending. The answers of entries that have
    /// been undisturbed for some seconds must not be too low.
    void askPending(const std::string &queue);
    /// Answers about the state of a job, or the number of pending ones, that were false.
    const std::vector<std::string> &falseAnswers() const { return m_falseAnswers; }
    /// Sends the signal to an entry's process. The script starts a process again that has ended.
    void signalEntry(std::size_t index, int signal);
    /// Ends the loop with the exit code.
    void finish(int exitCode, const std::string &verdict);

    int exitCode() const { return m_exitCode; }
    worker &workerAt(std::size_t index) { return *m_workers[index]; }
    std::size_t entryCount() const { return m_settings.entries.size(); }
    std::size_t workerCount() const { return m_workers.size(); }
    /// Returns the worker that runs the task, or null.
    worker *workerOf(const std::string &task);
    const run_book &book() const { return m_book; }
    client_job &job(const std::string &id) { return m_jobs[id]; }
    const std::map<std::string, client_job> &jobs() const { return m_jobs; }
    table_store &store() { return m_store; }
    peer_links &peers() { return m_peers; }

private:
    using answer_handler = std::function<void(int status, const std::string &body)>;

    void tick();
    void checkPending(const std::string &queue, std::size_t entry, timestamp askedAt,
                      std::int64_t pending);
    void send(const std::string &method, const std::string &id, const std::string &body,
              int retriesLeft, const answer_handler &done);

    boost::asio::io_context &m_loop;
    world_settings m_settings;
    peer_links m_peers;
    table_store m_store;
    run_book m_book;
    net::http_client m_client;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::map<std::string, route> m_routes;
    std::map<std::string, client_job> m_jobs;
    std::vector<std::string> m_falseAnswers;
    std::size_t m_nextEntry = 0;
    int m_exitCode = 2;
};

} // namespace bramleygrade::soak
