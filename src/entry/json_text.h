#pragma once

#include <limits>
#include <string>

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

/// \file
/// Helper functions that read and write JSON. A field that is missing or of another type reads as
/// the given default.

namespace bramleygrade::entry {

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

inline void put(json_writer &out, const char *name, const std::string &value)
{
    out.Key(name);
    out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
inline void put(json_writer &out, const char *name, std::int64_t value)
{
    out.Key(name);
    out.Int64(value);
}
inline void put(json_writer &out, const char *name, int value)
{
    put(out, name, static_cast<std::int64_t>(value));
}
inline void put(json_writer &out, const char *name, bool value)
{
    out.Key(name);
    out.Bool(value);
}
inline void put(json_writer &out, const char *name, double value)
{
    out.Key(name);
    out.Double(value);
}
inline void putText(json_writer &out, const std::string &value)
{
    out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

inline const rapidjson::Value *findField(const rapidjson::Value &object, const char *name)
{
    if (!object.IsObject()) {
        return nullptr;
    }
    const auto member = object.FindMember(name);
    return member == object.MemberEnd() ? nullptr : &member->value;
}

inline std::string textOf(const rapidjson::Value &value)
{
    return value.IsString() ? std::string(value.GetString(), value.GetStringLength()) : "";
}

inline std::string textField(const rapidjson::Value &object, const char *name)
{
    const rapidjson::Value *field = findField(object, name);
    return field == nullptr ? "" : textOf(*field);
}

/// Numbers beyond the range of the type read as its limits.
inline std::int64_t integerOf(const rapidjson::Value &value, std::int64_t fallback = 0)
{
    using limits = std::numeric_limits<std::int64_t>;
    if (value.IsInt64()) {
        return value.GetInt64();
    }
    if (!value.IsNumber()) {
        return fallback;
    }
    const double number = value.GetDouble();
    if (number >= static_cast<double>(limits::max())) {
        return limits::max();
    }
    return number <= static_cast<double>(limits::min()) ? limits::min()
                                                        : static_cast<std::int64_t>(number);
}

inline std::int64_t integerField(const rapidjson::Value &object, const char *name,
                                 std::int64_t fallback = 0)
{
    const rapidjson::Value *field = findField(object, name);
    return field == nullptr ? fallback : integerOf(*field, fallback);
}

inline double numberField(const rapidjson::Value &object, const char *name, double fallback = 0)
{
    const rapidjson::Value *field = findField(object, name);
    return field == nullptr || !field->IsNumber() ? fallback : field->GetDouble();
}

inline bool boolField(const rapidjson::Value &object, const char *name)
{
    const rapidjson::Value *field = findField(object, name);
    return field != nullptr && field->IsBool() && field->GetBool();
}

/// Returns the array, or null if the field is missing or not an array.
inline const rapidjson::Value *arrayField(const rapidjson::Value &object, const char *name)
{
    const rapidjson::Value *field = findField(object, name);
    return field == nullptr || !field->IsArray() ? nullptr : field;
}

/// Parses `text` into `document`. Returns whether it is one JSON object.
inline bool parseObject(const std::string &text, rapidjson::Document &document)
{
    document.Parse(text.data(), text.size());
    return !document.HasParseError() && document.IsObject();
}

/// Returns the text of a JSON object whose members are written by `fill`.
template <typename Fill>
std::string writeObject(Fill fill)
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    fill(out);
    out.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

} // namespace bramleygrade::entry
