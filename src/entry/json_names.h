#pragma once

#include <set>
#include <string>

#include "entry/json_text.h"

namespace bramleygrade::entry {

/// Writes the names as an array; writes nothing if there are none.
inline void putNames(json_writer &out, const char *field, const std::set<std::string> &names)
{
    if (names.empty()) {
        return;
    }
    out.Key(field);
    out.StartArray();
    for (const std::string &name : names) {
        putText(out, name);
    }
    out.EndArray();
}

inline std::set<std::string> namesField(const rapidjson::Value &object, const char *field)
{
    std::set<std::string> names;
    if (const auto *values = arrayField(object, field)) {
        for (const auto &value : values->GetArray()) {
            names.insert(textOf(value));
        }
    }
    return names;
}

} // namespace bramleygrade::entry
