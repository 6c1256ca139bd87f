#define BOOST_TEST_MODULE jobs
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "testing/cell_fake.h"

using namespace bramleygrade;
namespace data = boost::unit_test::data;

namespace {

/// Users require that an urgent task starts within this time.
constexpr microseconds urgentLimit = 2 * second;

/// A formed cell of three entries and four workers with 8000 CPU millis and 16000 MB each, and a
/// document in force.
struct cell_fixture
{
    cell_fixture()
        : cell(makeOptions())
    {
        cell.onOperatorAnswer = [this](int, const answer_operator &answered) {
            answers[answered.handle] = answered;
        };
        for (int entry = 0; entry < 3; ++entry) {
            cell.startEntry(entry);
        }
        cell.at(historyStart + 8 * second, [this] {
            service_document document;
            document.team = "team";
            document.quota_cpu_millis = 32'000;
            document.quota_memory_mb = 64'000;
            applyDocumentForAllDomains(cell, std::move(document));
        });
        cell.run(historyStart + 25 * second);
    }

    static cell_options makeOptions()
    {
        cell_options options;
        options.entries = 3;
        options.racks = 2;
        options.workersPerRack = 2;
        options.tickInterval = 10 * millisecond;
        return options;
    }

    static job_specification makeJob(const std::string &id, int tasks, std::int64_t cpu)
    {
        job_specification job;
        job.id = id;
        job.service = "booking";
        job.task_count = tasks;
        job.cpu_millis = cpu;
        job.memory_mb = 1000;
        return job;
    }

    answer_operator sendRequest(operator_action action, const job_specification &job,
                                const std::vector<std::string> &names = {})
    {
        operator_request request;
        request.handle = ++lastHandle;
        request.action = action;
        request.job = std::make_unique<job_specification>(job);
        request.names = names;
        cell.deliver(static_cast<int>(lastHandle % 3), request);
        cell.run(cell.now() + second);
        BOOST_REQUIRE(answers.count(lastHandle) == 1);
        return answers.at(lastHandle);
    }

    std::vector<fake_task> findRunningTasks(const std::string &id)
    {
        std::vector<fake_task> found;
        for (const cell_worker &worker : cell.workers()) {
            for (const auto &[key, task] : worker.tasks.tasks) {
                if (task.order.job == id && task.phase == task_phase::running) {
                    found.push_back(task);
                }
            }
        }
        return found;
    }

    std::uint64_t lastHandle = 10;
    cell_fake cell;
    std::map<std::uint64_t, answer_operator> answers;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(an_urgent_task_starts_within_two_seconds_on_a_full_cell, cell_fixture)
{
    job_specification filler = makeJob("filler", 7, 4000);
    filler.checkpointable = true;
    BOOST_TEST(
        (sendRequest(operator_action::submit, filler).outcome == operator_outcome::accepted));
    BOOST_TEST((sendRequest(operator_action::submit, makeJob("service", 1, 4000)).outcome
                == operator_outcome::accepted));
    cell.run(cell.now() + 5 * second);
    BOOST_TEST(findRunningTasks("filler").size() + findRunningTasks("service").size() == 8u);
    for (cell_worker &worker : cell.workers()) {
        BOOST_TEST(worker.tasks.overcommits == 0);
    }
    // The jobs use up the quota; the new document raises it.
    operator_request change;
    change.handle = 5;
    change.action = operator_action::apply;
    change.expected = 1;
    change.document = std::make_unique<service_document>();
    change.document->service = "booking";
    change.document->team = "team";
    change.document->allowed_domains = {"domain-a", "domain-b", "domain-c"};
    change.document->quota_cpu_millis = 64'000;
    change.document->quota_memory_mb = 64'000;
    cell.deliver(0, change);
    cell.run(cell.now() + 6 * second);
    job_specification urgent = makeJob("urgent", 1, 4000);
    urgent.urgent = true;
    const timestamp askedAt = cell.now();
    BOOST_TEST(
        (sendRequest(operator_action::submit, urgent).outcome == operator_outcome::accepted));
    cell.run(askedAt + urgentLimit);
    const std::vector<fake_task> started = findRunningTasks("urgent");
    BOOST_REQUIRE_EQUAL(started.size(), 1u);
    BOOST_TEST(started.front().startedAt - askedAt <= urgentLimit);
    BOOST_TEST(findRunningTasks("service").size() == 1u); // This job is not checkpointable.
}

struct impossible_job
{
    job_specification job;
    const char *expected;
};

std::ostream &operator<<(std::ostream &out, const impossible_job &impossible)
{
    return out << impossible.expected;
}

static std::vector<impossible_job> impossibleJobs()
{
    std::vector<impossible_job> jobs;
    jobs.push_back({cell_fixture::makeJob("too-large", 1, 9000), "no worker"});
    jobs.push_back({cell_fixture::makeJob("beyond-quota", 1, 40'000), "quota"});
    jobs.push_back({cell_fixture::makeJob("gang", 9, 4000), "quota"});
    jobs.back().job.all_or_nothing = true;
    jobs.push_back({cell_fixture::makeJob("none", 0, 1000), "task_count"});
    jobs.push_back({cell_fixture::makeJob("a/b", 1, 1000), "id:"});
    return jobs;
}

BOOST_DATA_TEST_CASE(a_job_that_can_never_run_is_refused_on_submission,
                     data::make(impossibleJobs()), impossible)
{
    cell_fixture fixture;
    const answer_operator refused = fixture.sendRequest(operator_action::submit, impossible.job);
    BOOST_TEST((refused.outcome == operator_outcome::refused));
    BOOST_TEST(refused.text.find(impossible.expected) != std::string::npos, refused.text);
}

BOOST_FIXTURE_TEST_CASE(cancelling_many_jobs_ends_every_task_with_few_writes, cell_fixture)
{
    constexpr int jobCount = 30;
    std::vector<std::string> names;
    for (int number = 0; number < jobCount; ++number) {
        const std::string id = "job-" + std::to_string(number);
        names.push_back("booking/" + id);
        BOOST_TEST((sendRequest(operator_action::submit, makeJob(id, 1, 1000)).outcome
                    == operator_outcome::accepted));
    }
    cell.run(cell.now() + 5 * second);
    const std::uint64_t writesBefore = cell.counters.tableWrites;
    BOOST_TEST(
        (sendRequest(operator_action::cancel, {}, names).outcome == operator_outcome::accepted));
    cell.run(cell.now() + 5 * second);
    for (int number = 0; number < jobCount; ++number) {
        BOOST_TEST(findRunningTasks("job-" + std::to_string(number)).empty());
    }
    // One transaction writes up to 20 rows.
    BOOST_TEST(cell.counters.tableWrites - writesBefore <= 4u);
    // Cancelling is idempotent.
    BOOST_TEST(
        (sendRequest(operator_action::cancel, {}, names).outcome == operator_outcome::accepted));
}
