#define BOOST_TEST_MODULE deep_input
#include <boost/test/unit_test.hpp>

#include <csignal>

#include <pthread.h>
#include <sys/wait.h>

#include "cluster_fixture.h"
#include "entry/json_text.h"
#include "entry/rows.h"
#include "platform/platform.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;
using bramleygrade::testing::cluster_fixture;

namespace {

/// A stack smaller than the default of 8 MB, as threads of other C libraries have.
constexpr std::size_t smallStackBytes = 1U << 20U;

std::string repeat(const std::string &text, std::size_t times)
{
    std::string out;
    out.reserve(text.size() * times);
    for (std::size_t index = 0; index < times; ++index) {
        out += text;
    }
    return out;
}

/// JSON texts of about 1 MB, the most that a caller may send, nested as deeply as they can be.
struct deep_text
{
    const char *name;
    std::string text;
};

const std::vector<deep_text> &deepTexts()
{
    static const std::vector<deep_text> texts = {
        {"arrays that are not closed", R"({"x":)" + repeat("[", 1'000'000)},
        {"arrays", R"({"x":)" + repeat("[", 500'000) + repeat("]", 500'000) + "}"},
        {"objects", repeat(R"({"x":)", 150'000) + "1" + repeat("}", 150'000)},
    };
    return texts;
}

/// Runs `check` on a thread with a small stack, in a process of its own, which may crash. Returns
/// "" if the check returns true, otherwise how the process ended.
std::string runOnSmallStack(const std::function<bool()> &check)
{
    const pid_t child = fork();
    if (child == 0) {
        std::signal(SIGSEGV, SIG_DFL); // without the handler of the test framework
        pthread_attr_t attributes;
        pthread_attr_init(&attributes);
        pthread_attr_setstacksize(&attributes, smallStackBytes);
        pthread_t thread {};
        const auto run = [](void *argument) -> void * {
            _exit((*static_cast<const std::function<bool()> *>(argument))() ? 0 : 1);
        };
        pthread_create(&thread, &attributes, run, const_cast<std::function<bool()> *>(&check));
        pthread_join(thread, nullptr);
    }
    int status = 0;
    waitpid(child, &status, 0);
    if (WIFSIGNALED(status)) {
        return "the process ended by signal " + std::to_string(WTERMSIG(status));
    }
    return WEXITSTATUS(status) == 0 ? "" : "wrong result";
}

/// A server on the loopback interface that answers all requests with `body`, and its client.
struct answering_server : cluster_fixture
{
    explicit answering_server(std::string body)
        : cluster_fixture(0)
        , server(clientLoop,
                 [body = std::move(body)](const net::http_request &,
                                          const net::http_server::responder &respond) {
                     respond({200, {}, body});
                 })
    {
        settings.storeAddress = nextAddress();
        settings.adviceAddress = settings.storeAddress;
        isListening = server.listen(settings.storeAddress).empty();
    }

    net::http_client &http() { return client; }

    net::http_server server;
    cell_settings settings;
    bool isListening = false;
};

bool isStoreAnswerRejected(const std::string &text)
{
    answering_server store(text);
    const store_port port = platform::createStorePort(store.settings, store.http());
    std::optional<store_outcome> outcome;
    port.read({"servers", "", "", false}, {steadyNow() + 10 * second, distantFuture, {}},
              [&](const store_result &result) { outcome = result.outcome; });
    return store.isListening && store.runUntil([&] { return outcome.has_value(); })
        && outcome == store_outcome::unanswered;
}

bool isAdviceRejected(const std::string &text)
{
    answering_server service(text);
    const auto advise = platform::createAdviceFunction(service.settings, service.http());
    std::optional<bool> isAnswered;
    advise({}, steadyNow() + 10 * second,
           [&](const advice_result &result) { isAnswered = result.answered; });
    return service.isListening && service.runUntil([&] { return isAnswered.has_value(); })
        && !*isAnswered;
}

bool isWorkerAnswerRejected(const std::string &text)
{
    answering_server worker(text);
    const worker_port port = platform::createWorkerPort(worker.http());
    std::optional<cell::order_outcome> outcome;
    port.poll(worker.settings.storeAddress, {}, steadyNow() + 10 * second,
              [&](cell::order_outcome result, const cell::worker_report &) { outcome = result; });
    return worker.isListening && worker.runUntil([&] { return outcome.has_value(); })
        && outcome == cell::order_outcome::unanswered;
}

cell::cell_config makeConfig()
{
    cell::cell_config config;
    platform::decodeConfiguration({"op", "config",
                                   R"({"version":7,"routes":[{"name":"queue",)"
                                   R"("host":"127.0.0.1","pathPrefix":"/p/","service":"s"}]})",
                                   1, false},
                                  config);
    return config;
}

bool isCallerBodyRejected(const std::string &text)
{
    net::http_request request;
    request.method = "POST";
    request.host = "127.0.0.1";
    request.target = "/p/0123456789abcdef";
    request.body = text;
    return platform::decodeCallerRequest(request, makeConfig()).answer.kind
        == answer_kind::bad_request;
}

struct input_door
{
    const char *name;
    /// Returns whether the text was rejected as it should be.
    bool (*isRejected)(const std::string &text);
};

const input_door doors[] = {
    {"row of a worker",
     [](const std::string &text) {
         cell::worker_entry worker;
         return !platform::decodeWorkerRow({"servers", "i-1", text, 3, false}, worker);
     }},
    {"row of the configuration",
     [](const std::string &text) {
         cell::cell_config config;
         return !platform::decodeConfiguration({"op", "config", text, 3, false}, config);
     }},
    {"configuration that an operator checks",
     [](const std::string &text) { return !platform::checkConfiguration(text); }},
    {"settings of an entry",
     [](const std::string &text) { return !parseCellSettings("settings", text); }},
    {"body of a caller", isCallerBodyRejected},
    {"heartbeat of a peer", [](const std::string &text) { return !decodeHeartbeat(text); }},
    {"call that a peer forwards", [](const std::string &text) { return !decodeCall(text); }},
    {"answer of a peer", [](const std::string &text) { return !decodeAnswer(text); }},
    {"status of a peer", [](const std::string &text) { return !decodeMemberStatus(text); }},
    {"advice order of a peer", [](const std::string &text) { return !decodeAdviceOrder(text); }},
    {"advice result of a peer", [](const std::string &text) { return !decodeAdviceResult(text); }},
    {"question of a peer", [](const std::string &text) { return !decodeConfirmQuery(text); }},
    {"confirmation of a peer", [](const std::string &text) { return !decodeConfirmReply(text); }},
    {"row of the members", [](const std::string &text) { return decodeMembers(text).empty(); }},
    {"row of the scheduler", [](const std::string &text) { return !decodeHead(text); }},
    {"row of the known workers",
     [](const std::string &text) { return decodeWorkers(text).empty(); }},
    {"row of an ended job", [](const std::string &text) { return !decodeEnded(text); }},
    {"row of a job's progress",
     [](const std::string &text) {
         cell::job_state job;
         return !decodeProgress(text, job);
     }},
    {"answer of a worker", isWorkerAnswerRejected},
    {"answer of the store", isStoreAnswerRejected},
    {"answer of the advisory service", isAdviceRejected},
    {"datagram of the liveness probe",
     [](const std::string &text) { return !decodeLiveness(text); }},
};

/// One entry on the loopback interface that decodes callers' requests as on the platform.
struct platform_entry : cluster_fixture
{
    platform_entry()
        : cluster_fixture(1)
    {
        entry_state &entry = *members.front()->entry;
        entry.ports.codec.decode = platform::decodeCallerRequest;
        entry.ports.codec.encode = platform::encodeCallerAnswer;
        entry.config = makeConfig();
    }

    /// Returns the status of the answer, 0 if there is none.
    int callAndWait(const std::string &address, const std::string &method,
                    const std::string &target, const std::string &body)
    {
        net::http_call request;
        request.address = address;
        request.method = method;
        request.target = target;
        request.body = body;
        request.deadline = steadyNow() + 10 * second;
        std::optional<int> status;
        client.send(std::move(request),
                    [&](const net::call_result &result) { status = result.status; });
        runUntil([&] { return status.has_value(); });
        return status.value_or(0);
    }

    /// Returns whether the entry still answers a valid request.
    bool serves()
    {
        return startError.empty() && runUntil([this] { return hasAgreedLeader(); })
            && callAndWait(members.front()->entry->settings.callerAddress, "GET", "/p/", "") == 200;
    }
};

} // namespace

// Guards against entries that end by a stack overflow when they read deeply nested JSON, which
// anyone who writes to the registry or calls an entry can send.
BOOST_AUTO_TEST_CASE(lost_entry_that_reads_deeply_nested_input)
{
    for (const input_door &door : doors) {
        for (const deep_text &deep : deepTexts()) {
            const std::string problem = runOnSmallStack([&] { return door.isRejected(deep.text); });
            BOOST_TEST(problem == "", door.name << ", " << deep.name << ": " << problem);
        }
    }
}

BOOST_AUTO_TEST_CASE(lost_entry_whose_caller_sends_deeply_nested_input)
{
    for (const deep_text &deep : deepTexts()) {
        const auto check = [&] {
            platform_entry cluster;
            const cell_settings &settings = cluster.members.front()->entry->settings;
            return cluster.serves()
                && cluster.callAndWait(settings.callerAddress, "POST", "/p/0123456789abcdef",
                                       deep.text)
                == 400
                && cluster.serves();
        };
        const std::string problem = runOnSmallStack(check);
        BOOST_TEST(problem == "", deep.name << ": " << problem);
    }
}

BOOST_AUTO_TEST_CASE(lost_entry_whose_peer_sends_deeply_nested_input)
{
    for (const char *target :
         {"/beat", "/call", "/confirm", "/advice", "/hello", "/handover", "/word"}) {
        const auto check = [&] {
            platform_entry cluster;
            const cell_settings &settings = cluster.members.front()->entry->settings;
            for (const deep_text &deep : deepTexts()) {
                cluster.callAndWait(settings.peerAddress, "POST", target, deep.text);
            }
            return cluster.serves();
        };
        const std::string problem = runOnSmallStack(check);
        BOOST_TEST(problem == "", target << ": " << problem);
    }
}

// Guards against a bound that rejects what is neither deep nor has too many values.
BOOST_AUTO_TEST_CASE(only_depth_and_number_of_values_are_bounded)
{
    struct test_case
    {
        const char *name;
        std::string text;
        bool isReadable;
    };
    const test_case testCases[] = {
        {"64 levels", R"({"x":)" + repeat("[", 63) + repeat("]", 63) + "}", true},
        {"65 levels", R"({"x":)" + repeat("[", 64) + repeat("]", 64) + "}", false},
        {"64 objects", repeat(R"({"x":)", 64) + "1" + repeat("}", 64), true},
        {"65 objects", repeat(R"({"x":)", 65) + "1" + repeat("}", 65), false},
        {"many values side by side", R"({"x":[)" + repeat("[[],{}],", 100'000) + "1]}", true},
        {"500,000 values", R"({"x":[)" + repeat("0,", 499'996) + "0]}", true},
        {"500,001 values", R"({"x":[)" + repeat("0,", 499'997) + "0]}", false},
        {"brackets in a text", R"({"x":")" + repeat("[", 100'000) + R"("})", true},
        {"text after the object", R"({"x":1} 2)", false},
        {"no object", "[1]", false},
        {"no text", "", false},
    };
    for (const test_case &testCase : testCases) {
        rapidjson::Document document;
        BOOST_TEST(parseObject(testCase.text, document) == testCase.isReadable, testCase.name);
    }
}
