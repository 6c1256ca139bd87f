#include "daemon/settings.h"

#include <arpa/inet.h>

#include <fstream>
#include <sstream>

#include "bramleygrade/json_codec.h"
#include "daemon/log.h"

namespace bramleygrade {

namespace {

constexpr std::size_t minCellKeyLength = 16;

bool isPort(int port)
{
    constexpr int maxPort = 65535;
    return port > 0 && port <= maxPort;
}

bool isIpv4Address(const std::string &host)
{
    in_addr address {};
    return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

/// Returns an error message that names the first invalid field, or an empty string.
std::string validateSettings(const entry_settings &settings)
{
    if (settings.name.empty() || settings.name.find_first_of("#/ ") != std::string::npos) {
        return "name: must be the unique, non-empty name of the instance, without '#', '/' or "
               "blanks";
    }
    if (settings.failure_domain.empty()) {
        return "failure_domain: must name the failure domain of the instance";
    }
    if (!isIpv4Address(settings.host)) {
        return "host: must be the IPv4 address that peers connect to, such as \"10.0.0.7\"";
    }
    if (!isIpv4Address(settings.table_host)) {
        return "table_host: must be the IPv4 address of the table service";
    }
    if (!isPort(settings.caller_port) || !isPort(settings.operator_port)
        || !isPort(settings.peer_port) || !isPort(settings.table_port)) {
        return "caller_port, operator_port, peer_port, table_port: must be from 1 to 65535";
    }
    if (settings.caller_port == settings.operator_port || settings.caller_port == settings.peer_port
        || settings.operator_port == settings.peer_port) {
        return "caller_port, operator_port, peer_port: must differ from each other";
    }
    if (settings.cell_key.size() < minCellKeyLength) {
        return "cell_key: must be the shared secret of the cell, of at least 16 characters";
    }
    if (!isLogLevel(settings.log_level)) {
        return "log_level: must be trace, debug, info, warn or error";
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
    const std::string problem = validateSettings(*settings);
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
