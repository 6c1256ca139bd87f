#include "daemon/operator_server.h"

#include "bramleygrade/inspection.h"
#include "bramleygrade/json_codec.h"
#include "daemon/clock.h"
#include "daemon/log.h"

namespace bramleygrade {

namespace {

constexpr std::size_t serverThreads = 8;
constexpr microseconds operatorLimit = 10 * second;
constexpr int statusBadRequest = 400;
constexpr int statusForbidden = 403;
constexpr int statusUnavailable = 503;

} // namespace

operator_server::operator_server(std::string host, int port, std::string cellKey,
                                 decision_queue &decisions, daemon_state_formatter report)
    : m_host(std::move(host))
    , m_port(port)
    , m_cellKey(std::move(cellKey))
    , m_decisions(decisions)
    , m_report(std::move(report))
{
}

operator_server::~operator_server()
{
    m_server.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool operator_server::isAdmitted(const httplib::Request &request, httplib::Response &response) const
{
    if (isEqualInConstantTime(request.get_header_value(cellKeyHeader), m_cellKey)) {
        return true;
    }
    response.status = statusForbidden;
    response.set_content("the key of the cell is missing or wrong; give --cell_key\n",
                         "text/plain");
    return false;
}

void operator_server::offer(const char *path, const char *type, text_of_core text)
{
    m_server.Get(path,
                 [this, type, text = std::move(text)](const httplib::Request &request,
                                                      httplib::Response &response) {
                     if (!isAdmitted(request, response)) {
                         return;
                     }
                     std::string content;
                     const bool isSeen = inspect(
                         m_decisions, [&content, &text](const decision_core &core, timestamp now) {
                             content = text(core, now);
                         });
                     if (!isSeen) {
                         response.status = statusUnavailable;
                         content = "the deciding thread is overloaded or has ended; try again\n";
                     }
                     response.set_content(content, type);
                 });
}

void operator_server::operate(const httplib::Request &request, httplib::Response &response)
{
    if (!isAdmitted(request, response)) {
        return;
    }
    auto wanted = parseJson<operator_request>(request.body);
    if (!wanted) {
        response.status = statusBadRequest;
        response.set_content("line " + wanted.error().message + "\n", "text/plain");
        return;
    }
    const std::uint64_t handle = m_room.add();
    wanted->handle = handle;
    if (!m_decisions.tryPush(decision_input {event {std::move(*wanted)}})) {
        m_room.remove(handle);
        response.status = statusUnavailable;
        response.set_content("this entry is overloaded; try again\n", "text/plain");
        return;
    }
    auto outcome = m_room.await(handle, absl::Now() + absl::Microseconds(operatorLimit));
    if (!outcome) {
        outcome = answer_operator {};
        outcome->outcome = operator_outcome::unknown;
        outcome->text = "no answer in time; look at `bramleygrade status`";
    }
    response.set_content(toJson(*outcome) + "\n", "application/json");
}

bool operator_server::start()
{
    configureServer(m_server, serverThreads);
    m_server.Post("/v1/operate",
                  [this](const httplib::Request &request, httplib::Response &response) {
                      operate(request, response);
                  });
    offer("/v1/dump", "application/json", [this](const decision_core &core, timestamp now) {
        return "{\"core\": " + dumpState(core, now) + ", \"daemon\": " + m_report() + "}\n";
    });
    offer("/v1/status", "text/plain",
          [](const decision_core &core, timestamp now) { return describeStatus(core, now); });
    offer("/metrics", "text/plain; version=0.0.4",
          [](const decision_core &core, timestamp now) { return listMetrics(core, now); });
    if (!m_server.bind_to_port(m_host.c_str(), m_port)) {
        return false;
    }
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    return true;
}

void operator_server::answer(answer_operator outcome)
{
    const std::uint64_t handle = outcome.handle;
    m_room.answer(handle, std::move(outcome));
}

} // namespace bramleygrade
