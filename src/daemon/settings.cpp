#include "daemon/settings.h"

#include <arpa/inet.h>

#include <fstream>
#include <sstream>

#include "bramleygrade/json_codec.h"
#include "daemon/log.h"

namespace bramleygrade {

namespace {

constexpr std::size_t cellKeyMinimumLength = 16;

bool isPort(int port)
{
    constexpr int portLimit = 65535;
    return port > 0 && port <= portLimit;
}

bool isAddress(const std::string &host)
{
    in_addr address {};
    return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

std::string explainProblem(const entry_settings &settings)
{
    if (settings.name.empty() || settings.name.find_first_of("#/ ") != std::string::npos) {
        return "name: give the unique name of the instance, without '#', '/' or blanks";
    }
    if (settings.failure_domain.empty()) {
        return "failure_domain: give the failure domain of the instance";
    }
    if (!isAddress(settings.host)) {
        return "host: give the IP number that peers use, such as \"10.0.0.7\"";
    }
    if (!isAddress(settings.table_host)) {
        return "table_host: give the IP number of the table service";
    }
    if (!isPort(settings.caller_port) || !isPort(settings.operator_port)
        || !isPort(settings.peer_port) || !isPort(settings.table_port)) {
        return "caller_port, operator_port, peer_port, table_port: give ports from 1 to 65535";
    }
    if (settings.caller_port == settings.operator_port || settings.caller_port == settings.peer_port
        || settings.operator_port == settings.peer_port) {
        return "caller_port, operator_port, peer_port: the three must differ";
    }
    if (settings.cell_key.size() < cellKeyMinimumLength) {
        return "cell_key: give a secret of at least 16 characters, the same for the whole cell";
    }
    if (!isLogLevel(settings.log_level)) {
        return "log_level: use trace, debug, info, warn or error";
    }
    return {};
}

} // namespace

tl::expected<entry_settings, settings_error> parseSettings(const std::string &origin,
                                                           const std::string &text)
{
    auto settings = parseJson<entry_settings>(text);
    if (!settings) {
        return tl::make_unexpected(settings_error {origin + ": line " + settings.error().message});
    }
    if (settings->log_level.empty()) {
        settings->log_level = "info";
    }
    const std::string problem = explainProblem(*settings);
    if (!problem.empty()) {
        return tl::make_unexpected(settings_error {origin + ": " + problem});
    }
    return *settings;
}

tl::expected<entry_settings, settings_error> parseSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return tl::make_unexpected(
            settings_error {path + ": cannot be read; check the path and its permissions"});
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(path, text.str());
}

} // namespace bramleygrade
