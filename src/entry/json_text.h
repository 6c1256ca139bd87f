#pragma once

#include <limits>
#include <string>
#include <string_view>

#include <rapidjson/document.h>
#include <rapidjson/encodedstream.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
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

/// Maximum depth of objects and arrays within each other. The reader recurses, so deeper input
/// could exhaust the stack; the formats that are read have up to five levels.
constexpr std::size_t maxJsonDepth = 64;
/// Maximum number of values, names of members included, in one text. A document takes 16 bytes and
/// more for each, and a text may have one for every two bytes. A job has at most 10,000 steps.
constexpr std::size_t maxJsonValues = 500'000;

/// Passes the events of the reader on to `target`, and stops it at a value that is nested more
/// deeply than `maxJsonDepth` or beyond `maxValues`. The names are those that the reader requires.
class json_limiter
{
public:
    json_limiter(rapidjson::Document &target, std::size_t maxValues)
        : m_target(target)
        , m_valuesLeft(maxValues)
    {
    }

    // NOLINTBEGIN(readability-identifier-naming)
    bool Null() { return takeValue() && m_target.Null(); }
    bool Bool(bool value) { return takeValue() && m_target.Bool(value); }
    bool Int(int value) { return takeValue() && m_target.Int(value); }
    bool Uint(unsigned value) { return takeValue() && m_target.Uint(value); }
    bool Int64(std::int64_t value) { return takeValue() && m_target.Int64(value); }
    bool Uint64(std::uint64_t value) { return takeValue() && m_target.Uint64(value); }
    bool Double(double value) { return takeValue() && m_target.Double(value); }
    bool RawNumber(const char *text, rapidjson::SizeType size, bool copy)
    {
        return takeValue() && m_target.RawNumber(text, size, copy);
    }
    bool String(const char *text, rapidjson::SizeType size, bool copy)
    {
        return takeValue() && m_target.String(text, size, copy);
    }
    bool Key(const char *name, rapidjson::SizeType size, bool copy)
    {
        return takeValue() && m_target.Key(name, size, copy);
    }
    bool StartObject()
    {
        return takeValue() && ++m_depth <= maxJsonDepth && m_target.StartObject();
    }
    bool EndObject(rapidjson::SizeType members)
    {
        --m_depth;
        return m_target.EndObject(members);
    }
    bool StartArray() { return takeValue() && ++m_depth <= maxJsonDepth && m_target.StartArray(); }
    bool EndArray(rapidjson::SizeType elements)
    {
        --m_depth;
        return m_target.EndArray(elements);
    }
    // NOLINTEND(readability-identifier-naming)

private:
    bool takeValue()
    {
        if (m_valuesLeft == 0) {
            return false;
        }
        --m_valuesLeft;
        return true;
    }

    rapidjson::Document &m_target;
    std::size_t m_valuesLeft;
    std::size_t m_depth = 0;
};

/// Parses `text` into `document`, which stays null on an error. Values that are nested more deeply
/// than `maxJsonDepth`, or beyond `maxValues`, are the error `kParseErrorTermination`. All JSON
/// from outside is read by this function or by `readLocatedJson`, which bounds the depth as well.
template <unsigned flags = rapidjson::kParseDefaultFlags>
rapidjson::ParseResult parseJsonText(std::string_view text, rapidjson::Document &document,
                                     std::size_t maxValues = maxJsonValues)
{
    rapidjson::ParseResult result;
    const auto generate = [&](rapidjson::Document &target) {
        rapidjson::MemoryStream bytes(text.data(), text.size());
        rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> stream(bytes);
        json_limiter limiter(target, maxValues);
        rapidjson::Reader reader;
        result = reader.Parse<flags>(stream, limiter);
        return !result.IsError();
    };
    document.Populate(generate);
    return result;
}

/// Parses `text` into `document`. Returns whether it is one JSON object within the limits.
inline bool parseObject(std::string_view text, rapidjson::Document &document,
                        std::size_t maxValues = maxJsonValues)
{
    return !parseJsonText(text, document, maxValues).IsError() && document.IsObject();
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
