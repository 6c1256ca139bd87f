#include "tools/operator_tools.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <httplib.h>

#include "absl/flags/flag.h"
#include "absl/strings/numbers.h"
#include "bramleygrade/json_codec.h"
#include "daemon/http.h"
#include "daemon/settings.h"

ABSL_FLAG(std::string, entry, "127.0.0.1:7001", "HOST:PORT of the operator port of any entry");
ABSL_FLAG(std::string, cell_key, "", "key of the cell");
ABSL_FLAG(bool, json, false, "print the answer as JSON");
ABSL_FLAG(std::uint64_t, expected, 0,
          "version of the document that the change is based on; 0 for a new document");

namespace bramleygrade {

namespace {

constexpr int statusOk = 200;
constexpr time_t answerTimeoutSeconds = 15;

struct entry_address
{
    std::string host;
    int port = 0;
};

bool parseAddress(const std::string &text, entry_address &address)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    address.host = text.substr(0, colon);
    return absl::SimpleAtoi(text.substr(colon + 1), &address.port);
}

/// Sends a request to the entry given by --entry: GET if `body` is null, POST otherwise. Prints the
/// error and returns false if no answer with status 200 arrives.
bool callEntry(const char *path, const std::string *body, std::string &content)
{
    entry_address address;
    if (!parseAddress(absl::GetFlag(FLAGS_entry), address)) {
        std::cerr << "--entry is not HOST:PORT; give the operator port of an entry" << std::endl;
        return false;
    }
    httplib::Client client(address.host, address.port);
    client.set_read_timeout(answerTimeoutSeconds, 0);
    const httplib::Headers headers {{cellKeyHeader, absl::GetFlag(FLAGS_cell_key)}};
    const httplib::Result result = body == nullptr
        ? client.Get(path, headers)
        : client.Post(path, headers, *body, "application/json");
    if (!result) {
        std::cerr << "no answer from " << absl::GetFlag(FLAGS_entry)
                  << "; check --entry, or try another entry" << std::endl;
        return false;
    }
    content = result->body;
    if (result->status != statusOk) {
        std::cerr << content;
    }
    return result->status == statusOk;
}

bool readFile(const std::string &path, std::string &text)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read; check the path" << std::endl;
        return false;
    }
    std::ostringstream content;
    content << file.rdbuf();
    text = content.str();
    return true;
}

template <typename Value>
bool readValue(const std::string &path, Value &value)
{
    std::string text;
    if (!readFile(path, text)) {
        return false;
    }
    const auto parsed = parseJson<Value>(text);
    if (!parsed) {
        std::cerr << path << ": line " << parsed.error().message << std::endl;
        return false;
    }
    value = *parsed;
    return true;
}

int exitCodeOf(operator_outcome outcome)
{
    switch (outcome) {
    case operator_outcome::accepted:
        return exitSuccess;
    case operator_outcome::refused:
        return exitRefused;
    case operator_outcome::unknown:
        return exitUnknown;
    }
    return exitUnknown;
}

int sendRequest(const operator_request &request)
{
    const std::string body = toJson(request);
    std::string content;
    if (!callEntry("/v1/operate", &body, content)) {
        return exitUnknown;
    }
    const auto answered = parseJson<answer_operator>(content);
    if (!answered) {
        std::cerr
            << "the entry's answer does not match the schema of this version; use the binary of "
               "the entry's version"
            << std::endl;
        return exitUnknown;
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << content;
    } else {
        std::cout << wire::EnumNameoperator_outcome(answered->outcome);
        if (answered->sequence != 0) {
            std::cout << " version " << answered->sequence;
        }
        std::cout << ": " << answered->text << std::endl;
    }
    return exitCodeOf(answered->outcome);
}

int printUsage(const char *usage)
{
    std::cerr << "usage: bramleygrade " << usage << std::endl;
    return exitUsage;
}

int printView(const char *path)
{
    std::string content;
    if (!callEntry(path, nullptr, content)) {
        return exitUnknown;
    }
    std::cout << content;
    return exitSuccess;
}

int sendAction(operator_action action, const std::vector<std::string> &names)
{
    operator_request request;
    request.action = action;
    request.names = names;
    return sendRequest(request);
}

} // namespace

int applyDocument(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1) {
        return printUsage("apply FILE [--expected N]");
    }
    operator_request request;
    request.action = operator_action::apply;
    request.expected = absl::GetFlag(FLAGS_expected);
    request.document = std::make_unique<service_document>();
    if (!readValue(arguments.front(), *request.document)) {
        return exitUsage;
    }
    return sendRequest(request);
}

int getDocument(const std::vector<std::string> &arguments)
{
    return arguments.size() == 1 ? sendAction(operator_action::get, arguments)
                                 : printUsage("get SERVICE");
}

int submitJob(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1) {
        return printUsage("submit FILE");
    }
    operator_request request;
    request.action = operator_action::submit;
    request.job = std::make_unique<job_specification>();
    if (!readValue(arguments.front(), *request.job)) {
        return exitUsage;
    }
    return sendRequest(request);
}

int showJobs(const std::vector<std::string> &arguments)
{
    return arguments.empty() ? printUsage("job ID...")
                             : sendAction(operator_action::job_status, arguments);
}

int cancelJobs(const std::vector<std::string> &arguments)
{
    return arguments.empty() ? printUsage("cancel ID...")
                             : sendAction(operator_action::cancel, arguments);
}

int showStatus(const std::vector<std::string> &)
{
    return printView("/v1/status");
}

int showDump(const std::vector<std::string> &)
{
    return printView("/v1/dump");
}

int checkFiles(const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        return printUsage("check FILE...");
    }
    int exitCode = exitSuccess;
    for (const std::string &path : arguments) {
        std::string text;
        if (!readFile(path, text)) {
            exitCode = exitUsage;
            continue;
        }
        const auto settings = parseSettings(path, text);
        const auto document = parseJson<service_document>(text);
        const auto job = parseJson<job_specification>(text);
        const bool isValid = settings || document || job;
        std::cout << path << ": "
                  << (settings       ? "valid settings"
                          : document ? "a well-formed service document"
                          : job      ? "a well-formed job"
                                     : settings.error().message)
                  << std::endl;
        exitCode = isValid ? exitCode : exitRefused;
    }
    return exitCode;
}

int drainEntry(const std::vector<std::string> &)
{
    return sendAction(operator_action::drain, {});
}

} // namespace bramleygrade
