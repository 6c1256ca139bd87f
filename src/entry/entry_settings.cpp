#include "entry/entry_settings.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include "entry/json_text.h"

namespace bramleygrade::entry {

namespace {

using failure = tl::unexpected<cell_settings_error>;

struct text_field
{
    const char *name;
    std::string cell_settings::*field;
    bool required;
};

const text_field textFields[] = {
    {"name", &cell_settings::name, true},
    {"failure_domain", &cell_settings::failureDomain, false},
    {"host", &cell_settings::host, true},
    {"caller_address", &cell_settings::callerAddress, true},
    {"ready_address", &cell_settings::readyAddress, true},
    {"peer_address", &cell_settings::peerAddress, true},
    {"metrics_address", &cell_settings::metricsAddress, false},
    {"store_address", &cell_settings::storeAddress, true},
    {"advice_address", &cell_settings::adviceAddress, false},
};

struct number_field
{
    const char *name;
    microseconds cell_settings::*field;
    microseconds unit;
    double minValue;
    double maxValue;
};

const number_field numberFields[] = {
    {"longest_lease_ms", &cell_settings::maxLease, millisecond, 1'000, 600'000},
    {"gang_timeout_ms", &cell_settings::gangTimeout, millisecond, 100, 600'000},
    {"stop_timeout_ms", &cell_settings::stopTimeout, millisecond, 1, 600'000},
    {"ended_kept_s", &cell_settings::endedKept, second, 1, 864'000},
    {"shutdown_grace_s", &cell_settings::shutdownGrace, second, 1, 3'600},
    {"memory_limit_mb", &cell_settings::memoryLimitMb, 1, 32, 1'000'000},
    {"processor_share", &cell_settings::processorMilli, 1'000, 0.001, 1'024},
    {"revocation_limit_ms", &cell_settings::revocationLimit, millisecond, 0, 3'600'000},
    {"team_window_s", &cell_settings::teamWindow, second, 0.1, 3'600},
    {"team_window_slack", &cell_settings::teamWindowSlack, 1, 0, 1'000'000},
    {"log_lines_per_second", &cell_settings::logLinesPerSecond, 1, 1, 1'000'000},
};

struct bool_field
{
    const char *name;
    bool cell_settings::*field;
};

const bool_field boolFields[] = {
    {"separate_clashing_tasks", &cell_settings::separateClashingTasks},
    {"worker_speeds", &cell_settings::workerSpeeds},
};

std::size_t lineAt(const std::string &text, std::size_t offset)
{
    return 1
        + static_cast<std::size_t>(std::count(
            text.begin(), text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size())),
            '\n'));
}

std::size_t lineOfField(const std::string &text, const std::string &name)
{
    const std::size_t position = text.find('"' + name + '"');
    return position == std::string::npos ? 1 : lineAt(text, position);
}

failure makeError(const std::string &origin, std::size_t line, const std::string &description)
{
    return failure({origin + ":" + std::to_string(line) + ": " + description});
}

} // namespace

tl::expected<cell_settings, cell_settings_error> parseCellSettings(const std::string &origin,
                                                                   const std::string &text)
{
    rapidjson::Document document;
    constexpr unsigned flags = rapidjson::kParseCommentsFlag | rapidjson::kParseTrailingCommasFlag;
    const rapidjson::ParseResult parsed = parseJsonText<flags>(text, document);
    if (parsed.IsError()) {
        const std::string why = parsed.Code() == rapidjson::kParseErrorTermination
            ? "There are too many values, or they are nested too deeply."
            : rapidjson::GetParseError_En(parsed.Code());
        return makeError(origin, lineAt(text, parsed.Offset()),
                         why + " Correct the JSON there; comments are // or /* */.");
    }
    if (!document.IsObject()) {
        return makeError(origin, 1, "settings must be one JSON object: put { } around the fields");
    }
    cell_settings settings;
    for (const text_field &definition : textFields) {
        const auto member = document.FindMember(definition.name);
        const bool isGiven = member != document.MemberEnd() && member->value.IsString()
            && member->value.GetStringLength() > 0;
        if (isGiven) {
            settings.*definition.field = member->value.GetString();
        } else if (definition.required) {
            return makeError(origin, lineOfField(text, definition.name),
                             std::string("'") + definition.name
                                 + "' is missing or not a text; add it, for example \""
                                 + definition.name + "\": \"10.0.0.1:8080\"");
        }
    }
    for (const number_field &definition : numberFields) {
        const auto member = document.FindMember(definition.name);
        if (member == document.MemberEnd()) {
            continue;
        }
        const bool isNumber = member->value.IsNumber();
        const double value = isNumber ? member->value.GetDouble() : 0;
        if (!isNumber || value < definition.minValue || value > definition.maxValue) {
            std::ostringstream range;
            range << "'" << definition.name << "' must be a number from " << definition.minValue
                  << " to " << definition.maxValue << "; change it or leave it out";
            return makeError(origin, lineOfField(text, definition.name), range.str());
        }
        settings.*definition.field =
            static_cast<microseconds>(value * static_cast<double>(definition.unit));
    }
    for (const bool_field &definition : boolFields) {
        const auto member = document.FindMember(definition.name);
        if (member == document.MemberEnd()) {
            continue;
        }
        if (!member->value.IsBool()) {
            return makeError(origin, lineOfField(text, definition.name),
                             std::string("'") + definition.name
                                 + "' must be true or false; change it or leave it out");
        }
        settings.*definition.field = member->value.GetBool();
    }
    return settings;
}

tl::expected<cell_settings, cell_settings_error> readCellSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure({path + ": cannot be read; give the path of a readable settings file"});
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseCellSettings(path, text.str());
}

} // namespace bramleygrade::entry
