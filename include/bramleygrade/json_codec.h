#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "bramleygrade/values.h"

/// \file
/// Conversion between JSON text and the values of the schema, with validation.

namespace bramleygrade {

/// Error for text that does not match the schema. The message names line, field and remedy.
struct codec_error
{
    std::string message;
};

namespace internal {

/// Parses `text` as table `typeName` and returns a finished FlatBuffers buffer of that table.
tl::expected<std::string, codec_error> parseToBuffer(const char *typeName, const std::string &text);
/// Prints a finished FlatBuffers buffer of table `typeName` as one line of strict JSON.
std::string printBuffer(const char *typeName, const std::uint8_t *buffer);

} // namespace internal

/// Parses JSON (comments allowed) into a value of the schema.
///
///     auto document = parseJson<service_document>(text);
///     if (!document)
///         report(document.error().message);
///
/// Unknown fields, wrong types and malformed text are errors; absent fields get their default
/// values.
template <typename Value>
tl::expected<Value, codec_error> parseJson(const std::string &text)
{
    using table = typename Value::TableType;
    auto buffer = internal::parseToBuffer(table::GetFullyQualifiedName(), text);
    if (!buffer) {
        return tl::make_unexpected(buffer.error());
    }
    Value value;
    flatbuffers::GetRoot<table>(buffer->data())->UnPackTo(&value);
    return value;
}

/// Prints a value of the schema as one line of strict JSON, without the fields that have their
/// default value.
template <typename Value>
std::string toJson(const Value &value)
{
    using table = typename Value::TableType;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(table::Pack(builder, &value));
    return internal::printBuffer(table::GetFullyQualifiedName(), builder.GetBufferPointer());
}

} // namespace bramleygrade
