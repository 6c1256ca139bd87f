#define BOOST_TEST_MODULE hostile_answers
#include <boost/test/unit_test.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "hostile_peers.h"
#include "testing/soak/table_store.h"

using namespace bramleygrade;
using namespace bramleygrade::testing;

namespace {

// The crowd and the bounds. They were fixed before the limits of the client existed.
constexpr std::size_t mostBytesSent = 300'000'000;
constexpr int workerCount = 100;
constexpr int memoryLimitMb = 64;
constexpr long memoryBoundMb = 100;
constexpr long descriptorBound = 400;
constexpr auto storeTime = std::chrono::seconds(5);
constexpr auto workerTime = std::chrono::seconds(12);

/// Ports of one case; a closed one can't be opened again at once.
struct case_ports
{
    case_ports()
    {
        static std::uint16_t next = 23'000; // below the ephemeral ports
        for (std::uint16_t *port : {&callers, &ready, &peers, &store, &workers}) {
            *port = next++;
        }
    }

    std::uint16_t callers = 0;
    std::uint16_t ready = 0;
    std::uint16_t peers = 0;
    std::uint16_t store = 0;
    std::uint16_t workers = 0;
};

tcp::endpoint endpointOf(std::uint16_t port)
{
    return {boost::asio::ip::make_address(ownAddress()), port};
}

std::string address(std::uint16_t port)
{
    return ownAddress() + ":" + std::to_string(port);
}

/// A complete answer: a JSON object with a list of `value`, and an empty one that is required.
endless_answer listOf(const char *name, const std::string &member, const std::string &other,
                      const std::string &value, std::size_t values)
{
    std::string body = "{\"" + other + "\":[],\"" + member + "\":[" + value;
    for (std::size_t count = 1; count < values; ++count) {
        body += "," + value;
    }
    body += "]}";
    return {name,
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            filler};
}

// Within the limit of one answer.
const endless_answer storeAnswersOfManyValues[] = {
    listOf("numbers", "rows", "parts", "0", 7'500'000),
    listOf("objects", "rows", "parts", "{}", 5'000'000),
    listOf("texts", "rows", "parts", "\"\"", 5'000'000),
};
const endless_answer workerAnswersOfManyValues[] = {
    listOf("numbers", "running", "finished", "0", 2'000'000),
    listOf("objects", "running", "finished", "{}", 1'300'000),
    listOf("ends", "finished", "running", "{}", 1'300'000),
};

/// Writes the settings of an entry and returns the command that starts it.
std::vector<std::string> entryCommand(const case_ports &ports)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE_EQUAL(suite.argc, 2);
    const std::string path = "hostile-answers-" + std::to_string(getpid()) + ".conf";
    std::ofstream(path) << R"({"name": "edge-1", "failure_domain": "zone-1", "host": ")"
                        << ownAddress() << R"(", "caller_address": ")" << address(ports.callers)
                        << R"(", "ready_address": ")" << address(ports.ready)
                        << R"(", "peer_address": ")" << address(ports.peers)
                        << R"(", "store_address": ")" << address(ports.store)
                        << R"(", "advice_address": "127.0.0.1:9", "memory_limit_mb": )"
                        << memoryLimitMb << "}";
    return {suite.argv[1], "cell", "--settings", path};
}

/// Checks what must hold after the crowd, however long it takes.
void checkEntry(const started_program &entry, const case_ports &ports, const hostile_server &crowd,
                int leastAnswers)
{
    BOOST_TEST(crowd.answersBegun() >= leastAnswers);
    BOOST_REQUIRE(entry.lives());
    BOOST_TEST(entry.mostMemoryMb() < memoryBoundMb);
    BOOST_TEST(entry.openDescriptors() < descriptorBound);
    const std::string answer =
        exchange(endpointOf(ports.ready), "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST((answer.rfind("HTTP/1.1 200", 0) == 0 || answer.rfind("HTTP/1.1 503", 0) == 0));
}

void listWorkers(soak::table_store &store, const case_ports &ports)
{
    store.put("op", "config",
              {R"({"version": 7, "routes": [{"name": "q", "host": "q.test", "pathPrefix": "/q/",
            "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 1,
            "service": "agenda", "maxAttempts": 4, "slackFactor": 2.2}],
            "services": [{"name": "agenda", "healthPath": "/healthz", "maxConnections": 64,
            "enforceCapacity": false}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}})"});
    for (int number = 0; number < workerCount; ++number) {
        store.put("servers", "i-" + std::to_string(number),
                  {R"({"service": "agenda", "address": ")" + address(ports.workers)
                   + R"(", "zone": "zone-1", "version": "v1", "slots": 8, "state": "ready",
                     "coldRemainingMs": 0, "capacity": {"cpu": 4000, "memMb": 4096, "gpu": 0},
                     "labels": ["a", "r1-1"], "clockMs": 1000, "sequence": 1, "born": 1})"});
    }
}

void playStore(const endless_answer &answer)
{
    const case_ports ports;
    boost::asio::io_context loop;
    const hostile_server store(loop, endpointOf(ports.store), answer, mostBytesSent);
    const started_program entry(entryCommand(ports), std::string("hostile-store-") + answer.name);
    loop.run_for(storeTime);
    checkEntry(entry, ports, store, 1);
}

void playWorkers(const endless_answer &answer)
{
    const case_ports ports;
    boost::asio::io_context loop;
    const soak::peer_links peers(loop, {address(ports.peers)}, {{address(ports.peers)}});
    soak::table_store store(loop, peers);
    BOOST_REQUIRE_EQUAL(store.listen(address(ports.store)), "");
    listWorkers(store, ports);
    const hostile_server workers(loop, endpointOf(ports.workers), answer, mostBytesSent);
    const started_program entry(entryCommand(ports), std::string("hostile-workers-") + answer.name);
    loop.run_for(workerTime);
    checkEntry(entry, ports, workers, workerCount / 2);
}

} // namespace

// Guards against an entry that collects what its store sends without end.
BOOST_DATA_TEST_CASE(memory_of_an_entry_whose_store_answers_without_end, endlessAnswers, answer)
{
    playStore(answer);
}

// Guards against an entry that collects what many workers send without end, each within the limit
// of one answer.
BOOST_DATA_TEST_CASE(memory_of_an_entry_whose_workers_answer_without_end, endlessAnswers, answer)
{
    playWorkers(answer);
}

// Guards against an entry that holds many times the size of an answer of its store in its values.
BOOST_DATA_TEST_CASE(memory_of_an_entry_whose_store_answers_many_values, storeAnswersOfManyValues,
                     answer)
{
    playStore(answer);
}

// Guards against an entry that holds many times the size of workers' reports in their values.
BOOST_DATA_TEST_CASE(memory_of_an_entry_whose_workers_answer_many_values, workerAnswersOfManyValues,
                     answer)
{
    playWorkers(answer);
}
