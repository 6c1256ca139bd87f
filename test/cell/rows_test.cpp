#define BOOST_TEST_MODULE rows
#include <boost/test/unit_test.hpp>

#include <set>

#include "cell/workers/worker_list.h"
#include "cell_fixture.h"
#include "entry/entry_settings.h"
#include "entry/metrics.h"
#include "entry/rows.h"

using namespace bramleygrade;
using bramleygrade::testing::cell_fixture;

BOOST_AUTO_TEST_CASE(a_job_is_unchanged_after_encoding_and_decoding)
{
    cell::job_state job;
    cell::step_spec step = cell_fixture::makeStep(3, 1'500);
    step.after = {};
    step.gang = true;
    step.sameRack = true;
    step.checkpointing = true;
    step.requiredLabel = "label";
    step.preferredRack = "r1-3";
    step.maxPerWorker = 2;
    step.maxUnavailable = 1;
    cell::step_spec next = cell_fixture::makeStep(1, 200);
    next.after = {0};
    next.longRunning = true;
    job.spec = cell_fixture::makeJob("0123456789abcdef", {step, next});
    job.spec.payload = "text with \"quotes\" and \n lines";
    job.spec.occurrences = 3;
    job.policy.service = "booking";
    job.policy.maxAttempts = 4;
    job.acceptedEpoch = 7;
    std::int64_t wall = 0;
    const auto read = entry::decodeJob(job.spec.id, entry::encodeJob(job, 99), wall);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(wall == 99);
    BOOST_TEST(read->acceptedEpoch == 7);
    BOOST_TEST(read->policy.maxAttempts == 4);
    BOOST_TEST(read->spec.payload == job.spec.payload);
    BOOST_TEST(entry::encodeJob(*read, 99) == entry::encodeJob(job, 99));
}

// Guards against a row that outgrew the store's limit: the store refused every write with it, so
// that no end of any job was stored any more.
BOOST_AUTO_TEST_CASE(lost_jobs_beside_one_whose_progress_is_too_large_for_a_row)
{
    constexpr std::size_t maxRowBytes = 65'536;
    struct row
    {
        const char *name;
        int occurrences;
        /// The occurrences that are completed, of each so many.
        int completedOf;
        int tasks;
        bool checkpoints;
    };
    for (const row &given : {row {"no occurrence is completed", 100, 0, 1, false},
                             row {"a long schedule, none has begun", 20'000, 0, 1, false},
                             row {"a long schedule, all but one completed", 20'000, 1, 1, false},
                             row {"a long schedule, some not completed", 1'600, 20, 1, false},
                             row {"a wide step", 0, 0, 100'000, false},
                             row {"a wide step with checkpoints", 0, 0, 2'000, true}}) {
        BOOST_TEST_CONTEXT(given.name)
        {
            cell::job_state job;
            job.spec = cell_fixture::makeJob("a", {cell_fixture::makeStep(given.tasks, 1)});
            job.spec.occurrences = given.occurrences;
            const int last = std::max(given.occurrences, 1);
            for (int number = 0; number < last; ++number) {
                cell::occurrence_state &occurrence = cell::ensureOccurrence(job, number);
                auto &step = occurrence.steps[0];
                const bool isOpen = given.completedOf == 0 || number == last - 1
                    || (given.completedOf > 1 && number % given.completedOf == 0);
                for (std::size_t index = 0; index < step.tasks.size(); ++index) {
                    step.tasks[index].done = !isOpen || index % 3 == 1;
                    step.tasks[index].checkpoint = given.checkpoints ? "0000000123456789" : "";
                    step.doneCount += step.tasks[index].done ? 1 : 0;
                }
                occurrence.completed = !isOpen;
                occurrence.stepsDone = isOpen ? 0 : 1;
                job.begun = job.begun || !isOpen;
                job.occurrencesCompleted += isOpen ? 0 : 1;
            }
            const std::vector<std::string> encoded = entry::encodeProgress(job).rows;
            BOOST_TEST(encoded.size() <= entry::maxProgressRows);
            for (const std::string &row : encoded) {
                BOOST_TEST(row.size() <= maxRowBytes);
            }
            cell::job_state read;
            read.spec = job.spec;
            BOOST_REQUIRE(entry::decodeProgress(encoded, read));
            BOOST_TEST(read.occurrencesCompleted == job.occurrencesCompleted);
            BOOST_TEST(read.ordered);
            BOOST_TEST(read.begun == job.begun);
            for (const auto &[number, occurrence] : job.occurrences) {
                const auto &before = occurrence.steps[0];
                const bool isRetired = cell::contains(read.completed, number);
                BOOST_TEST(isRetired == (occurrence.completed && given.occurrences > 0));
                if (isRetired) {
                    continue;
                }
                const auto &after = cell::ensureOccurrence(read, number).steps[0];
                BOOST_TEST(read.occurrences.at(number).completed == occurrence.completed);
                BOOST_TEST(after.doneCount == before.doneCount);
                const bool isSame =
                    std::equal(before.tasks.begin(), before.tasks.end(), after.tasks.begin(),
                               [](const auto &a, const auto &b) { return a.done == b.done; });
                BOOST_TEST(isSame);
            }
        }
    }
}

namespace {

/// What a row of progress has to tell of each task of a job.
struct progress_case
{
    const char *name;
    int occurrences;
    std::vector<int> tasks;
    /// The tasks whose index is a multiple are done; 0: none.
    int doneOf;
    int failures;
    std::size_t checkpointBytes;
    int crashes;
    std::string lifeOfWorker;
};

cell::job_state makeProgress(const progress_case &given)
{
    cell::job_state job;
    for (const int count : given.tasks) {
        job.spec.steps.push_back(cell_fixture::makeStep(count, 1));
    }
    job.spec.id = "a";
    job.spec.occurrences = given.occurrences;
    job.begun = true;
    for (int number = 0; number < std::max(given.occurrences, 1); ++number) {
        for (cell::step_state &step : cell::ensureOccurrence(job, number).steps) {
            for (std::size_t index = 0; index < step.tasks.size(); ++index) {
                cell::task_state &task = step.tasks[index];
                const bool isLast = index + 1 == step.tasks.size();
                task.done = given.doneOf > 0 && !isLast
                    && index % static_cast<std::size_t>(given.doneOf) == 0;
                step.doneCount += task.done ? 1 : 0;
                for (int attempt = 1; !task.done && attempt <= given.failures; ++attempt) {
                    task.failedAttempts.insert(7'000'000 + attempt);
                }
                task.checkpoint = std::string(task.done ? 0 : given.checkpointBytes, '\x02');
                for (int crash = 1; !task.done && crash <= given.crashes; ++crash) {
                    task.crashedLives.insert(given.lifeOfWorker + std::to_string(crash));
                }
            }
        }
    }
    return job;
}

} // namespace

// Guards against rows of progress that outgrow the store's limit, or rows that no write takes
// together: the write was refused and repeated, with the changes of all jobs (review case 9).
BOOST_AUTO_TEST_CASE(acks_progress_that_is_larger_than_a_row)
{
    constexpr std::size_t maxRowBytes = 65'536;
    const std::string longLife = std::string(200, '\x01') + "@1790000000000";
    for (const progress_case &given :
         {progress_case {"a small job", 0, {4, 4}, 2, 1, 16, 1, "i-1@1790000000000"},
          progress_case {"a wide step of failures", 0, {10'000}, 0, 3, 0, 0, ""},
          progress_case {"a wide step of many failures", 0, {10'000}, 2, 40, 0, 0, ""},
          progress_case {"checkpoints of a wide step", 0, {10'000}, 2, 0, 1'024, 0, ""},
          progress_case {"crashes of a wide step", 0, {3'000}, 2, 2, 16, 4, longLife},
          progress_case {"several wide steps", 0, {2'500, 2'500, 2'500, 2'500}, 3, 2, 16, 0, ""},
          progress_case {"occurrences that are partly done", 2'700, {3}, 2, 1, 16, 0, ""},
          progress_case {"occurrences that have failed", 8'192, {1}, 0, 3, 0, 0, ""}}) {
        BOOST_TEST_CONTEXT(given.name)
        {
            const cell::job_state job = makeProgress(given);
            const entry::encoded_progress encoded = entry::encodeProgress(job);
            BOOST_TEST(encoded.rows.size() <= entry::maxProgressRows);
            BOOST_TEST(encoded.itemsLeftOut == 0U);
            BOOST_TEST(entry::progressRowCount(encoded.rows.front()) == encoded.rows.size());
            std::size_t bytes = 0;
            for (const std::string &row : encoded.rows) {
                BOOST_TEST(row.size() <= maxRowBytes);
                bytes += row.size();
            }
            BOOST_TEST(bytes <= std::size_t {640'000});
            cell::job_state read;
            read.spec = job.spec;
            BOOST_REQUIRE(entry::decodeProgress(encoded.rows, read));
            BOOST_TEST(read.ordered);
            BOOST_TEST(read.begun);
            std::size_t checkpointsMissing = 0;
            std::size_t differences = 0;
            for (const auto &[number, occurrence] : job.occurrences) {
                const auto &after = cell::ensureOccurrence(read, number);
                for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                    differences +=
                        after.steps[step].doneCount == occurrence.steps[step].doneCount ? 0 : 1;
                    for (std::size_t index = 0; index < occurrence.steps[step].tasks.size();
                         ++index) {
                        const cell::task_state &expected = occurrence.steps[step].tasks[index];
                        const cell::task_state &actual = after.steps[step].tasks[index];
                        const bool isSame = expected.done == actual.done
                            && expected.failedAttempts.size() == actual.failedAttempts.size()
                            && expected.crashedLives.size() == actual.crashedLives.size();
                        differences += isSame ? 0 : 1;
                        checkpointsMissing += expected.checkpoint == actual.checkpoint ? 0 : 1;
                    }
                }
            }
            BOOST_TEST(differences == 0U);
            BOOST_TEST(checkpointsMissing == encoded.checkpointsLeftOut);
        }
    }
}

// A row of another job, or one that was changed by hand, must not change what it does not name.
BOOST_AUTO_TEST_CASE(items_of_progress_that_name_no_task_are_skipped)
{
    for (const char *items :
         {R"("partial":[[9,0,"*"],[0,9,"*"],[-1,0,"*"],[0],[],7,"x",[0,0]])",
          R"("failed":[[0,0,99,1,5],[0,0,-1,1],[0,0],["a","b","c"]])",
          R"("saved":[[0,0,4,"c"],[0,9223372036854775807,0,"c"]],"gangs":[[0],[1,0,3]])",
          R"("crashes":[[0,0,5,["a"],[],""],[0,0,"x"]],"parked":[{"done":"11","ranges":[[0,0]]}])",
          R"("parked":7,"completed":"x","failed":{})"}) {
        cell::job_state job;
        job.spec = cell_fixture::makeJob("a", {cell_fixture::makeStep(4, 1)});
        BOOST_TEST(
            entry::decodeProgress(std::string(R"({"begun":true,"rows":1,)") + items + "}", job),
            items);
        for (const cell::task_state &task : cell::ensureOccurrence(job, 0).steps[0].tasks) {
            BOOST_TEST(!task.done, items);
            BOOST_TEST(task.failedAttempts.empty(), items);
            BOOST_TEST(task.checkpoint.empty(), items);
        }
    }
}

// Such a job is refused when it is submitted.
BOOST_AUTO_TEST_CASE(lost_jobs_beside_one_whose_submission_is_too_large_for_a_row)
{
    cell::job_spec spec = cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1)});
    BOOST_TEST(entry::fitsJobRow(spec, {}));
    spec.payload = std::string(65'536, 'x');
    BOOST_TEST(!entry::fitsJobRow(spec, {}));
    spec.payload.clear();
    spec.steps.resize(2'000, cell_fixture::makeStep(1, 1));
    BOOST_TEST(!entry::fitsJobRow(spec, {}));
}

BOOST_AUTO_TEST_CASE(progress_is_unchanged_after_encoding_and_decoding)
{
    cell::job_state job;
    job.spec = cell_fixture::makeJob("a", {cell_fixture::makeStep(3, 1)});
    auto &step = cell::ensureOccurrence(job, 0).steps[0];
    step.tasks[1].done = true;
    step.doneCount = 1;
    step.tasks[2].failedAttempts = {1, 1001};
    step.tasks[2].checkpoint = "c0ffee";
    step.tasks[0].crashedLives = {"worker-1", "worker-2"};
    step.tasks[0].attributedCrashes = {"worker-2"};
    step.tasks[0].trialLife = "worker-3";
    step.gangFailedAttempts = {2};
    job.begun = true;
    cell::job_state read;
    read.spec = job.spec;
    BOOST_REQUIRE(entry::decodeProgress(entry::encodeProgress(job).rows, read));
    const auto &decodedStep = read.occurrences.at(0).steps[0];
    BOOST_TEST(read.begun);
    BOOST_TEST(decodedStep.doneCount == 1);
    BOOST_TEST(decodedStep.tasks[1].done);
    BOOST_TEST((decodedStep.tasks[2].failedAttempts == std::set<int> {1, 1001}));
    BOOST_TEST(decodedStep.tasks[2].checkpoint == "c0ffee");
    BOOST_TEST(
        (decodedStep.tasks[0].crashedLives == std::set<std::string> {"worker-1", "worker-2"}));
    BOOST_TEST((decodedStep.tasks[0].attributedCrashes == std::set<std::string> {"worker-2"}));
    BOOST_TEST(decodedStep.tasks[0].trialLife == "worker-3");
    BOOST_TEST(decodedStep.tasks[2].crashedLives.empty());
    BOOST_TEST((decodedStep.gangFailedAttempts == std::set<int> {2}));
}

// An entry of a former release, which may lead during an upgrade, stores progress without the
// field.
BOOST_AUTO_TEST_CASE(progress_shows_whether_the_job_has_begun)
{
    struct row
    {
        const char *value;
        bool begun;
    };
    for (const row &given : {row {R"({"begun":true,"occurrences":[]})", true},
                             row {R"({"begun":false,"occurrences":[]})", false},
                             row {R"({"occurrences":[]})", true}}) {
        cell::job_state job;
        BOOST_REQUIRE(entry::decodeProgress(given.value, job));
        BOOST_TEST(job.begun == given.begun, given.value);
        BOOST_TEST(entry::showsBegin(given.value) == given.begun, given.value);
    }
    BOOST_TEST(!entry::showsBegin("{"));
}

BOOST_AUTO_TEST_CASE(unreadable_values_are_rejected)
{
    const char *values[] = {"", "{", "[]", "7", "{\"steps\":[]}", "{\"steps\":7}", "\xff\xfe"};
    for (const char *value : values) {
        std::int64_t wall = 0;
        BOOST_TEST(!entry::decodeJob("a", value, wall).has_value(), value);
        cell::job_state job;
        BOOST_TEST(!entry::decodeProgress(value, job), value);
        BOOST_TEST(entry::decodeMembers(value).size() <= 1U, value);
        BOOST_TEST(entry::decodeWorkers(value).empty(), value);
        BOOST_TEST(!entry::decodeAdviceResult(value).has_value(), value);
    }
}

// A step that names a step that does not exist made the scheduler write outside its memory, and a
// negative count ended the process.
BOOST_AUTO_TEST_CASE(process_ended_by_an_impossible_step)
{
    const char *steps[] = {
        R"([{"count":1,"after":[0]}])",
        R"([{"count":1,"after":[1]},{"count":1}])",
        R"([{"count":1,"after":[-1]}])",
        R"([{"count":1,"after":[7000000]}])",
        R"([{"count":-1}])",
        R"([{"count":0}])",
        R"([{"count":2000000000}])",
        R"([{"count":1,"cpu":-5}])",
        R"([])",
    };
    for (const char *text : steps) {
        BOOST_TEST_CONTEXT(text)
        {
            const std::string spec = std::string(R"({"queue":"q","steps":)") + text + "}";
            std::int64_t wall = 0;
            BOOST_TEST(!entry::decodeJob("a", spec, wall).has_value());
            const std::string call = R"({"kind":0,"queue":"q","job":"a","spec":)" + spec + "}";
            BOOST_TEST(!entry::decodeCall(call).has_value());
        }
    }
    const std::string withoutSpec = R"({"kind":0,"queue":"q","job":"a"})";
    BOOST_TEST(!entry::decodeCall(withoutSpec).has_value());
}

BOOST_AUTO_TEST_CASE(messages_are_unchanged_after_encoding_and_decoding)
{
    entry::call_message message;
    message.wait = 1'500 * millisecond;
    entry::caller_call &call = message.call;
    call.kind = entry::call_kind::submit;
    call.queue = "queue";
    call.job = "a";
    call.spec = cell_fixture::makeJob("a", {cell_fixture::makeStep(2, 5)});
    const auto read = entry::decodeCall(entry::encodeCall(message));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->wait == message.wait);
    BOOST_TEST(read->call.spec.steps.at(0).count == 2);
    entry::caller_answer answer;
    answer.kind = entry::answer_kind::refused;
    answer.retryAfter = second;
    answer.reason = "why";
    const auto decodedAnswer = entry::decodeAnswer(entry::encodeAnswer(answer));
    BOOST_REQUIRE(decodedAnswer.has_value());
    BOOST_TEST((decodedAnswer->kind == answer.kind));
    BOOST_TEST(decodedAnswer->retryAfter == second);
    BOOST_TEST(decodedAnswer->reason == "why");
}

BOOST_AUTO_TEST_CASE(settings_errors_name_the_line_and_the_remedy)
{
    const std::string validPrefix =
        "{\n\"name\":\"e\",\n\"host\":\"h\",\n\"caller_address\":\"h:1\",\n"
        "\"ready_address\":\"h:2\",\n\"peer_address\":\"h:3\",\n"
        "\"store_address\":\"h:4\",\n// comment\n\"longest_lease_ms\": ";
    struct settings_case
    {
        std::string text;
        std::string expected;
    };
    const settings_case cases[] = {
        {validPrefix + "6000}", ""},
        {validPrefix + "\"long\"}", "f:9: 'longest_lease_ms' must be a number"},
        {validPrefix + "5}", "f:9: 'longest_lease_ms' must be a number from 1000"},
        {validPrefix + "6000", "f:9:"},
        {validPrefix + "6000,\n\"separate_clashing_tasks\": false}", ""},
        {validPrefix + "6000,\n\"separate_clashing_tasks\": \"no\"}",
         "f:10: 'separate_clashing_tasks' must be true or false"},
        {validPrefix + "6000,\n\"worker_speeds\": false}", ""},
        {validPrefix + "6000,\n\"worker_speeds\": 1}",
         "f:10: 'worker_speeds' must be true or false"},
        {"{\n\"name\":\"e\"\n}", "'host' is missing or not a text; add it"},
        {"[]", "must be one JSON object"},
    };
    for (const settings_case &testCase : cases) {
        const auto settings = entry::parseCellSettings("f", testCase.text);
        const std::string message = settings ? "" : settings.error().message;
        BOOST_TEST((testCase.expected.empty()
                        ? message.empty()
                        : message.find(testCase.expected) != std::string::npos),
                   "expected '" << testCase.expected << "', got '" << message << "'");
    }
}

BOOST_AUTO_TEST_CASE(metrics_are_exposed_as_text)
{
    entry::entry_metrics metrics;
    ++metrics.counters["calls_total{answer=\"refused\"}"];
    entry::observeLatency(metrics, "caller_seconds", 3 * millisecond);
    entry::observeLatency(metrics, "caller_seconds", 10 * second);
    const std::string text = entry::exposeMetrics(metrics);
    const char *lines[] = {
        "# TYPE bramleygrade_calls_total counter", "bramleygrade_calls_total{answer=\"refused\"} 1",
        "bramleygrade_caller_seconds_bucket{le=\"0.005\"} 1",
        "bramleygrade_caller_seconds_bucket{le=\"+Inf\"} 2", "bramleygrade_caller_seconds_count 2"};
    for (const char *line : lines) {
        BOOST_TEST((text.find(line) != std::string::npos), "missing: " << line << " in\n" << text);
    }
}

// A scheduler that took over took a worker's current life for the one that its predecessor had
// used.
BOOST_AUTO_TEST_CASE(budget_stored_worker_without_its_life)
{
    std::map<std::string, cell::worker_state> workers;
    workers["a"].entry.id = "a";
    workers["a"].life.born = 1'790'000'000'000;
    workers["a"].listRow = 0;
    workers["b"].entry.id = "b";
    workers["b"].listRow = 0;
    workers["c"].entry.id = "c";
    workers["c"].listRow = 1;
    workers["d"].entry.id = "d"; // in no row
    const auto decoded = entry::decodeWorkers(entry::encodeWorkerRow(workers, 0));
    BOOST_REQUIRE(decoded.size() == 2U);
    BOOST_TEST(decoded[0].born == 1'790'000'000'000);
    BOOST_TEST(decoded[1].born == 0);
    struct test_case
    {
        const char *row;
        std::int64_t born;
    };
    const test_case testCases[] = {
        {R"(["a","h:1","s"])", 0}, // as an earlier version wrote it
        {R"(["a","h:1","s",5])", 5},
        {R"(["a","h:1","s","5"])", 0},
    };
    for (const test_case &given : testCases) {
        const auto workerList =
            entry::decodeWorkers(R"({"workers":[)" + std::string(given.row) + "]}");
        BOOST_REQUIRE(workerList.size() == 1U);
        BOOST_TEST(workerList[0].born == given.born, given.row);
    }
}

// A successor that misreads what orders for a former life may still do starts tasks too early.
BOOST_AUTO_TEST_CASE(twice_stored_effect_of_former_orders_that_is_misread)
{
    struct test_case
    {
        const char *row;
        cell::former_order_effect effect;
    };
    const test_case testCases[] = {
        {R"(["a","h:1","s",5,1,1,0])", cell::former_order_effect::none}, // of an earlier version
        {R"(["a","h:1","s",5,1,1,0,0])", cell::former_order_effect::none},
        {R"(["a","h:1","s",5,1,1,0,1])", cell::former_order_effect::possible},
        {R"(["a","h:1","s",5,1,1,0,2])", cell::former_order_effect::leases},
        {R"(["a","h:1","s",5,1,1,0,9])", cell::former_order_effect::possible},
        {R"(["a","h:1","s",5,1,1,0,-1])", cell::former_order_effect::possible},
    };
    for (const test_case &given : testCases) {
        const auto workerList =
            entry::decodeWorkers(R"({"workers":[)" + std::string(given.row) + "]}");
        BOOST_REQUIRE(workerList.size() == 1U);
        BOOST_TEST((workerList[0].formerOrders == given.effect), given.row);
    }
}

namespace {

/// A scheduler whose workers are listed by the registry and have answered.
cell::scheduler makeAnsweredCell(const std::vector<cell::worker_entry> &entries)
{
    const timestamp now = 1'000 * second;
    cell::scheduler cell;
    cell::beginEpoch(cell, 1, now);
    cell::changeWorkers(cell, entries, now);
    for (const cell::worker_entry &entry : entries) {
        cell::orders out;
        const cell::poll_order poll {
            entry.id, cell::fencingToken(cell, cell.workers.at(entry.id)), 0, 0, 0, false};
        cell::worker_report report;
        report.workerClock = now;
        cell::onReport(cell, poll, report, now, now, out);
    }
    return cell;
}

/// Returns the workers in the rows of the list, whose sizes are checked.
std::multiset<std::string> readWorkerList(const cell::scheduler &cell)
{
    std::multiset<std::string> decoded;
    for (std::size_t row = 0; row < cell.workerRowBytes.size(); ++row) {
        const std::string value = entry::encodeWorkerRow(cell.workers, row);
        BOOST_TEST(value.size() <= entry::maxRowBytes, "row " << row);
        for (const cell::worker_entry &worker : entry::decodeWorkers(value)) {
            decoded.insert(worker.id);
        }
    }
    return decoded;
}

cell::worker_entry makeListedWorker(const std::string &id, const std::string &service)
{
    cell::worker_entry worker = cell_fixture::makeWorker(id);
    worker.address = "10.255.255.255:65535";
    worker.service = service;
    worker.born = 1'790'000'000'000;
    return worker;
}

} // namespace

// Guards against rows that the store refuses, with which no write succeeded and nothing was
// accepted: 1,500 workers in one row, and texts that JSON escapes, whose length was not counted. A
// service of 60,000 bytes made the loop over the rows endless.
BOOST_AUTO_TEST_CASE(lost_list_of_workers_that_is_larger_than_a_row)
{
    const std::string controls(cell::maxWorkerTextBytes - 10, '\x01');
    struct row
    {
        const char *name;
        std::size_t workers;
        std::string idPrefix;
        std::string service;
        std::size_t leastRows;
    };
    for (const row &given :
         {row {"none", 0, "i-", "booking", 0}, row {"one", 1, "i-", "booking", 1},
          row {"a usual site", 350, "i-", "a-service-with-a-longer-name", 1},
          row {"the target", 680, "i-", "a-service-with-a-longer-name", 2},
          row {"many", 3'000, "i-", "a-service-with-a-longer-name", 7},
          row {"longest texts that JSON escapes", 100, controls, controls, 5},
          row {"a service beyond all bounds", 1, "i-", std::string(60'000, 'a'), 1}}) {
        std::vector<cell::worker_entry> entries;
        for (std::size_t number = 0; number < given.workers; ++number) {
            entries.push_back(makeListedWorker(
                given.idPrefix + std::to_string(1'000'000'000 + number), given.service));
        }
        const bool isBounded = entries.empty() || cell::hasBoundedTexts(entries.front());
        const cell::scheduler cell = makeAnsweredCell(entries);
        BOOST_TEST(cell.workerRowBytes.size() >= given.leastRows, given.name);
        if (isBounded) {
            const auto listed = readWorkerList(cell);
            BOOST_TEST(listed.size() == given.workers, given.name);
            BOOST_TEST(std::set<std::string>(listed.begin(), listed.end()).size() == listed.size());
        }
    }
}

// Guards against starts past a team's cap after a takeover: a silent worker that the registry does
// not list counted as one without capacity, as the stored list did not tell it.
BOOST_AUTO_TEST_CASE(cap_stored_workers_without_their_capacity)
{
    std::vector<cell::worker_entry> entries {makeListedWorker("i-1", "booking")};
    entries.front().capacity = {4'000, 16'000, 1};
    cell_fixture fixture;
    fixture.cell = makeAnsweredCell(entries);
    fixture.store();
    struct row
    {
        const char *name;
        cell::resources shown;
        cell::resources stored;
        bool isWritten;
    };
    for (const row &given :
         {row {"unchanged", {4'000, 16'000, 1}, {4'000, 16'000, 1}, false},
          row {"less", {1'000, 8'000, 0}, {4'000, 16'000, 1}, false},
          row {"more memory", {1'000, 32'000, 0}, {4'000, 32'000, 1}, true},
          row {"more processors", {8'000, 1'000, 2}, {8'000, 32'000, 2}, true}}) {
        entries.front().capacity = given.shown;
        cell::changeWorkers(fixture.cell, entries, fixture.now);
        BOOST_TEST(fixture.cell.unstored.empty() != given.isWritten, given.name);
        fixture.store();
        const auto read = entry::decodeWorkers(entry::encodeWorkerRow(fixture.cell.workers, 0));
        BOOST_REQUIRE(read.size() == 1U);
        BOOST_TEST((read.front().capacity == given.stored), given.name);
    }
    // A row of a former release tells no capacity.
    const auto former = entry::decodeWorkers(R"({"workers":[["a","h:1","s",5]]})");
    BOOST_TEST((former.front().capacity == cell::resources {}));
}

BOOST_AUTO_TEST_CASE(keys_of_worker_rows)
{
    struct row
    {
        const char *key;
        std::optional<std::size_t> index;
    };
    for (const row &given :
         {row {"workers", 0}, row {"workers/1", 1}, row {"workers/999", 999},
          row {"workers/1000", std::nullopt}, row {"workers/99999999999999999999", std::nullopt},
          row {"workers/01", std::nullopt}, row {"workers/0", std::nullopt},
          row {"workers/", std::nullopt}, row {"workers/1x", std::nullopt},
          row {"workersx", std::nullopt}, row {"head", std::nullopt},
          row {"members", std::nullopt}}) {
        BOOST_TEST((entry::workersRowIndex(given.key) == given.index), given.key);
        BOOST_TEST((!given.index || entry::workersRowKey(*given.index) == given.key), given.key);
    }
}

// Guards against workers that a takeover reads although they have left, and against a list that is
// written anew as a whole for each of them.
BOOST_AUTO_TEST_CASE(a_worker_that_leaves_changes_only_its_row)
{
    std::vector<cell::worker_entry> entries;
    entries.reserve(1'500);
    for (int number = 0; number < 1'500; ++number) {
        entries.push_back(makeListedWorker("i-" + std::to_string(1'000 + number),
                                           "a-service-with-a-longer-name"));
    }
    cell_fixture fixture;
    fixture.cell = makeAnsweredCell(entries);
    fixture.store();
    const std::size_t rows = fixture.cell.workerRowBytes.size();
    BOOST_REQUIRE(rows >= 3U);
    const std::string left = entries.back().id;
    const std::size_t rowOfLeft = *fixture.cell.workers.at(left).listRow;
    entries.pop_back();
    cell::changeWorkers(fixture.cell, entries, fixture.now);
    fixture.cell.workers.at(left).life.pollInFlight = false;
    fixture.decide();
    BOOST_REQUIRE(fixture.cell.workers.count(left) == 0U);
    BOOST_TEST(fixture.cell.unstored.size() == 1U);
    BOOST_TEST(fixture.cell.unstored.count(cell::workerRowChange(rowOfLeft)) == 1U);
    BOOST_TEST(readWorkerList(fixture.cell).size() == 1'499U);
    BOOST_TEST(readWorkerList(fixture.cell).count(left) == 0U);
}
