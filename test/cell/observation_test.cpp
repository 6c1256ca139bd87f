#define BOOST_TEST_MODULE observation
#include <boost/test/unit_test.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry/entry.h"
#include "entry/state_dump.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;
using net::duty;

namespace {

timestamp manualNow = 0;

timestamp readManualClock()
{
    return manualNow;
}

microseconds busyTime(net::busy_meter &meter, duty value)
{
    return meter.of(value).busy;
}

std::size_t countLines(const event_log &log, const std::string &event)
{
    const std::string pattern = "\"event\":\"" + event + "\"";
    std::size_t count = 0;
    for (std::size_t at = log.pending.find(pattern); at != std::string::npos;
         at = log.pending.find(pattern, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_loop_is_late_from_the_bound_on_and_recovers_after_a_second_without_delay)
{
    struct row
    {
        const char *name;
        timestamp at;
        microseconds delay;
        loop_delay_change change;
        microseconds recent;
    };
    using change = loop_delay_change;
    const row rows[] = {
        {"on time", 1'000, 1, change::none, 1},
        {"below the bound", 1'050, 199, change::none, 199},
        {"at the bound", 1'300, 200, change::became_late, 200},
        {"later", 2'100, 700, change::none, 700},
        {"still half of the bound", 2'150, 100, change::none, 700},
        {"on time, not long enough", 3'000, 2, change::none, 700},
        {"recovered", 3'200, 2, change::recovered, 700},
        {"late again", 9'000, 300, change::became_late, 300},
    };
    loop_delay state;
    for (const row &entry : rows) {
        const auto change = recordDelay(state, entry.delay * millisecond, entry.at * millisecond);
        BOOST_TEST(static_cast<int>(change) == static_cast<int>(entry.change), entry.name);
        BOOST_TEST(recentDelay(state) == entry.recent * millisecond, entry.name);
    }
}

BOOST_AUTO_TEST_CASE(shares_are_sorted_and_include_idle_time)
{
    struct row
    {
        const char *name;
        microseconds workerCalls;
        microseconds decisions;
        microseconds elapsed;
        const char *text;
    };
    const row rows[] = {
        {"busy", 520, 300, 1'000, "worker_call 52% decide 30% idle 18%"},
        {"idle", 0, 0, 1'000, "idle 100%"},
        {"less than 1 %", 4, 700, 1'000, "decide 70% idle 30%"},
        {"no time", 1, 1, 0, ""},
    };
    for (const row &entry : rows) {
        net::busy_meter meter;
        meter.of(duty::worker_call).busy = entry.workerCalls;
        meter.of(duty::decide).busy = entry.decisions;
        BOOST_TEST(formatShares({}, meter.usage, entry.elapsed) == entry.text, entry.name);
    }
}

BOOST_AUTO_TEST_CASE(time_in_a_handler_counts_for_its_duty_and_the_duties_of_its_scopes)
{
    manualNow = 0;
    boost::asio::io_context loop;
    net::busy_meter meter {readManualClock};
    boost::asio::post(loop, [&] {
        manualNow += 5; // time before the duty is known
        net::setDuty(&meter, duty::decide);
        manualNow += 10;
        {
            const net::duty_scope scope(&meter, duty::worker_call);
            manualNow += 20;
            const net::duty_scope same(&meter, duty::worker_call);
            manualNow += 1;
        }
        manualNow += 40;
    });
    boost::asio::post(loop, [&] { manualNow += 80; });
    net::runMetered(loop, meter);
    BOOST_TEST(busyTime(meter, duty::decide) == 55);
    BOOST_TEST(busyTime(meter, duty::worker_call) == 21);
    BOOST_TEST(busyTime(meter, duty::other) == 80);
    BOOST_TEST(meter.of(duty::decide).events == 1U);
    BOOST_TEST(meter.of(duty::other).events == 1U);
}

BOOST_AUTO_TEST_CASE(time_in_which_the_loop_waits_counts_for_no_duty)
{
    boost::asio::io_context loop;
    net::busy_meter meter {steadyNow};
    boost::asio::steady_timer timer(loop);
    timer.expires_after(std::chrono::milliseconds(100));
    timer.async_wait([&](boost::system::error_code) { net::setDuty(&meter, duty::peer_message); });
    const timestamp startedAt = steadyNow();
    net::runMetered(loop, meter);
    BOOST_TEST(steadyNow() - startedAt >= 100 * millisecond);
    microseconds busy = 0;
    for (const net::duty_usage &usage : meter.usage) {
        busy += usage.busy;
    }
    BOOST_TEST(busy < 100 * millisecond);
    BOOST_TEST(meter.of(duty::peer_message).events == 1U);
}

BOOST_AUTO_TEST_CASE(the_events_of_a_call_count_for_the_duty_that_sent_it)
{
    boost::asio::io_context loop;
    net::busy_meter meter {steadyNow};
    net::http_server server(
        loop, [](const net::http_request &, const net::http_server::responder &respond) {
            respond({200, {}, "four"});
        });
    server.measure(meter, [](const net::http_request &) { return duty::caller; });
    const std::string address = "127.0.0.1:" + std::to_string(22'000 + getpid() % 10'000);
    BOOST_REQUIRE(server.listen(address).empty());
    net::http_client client(loop, steadyNow, &meter);
    net::http_call call;
    call.address = address;
    call.method = "POST";
    call.body = "sixsix";
    call.deadline = steadyNow() + 5 * second;
    {
        const net::duty_scope scope(&meter, duty::store);
        client.send(std::move(call), [&](const net::call_result &result) {
            BOOST_TEST(result.status == 200);
            BOOST_TEST(static_cast<int>(meter.current) == static_cast<int>(duty::store));
            loop.stop();
        });
    }
    net::runMetered(loop, meter);
    BOOST_TEST(meter.of(duty::store).bytesSent == 6U);
    BOOST_TEST(meter.of(duty::store).bytesReceived == 4U);
    BOOST_TEST(meter.of(duty::caller).bytesReceived == 6U);
    BOOST_TEST(meter.of(duty::caller).bytesSent == 4U);
    BOOST_TEST(meter.of(duty::store).events > 0U);
    BOOST_TEST(meter.of(duty::caller).events > 0U);
}

// Guards against logs without their beginning: after takeovers, the collected log of the scheduler
// held only worker_settled lines (incident inc1 of csuc-programari-grown).
BOOST_AUTO_TEST_CASE(lines_over_the_limit_of_their_event_are_suppressed_and_counted)
{
    event_log log;
    log.instance = "entry-1";
    log.linesPerSecond = 1'000;
    log.limits["worker_settled"].linesPerSecond = 2;
    constexpr std::int64_t wall = 1'000 * second;
    for (int worker = 0; worker < 7; ++worker) {
        writeEvent(log, wall, "worker_settled", {{"worker", std::to_string(worker)}});
        writeEvent(log, wall, "start_ordered", {});
    }
    BOOST_TEST(countLines(log, "worker_settled") == 2U);
    BOOST_TEST(countLines(log, "start_ordered") == 7U);
    BOOST_TEST(countLines(log, "lines_suppressed") == 0U);
    writeEvent(log, wall + second, "worker_settled", {{"worker", "8"}});
    BOOST_TEST(countLines(log, "worker_settled") == 3U);
    BOOST_TEST(countLines(log, "lines_suppressed") == 1U);
    BOOST_TEST(log.pending.find(R"("of_event":"worker_settled","lines":"5")") != std::string::npos);
    BOOST_TEST(log.suppressed == 5U);
}

BOOST_AUTO_TEST_CASE(fields_without_a_value_are_left_out)
{
    event_log log;
    log.linesPerSecond = 10;
    writeEvent(log, second, "run_failed", {{"job", ""}, {"why", "timeout"}});
    BOOST_TEST(
        log.pending
        == "{\"at_ms\":1000,\"instance\":\"\",\"event\":\"run_failed\",\"why\":\"timeout\"}\n");
}

// Guards against cut metrics: the collector keeps 4,000 characters, and the scheduler's figures
// were after them (incident inc1 of csuc-programari-grown).
BOOST_AUTO_TEST_CASE(the_scheduler_figures_come_first_in_the_metrics)
{
    constexpr std::size_t collectedBytes = 4'000;
    boost::asio::io_context loop;
    entry_state entry(loop, {});
    entry.leaderState = std::make_unique<leader_state>();
    entry.role = entry_role::scheduler;
    for (std::size_t index = 0; index < net::dutyCount; ++index) {
        entry.meter.usage[index] = {123'456'789, 1'234'567, 123'456'789, 123'456'789};
    }
    for (const char *name :
         {"event_loop_delay_seconds", "decision_seconds", "start_seconds", "advice_seconds"}) {
        observeLatency(entry.metrics, name, 3 * millisecond);
    }
    refreshGauges(entry);
    const std::string text = exposeMetrics(entry.metrics);
    for (const char *name :
         {"is_scheduler 1\n", "epoch ", "busy_seconds_total{duty=\"worker_call\"} 123.457\n",
          "event_loop_delay_ms ", "jobs_open ", "workers_unreconciled ", "restored_jobs_held ",
          "advice_queue ", "unsaved_changes ", "calls_waiting ", "task_starts_total "}) {
        const std::size_t at = text.find(std::string("\nbramleygrade_") + name);
        BOOST_TEST(at != std::string::npos, name);
        BOOST_TEST(at < collectedBytes, name << " at " << at);
    }
    BOOST_TEST(text.find("_bucket") > text.find("connections_opened "));
    entry.leaderState.reset();
    refreshGauges(entry);
    BOOST_TEST(exposeMetrics(entry.metrics).find("jobs_open ") == std::string::npos);
}

// Guards against decisions that depend on learned speeds without an operator being able to see it,
// and against the gauges of a former scheduler staying.
BOOST_AUTO_TEST_CASE(spread_of_worker_speeds_is_shown_by_the_scheduler_only)
{
    boost::asio::io_context loop;
    entry_state entry(loop, {});
    entry.leaderState = std::make_unique<leader_state>();
    entry.leaderState->cell.speeds.services["booking"] = {350, 0.3375, true};
    refreshGauges(entry);
    const std::string text = exposeMetrics(entry.metrics);
    for (const char *line : {"worker_speeds_known{service=\"booking\"} 350\n",
                             "worker_speeds_spread_milli{service=\"booking\"} 337\n",
                             "worker_speeds_used{service=\"booking\"} 1\n"}) {
        BOOST_TEST(text.find(std::string("\nbramleygrade_") + line) != std::string::npos, line);
    }
    entry.leaderState.reset();
    refreshGauges(entry);
    BOOST_TEST(exposeMetrics(entry.metrics).find("worker_speeds") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(each_metric_has_a_help_text)
{
    boost::asio::io_context loop;
    entry_state entry(loop, {});
    entry.leaderState = std::make_unique<leader_state>();
    entry.leaderState->cell.speeds.services["booking"] = {350, 0.34, true};
    refreshGauges(entry);
    const std::string text = exposeMetrics(entry.metrics);
    const std::string type = "# TYPE bramleygrade_";
    for (std::size_t at = text.find(type); at != std::string::npos; at = text.find(type, at + 1)) {
        const std::size_t start = at + type.size();
        const std::string family = text.substr(start, text.find(' ', start) - start);
        BOOST_TEST(hasHelp(family), family);
    }
}
