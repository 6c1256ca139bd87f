#include "entry/json_text.h"
#include "entry/rows.h"

namespace bramleygrade::entry {

std::string encodeEnded(const ended_row &row)
{
    return writeObject([&](json_writer &out) {
        put(out, "phase", static_cast<int>(row.phase));
        put(out, "wall", row.endedWall);
        if (!row.team.empty()) {
            put(out, "team", row.team);
        }
    });
}

std::optional<ended_row> decodeEnded(const std::string &value)
{
    rapidjson::Document document;
    if (!parseObject(value, document) || findField(document, "phase") == nullptr) {
        return std::nullopt;
    }
    return ended_row {static_cast<cell::job_phase>(integerField(document, "phase")),
                      integerField(document, "wall"), textField(document, "team")};
}

std::string decodeJobTeam(const std::string &value)
{
    rapidjson::Document document;
    return parseObject(value, document) ? textField(document, "team") : "";
}

} // namespace bramleygrade::entry
