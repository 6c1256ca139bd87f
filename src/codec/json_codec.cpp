#include "bramleygrade/json_codec.h"

#include <flatbuffers/idl.h>
#include <flatbuffers/reflection.h>

#include "decision_bfbs_generated.h"
#include "settings_bfbs_generated.h"

namespace bramleygrade::internal {

namespace {

constexpr std::string_view settingsType = "bramleygrade.wire.entry_settings";

/// Maximum length of a string or another token; the largest body, 4 MiB, has 5.6 MB in base64. The
/// parser holds several copies of the token that it reads.
constexpr std::size_t maxTokenBytes = 8ul * 1024 * 1024;

/// Returns whether the text has a stretch of more than `maxTokenBytes` without the end of a string.
bool hasLongToken(const std::string &text)
{
    std::size_t begin = 0;
    while (text.size() - begin > maxTokenBytes) {
        std::size_t quote = text.rfind('"', begin + maxTokenBytes);
        while (quote != std::string::npos && quote > begin && text[quote - 1] == '\\') {
            quote = text.rfind('"', quote - 1);
        }
        if (quote == std::string::npos || quote < begin) {
            return true;
        }
        begin = quote + 1;
    }
    return false;
}

flatbuffers::IDLOptions jsonOptions()
{
    flatbuffers::IDLOptions options;
    options.strict_json = true;
    options.indent_step = -1;
    options.natural_utf8 = true;
    return options;
}

template <typename Schema>
bool loadSchema(flatbuffers::Parser &parser)
{
    return parser.Deserialize(Schema::data(), Schema::size());
}

/// Returns the thread's parser for `typeName`. Parsers are cached per thread because loading the
/// schema is expensive.
flatbuffers::Parser &parserFor(const char *typeName)
{
    thread_local flatbuffers::Parser messages(jsonOptions());
    thread_local const bool messagesLoaded = loadSchema<wire::recorded_eventBinarySchema>(messages);
    thread_local flatbuffers::Parser settings(jsonOptions());
    thread_local const bool settingsLoaded = loadSchema<wire::entry_settingsBinarySchema>(settings);
    (void)messagesLoaded;
    (void)settingsLoaded;
    flatbuffers::Parser &parser = typeName == settingsType ? settings : messages;
    parser.SetRootType(typeName);
    // Accepts comments and trailing commas in input; printBuffer() sets strict output.
    parser.opts.strict_json = false;
    return parser;
}

} // namespace

tl::expected<std::string, codec_error> parseToBuffer(const char *typeName, const std::string &text)
{
    if (hasLongToken(text)) {
        return tl::make_unexpected(codec_error {"a text is longer than "
                                                + std::to_string(maxTokenBytes)
                                                + " bytes; shorten it in " + typeName});
    }
    flatbuffers::Parser &parser = parserFor(typeName);
    if (!parser.ParseJson(text.c_str())) {
        return tl::make_unexpected(codec_error {
            parser.error_ + "; correct this line so that it matches the schema of " + typeName});
    }
    return std::string(reinterpret_cast<const char *>(parser.builder_.GetBufferPointer()),
                       parser.builder_.GetSize());
}

std::string printBuffer(const char *typeName, const std::uint8_t *buffer)
{
    flatbuffers::Parser &parser = parserFor(typeName);
    parser.opts.strict_json = true;
    std::string text;
    flatbuffers::GenerateText(parser, buffer, &text);
    return text;
}

} // namespace bramleygrade::internal
