#include "daemon/operator_server.h"

#include "bramleygrade/inspection.h"
#include "bramleygrade/json_codec.h"
#include "daemon/clock.h"
#include "daemon/log.h"

namespace bramleygrade {

namespace {

constexpr std::size_t operatorServerThreadCount = 8;
constexpr microseconds operatorTimeout = 10 * second;
constexpr int statusBadRequest = 400;
constexpr int statusForbidden = 403;
constexpr int statusUnavailable = 503;

} // namespace

operator_server::operator_server(std::string host, int port, std::string cellKey,
                                 decision_queue &decisions,
                                 daemon_state_formatter formatDaemonState)
    : m_host(std::move(host))
    , m_port(port)
    , m_cellKey(std::move(cellKey))
    , m_decisions(decisions)
    , m_formatDaemonState(std::move(formatDaemonState))
{
}

operator_server::~operator_server()
{
    m_server.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool operator_server::authoriseRequest(const httplib::Request &request,
                                       httplib::Response &response) const
{
    if (isEqualInConstantTime(request.get_header_value(cellKeyHeader), m_cellKey)) {
        return true;
    }
    response.status = statusForbidden;
    response.set_content("cell key is missing or wrong; pass the key of the cell with --cell_key\n",
                         "text/plain");
    return false;
}

void operator_server::registerView(const char *path, const char *type, state_formatter text)
{
    m_server.Get(path,
                 [this, type, text = std::move(text)](const httplib::Request &request,
                                                      httplib::Response &response) {
                     if (!authoriseRequest(request, response)) {
                         return;
                     }
                     std::string content;
                     const bool isInspected = inspect(
                         m_decisions, [&content, &text](const decision_core &core, timestamp now) {
                             content = text(core, now);
                         });
                     if (!isInspected) {
                         response.status = statusUnavailable;
                         content = "decision queue of this entry is full or closed; try again\n";
                     }
                     response.set_content(content, type);
                 });
}

void operator_server::handleOperatorRequest(const httplib::Request &request,
                                            httplib::Response &response)
{
    if (!authoriseRequest(request, response)) {
        return;
    }
    auto operatorRequest = parseJson<operator_request>(request.body);
    if (!operatorRequest) {
        response.status = statusBadRequest;
        response.set_content("line " + operatorRequest.error().message + "\n", "text/plain");
        return;
    }
    const std::uint64_t handle = m_pendingAnswers.add();
    operatorRequest->handle = handle;
    if (!m_decisions.tryPush(decision_input {event {std::move(*operatorRequest)}})) {
        m_pendingAnswers.remove(handle);
        response.status = statusUnavailable;
        response.set_content("decision queue of this entry is full or closed; try again\n",
                             "text/plain");
        return;
    }
    auto outcome =
        m_pendingAnswers.await(handle, absl::Now() + absl::Microseconds(operatorTimeout));
    if (!outcome) {
        outcome = answer_operator {};
        outcome->outcome = operator_outcome::unknown;
        outcome->text = "no answer within 10 s; check the result with `bramleygrade status`";
    }
    response.set_content(toJson(*outcome) + "\n", "application/json");
}

bool operator_server::start()
{
    configureServer(m_server, operatorServerThreadCount);
    m_server.Post("/v1/operate",
                  [this](const httplib::Request &request, httplib::Response &response) {
                      handleOperatorRequest(request, response);
                  });
    registerView("/v1/dump", "application/json", [this](const decision_core &core, timestamp now) {
        return "{\"core\": " + dumpState(core, now) + ", \"daemon\": " + m_formatDaemonState()
            + "}\n";
    });
    registerView("/v1/status", "text/plain", [](const decision_core &core, timestamp now) {
        return describeStatus(core, now);
    });
    registerView("/metrics", "text/plain; version=0.0.4",
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
    m_pendingAnswers.answer(handle, std::move(outcome));
}

} // namespace bramleygrade
