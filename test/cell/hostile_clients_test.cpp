// Starts the program given as argument for each case: hostile_clients_test -- PROGRAM.
#define BOOST_TEST_MODULE hostile_clients
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <sys/resource.h>
#include <sys/wait.h>

#include "crowd_client.h"

namespace {

constexpr std::size_t memoryLimitMb = 64;
constexpr std::size_t mebibyte = 1U << 20U;
constexpr int patienceMs = 20'000;

enum port { callers, readiness, peers, metrics };

/// Request of an ordinary client of each port.
std::string ordinaryRequest(port to)
{
    if (to == callers) {
        return "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n"
            + std::string(1'000, 'a');
    }
    return "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// A cell entry without a store, as a process of its own on an address of its own.
struct entry_process
{
    explicit entry_process(rlim_t descriptors)
    {
        const auto self = static_cast<unsigned>(getpid());
        host = "127." + std::to_string(1 + self / 65'536 % 128) + '.'
            + std::to_string(self / 256 % 256) + '.' + std::to_string(self % 256);
        folder = std::filesystem::temp_directory_path() / ("hostile-" + std::to_string(self));
        std::filesystem::create_directories(folder);
        writeSettings();
        start(descriptors);
        for (int attempt = 0; attempt < 200; ++attempt) {
            const int socket = crowd::connectTo(address(metrics));
            if (socket >= 0) {
                close(socket);
                break;
            }
            usleep(50'000);
        }
    }

    ~entry_process()
    {
        if (isAlive()) {
            kill(id, SIGKILL);
            waitpid(id, nullptr, 0);
        }
        std::filesystem::remove_all(folder);
    }

    entry_process(const entry_process &) = delete;
    entry_process &operator=(const entry_process &) = delete;

    std::string address(port of) const { return host + ':' + std::to_string(22'000 + of); }

    void writeSettings() const
    {
        std::ofstream(folder / "entry.conf")
            << R"({"name": "entry", "host": ")" << host << R"(", "caller_address": ")"
            << address(callers) << R"(", "ready_address": ")" << address(readiness)
            << R"(", "peer_address": ")" << address(peers) << R"(", "metrics_address": ")"
            << address(metrics) << R"(", "store_address": ")" << host
            << R"(:9", "memory_limit_mb": )" << memoryLimitMb << "}\n";
    }

    void start(rlim_t descriptors)
    {
        const auto &suite = boost::unit_test::framework::master_test_suite();
        BOOST_REQUIRE_MESSAGE(suite.argc > 1, "give the program as argument");
        const std::string settings = folder / "entry.conf";
        id = fork();
        if (id == 0) {
            const rlimit limit {descriptors, descriptors};
            setrlimit(RLIMIT_NOFILE, &limit);
            const int log = open((folder / "log").c_str(), O_CREAT | O_WRONLY, 0600);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            execl(suite.argv[1], suite.argv[1], "cell", "--settings", settings.c_str(), nullptr);
            _exit(127);
        }
    }

    bool isAlive() const { return waitpid(id, nullptr, WNOHANG) == 0; }

    std::size_t peakMemoryKb() const
    {
        std::ifstream status("/proc/" + std::to_string(id) + "/status");
        std::string word;
        std::size_t peak = 0;
        while (status >> word && word != "VmHWM:") { }
        status >> peak;
        return peak;
    }

    std::size_t openDescriptors() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator files("/proc/" + std::to_string(id) + "/fd",
                                                        error);
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    /// Returns the bytes that clients have sent and the process has not read.
    std::size_t unreadBytes() const
    {
        std::ifstream table("/proc/net/tcp");
        const std::uint32_t own = inet_addr(host.c_str());
        std::size_t unread = 0;
        std::string line;
        while (std::getline(table, line)) {
            unsigned address = 0;
            unsigned state = 0;
            unsigned queued = 0;
            const int found = std::sscanf(line.c_str(), "%*d: %x:%*x %*x:%*x %x %*x:%x", &address,
                                          &state, &queued);
            constexpr unsigned established = 1;
            unread += found == 3 && address == own && state == established ? queued : 0;
        }
        return unread;
    }

    /// Waits until the process has read everything or gets no further.
    void waitUntilRead() const
    {
        std::size_t before = 0;
        for (int same = 0; same < 20;) {
            usleep(50'000);
            const std::size_t unread = unreadBytes();
            if (unread == 0) {
                return;
            }
            same = unread == before ? same + 1 : 0;
            before = unread;
        }
    }

    pid_t id = -1;
    std::string host;
    std::filesystem::path folder;
};

struct hostile_crowd
{
    const char *name;
    port to;
    std::size_t connections;
    crowd::stream what;
};

std::ostream &operator<<(std::ostream &out, const hostile_crowd &given)
{
    static const char *const names[] = {"callers", "readiness", "peers", "metrics"};
    return out << given.name << ", " << names[given.to];
}

const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string withLength(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/// A header of as many fields as fit, before a body that does not come.
std::string manyFields()
{
    std::string text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n";
    while (text.size() < 16'000) {
        text += "a:\r\n";
    }
    return text + "\r\n";
}

const std::string trailerLine = "a: " + std::string(59, 'b') + "\r\n";

const hostile_crowd memoryCrowds[] = {
    {"trailers", callers, 20, {chunked + "0\r\n", trailerLine, 8 * mebibyte}},
    {"trailers", readiness, 20, {chunked + "0\r\n", trailerLine, 8 * mebibyte}},
    {"trailers", peers, 20, {chunked + "0\r\n", trailerLine, 8 * mebibyte}},
    {"trailers", metrics, 20, {chunked + "0\r\n", trailerLine, 8 * mebibyte}},
    {"a trailer line", callers, 20, {chunked + "0\r\na: ", "b", 8 * mebibyte}},
    {"a trailer line", peers, 20, {chunked + "0\r\na: ", "b", 8 * mebibyte}},
    {"a chunk extension", callers, 20, {chunked + "5;a=", "b", 8 * mebibyte}},
    {"a chunk extension", readiness, 20, {chunked + "5;a=", "b", 8 * mebibyte}},
    {"an extension of the last chunk", callers, 20, {chunked + "0;a=", "b", 8 * mebibyte}},
    {"an extension of the last chunk", metrics, 20, {chunked + "0;a=", "b", 8 * mebibyte}},
    {"a chunk size", callers, 20, {chunked + "0", "0", 8 * mebibyte}},
    {"a chunk size", peers, 20, {chunked + "0", "0", 8 * mebibyte}},
    {"unfinished bodies", callers, 120, {withLength(mebibyte), "b", mebibyte}},
    {"unfinished chunks", callers, 120, {chunked + "fff00\r\n", "b", mebibyte - 256}},
    {"unfinished bodies", peers, 10, {withLength(16 * mebibyte), "b", 16 * mebibyte}},
    {"unfinished bodies", readiness, 400, {withLength(262'144), "b", 262'144}},
    {"unfinished bodies", metrics, 400, {withLength(262'144), "b", 262'144}},
    {"many fields", callers, 400, {manyFields(), "", 0}},
    {"many fields", peers, 400, {manyFields(), "", 0}},
};

/// A request whose body is one JSON object with a list of `value` as its only member.
crowd::stream listOf(const std::string &path, const std::string &member, const std::string &value,
                     std::size_t values)
{
    std::string body = "{\"" + member + "\":[" + value;
    for (std::size_t count = 1; count < values; ++count) {
        body += "," + value;
    }
    body += "]}";
    return {"POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body,
            "", 0};
}

/// Complete requests within the limits of the peers' port.
const hostile_crowd valueCrowds[] = {
    {"numbers", peers, 1, listOf("/beat", "known", "0", 3'500'000)},
    {"objects", peers, 1, listOf("/beat", "known", "{}", 2'300'000)},
    {"lists", peers, 1, listOf("/advice", "workers", "[0]", 1'700'000)},
    {"texts", peers, 1, listOf("/advice", "workers", "\"\"", 2'300'000)},
};

const hostile_crowd descriptorCrowds[] = {
    {"idle connections", callers, 1'100, {"", "", 0}},
    {"idle connections", readiness, 1'100, {"", "", 0}},
    {"idle connections", peers, 1'100, {"", "", 0}},
    {"idle connections", metrics, 1'100, {"", "", 0}},
    {"headers that never end", callers, 1'100, {"GET / HTTP/1.1\r\nHost: ", "", 0}},
};

void raiseOwnDescriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

/// Plays `given` against a process that may have `descriptors` open, and checks that it lives, that
/// its memory stays under its limit and its descriptors under `mostOpen`, and that each port
/// answers an ordinary request as before.
void play(const hostile_crowd &given, rlim_t descriptors, std::size_t mostOpen)
{
    raiseOwnDescriptorLimit();
    entry_process entry(descriptors);
    std::vector<std::string> before;
    for (const port each : {callers, readiness, peers, metrics}) {
        before.push_back(crowd::ask(entry.address(each), ordinaryRequest(each), patienceMs));
        BOOST_REQUIRE_EQUAL(before.back().substr(0, 9), "HTTP/1.1 ");
    }
    std::vector<crowd::connection> clients =
        crowd::open(entry.address(given.to), given.connections);
    crowd::sendAll(clients, given.what);
    entry.waitUntilRead();
    for (const port each : {callers, readiness, peers, metrics}) {
        const std::string answer =
            crowd::ask(entry.address(each), ordinaryRequest(each), patienceMs);
        // The metrics themselves differ.
        const std::size_t compared = each == metrics ? 15 : std::string::npos;
        BOOST_TEST(answer.substr(0, compared) == before[each].substr(0, compared), "port " << each);
    }
    BOOST_TEST(entry.isAlive());
    BOOST_TEST(entry.peakMemoryKb() > 0U);
    BOOST_TEST(entry.peakMemoryKb() <= memoryLimitMb * 1'024);
    BOOST_TEST(entry.openDescriptors() <= mostOpen);
    BOOST_TEST_MESSAGE(given << ": peak " << entry.peakMemoryKb() / 1'024 << " MB, "
                             << entry.openDescriptors() << " descriptors");
    crowd::closeAll(clients);
}

} // namespace

// Guards against a process that collects what clients send without end, or the unfinished requests
// of many.
BOOST_DATA_TEST_CASE(memory_filled_by_requests_that_never_end,
                     boost::unit_test::data::make(memoryCrowds), given)
{
    play(given, 8'000, 8'000 * 15 / 100);
}

// Guards against a process that holds many times the size of a request in its values.
BOOST_DATA_TEST_CASE(memory_filled_by_requests_of_many_values,
                     boost::unit_test::data::make(valueCrowds), given)
{
    play(given, 8'000, 8'000 * 15 / 100);
}

// Guards against connections that take the descriptors kept for calls of workers and the store, or
// all of them.
BOOST_DATA_TEST_CASE(descriptors_taken_by_idle_connections,
                     boost::unit_test::data::make(descriptorCrowds), given)
{
    play(given, 1'000, 1'000 * 15 / 100);
}
