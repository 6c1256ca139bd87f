#include "record.h"

#include <chrono>
#include <cstdio>
#include <fstream>

namespace bramleygrade::soak {

namespace {

std::ofstream recordFile;
timestamp recordOpenedAt = 0;

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return (c | 0x20) - 'a' + 10;
}

std::string decodePercent(const std::string &text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(hexDigit(text[at + 1]) * 16 + hexDigit(text[at + 2]));
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

} // namespace

timestamp steadyNow()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string encodeBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group <<= 8U;
            group |=
                at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0;
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            const bool isPadding = at + digit > bytes.size();
            out += isPadding ? '=' : digits[(group >> (18 - 6 * digit)) & 63U];
        }
    }
    return out;
}

std::string decodeBase64(const std::string &text)
{
    static const std::string digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    unsigned group = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t digit = digits.find(c);
        if (digit == std::string::npos) {
            break; // padding
        }
        group = group << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

std::size_t decodedSize(const std::string &base64)
{
    std::size_t padding = 0;
    while (padding < base64.size() && base64[base64.size() - 1 - padding] == '=') {
        ++padding;
    }
    return base64.size() / 4 * 3 - padding;
}

std::string queryField(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string field = target.substr(at + 1, end - at - 1);
        if (field.compare(0, name.size() + 1, name + "=") == 0) {
            return decodePercent(field.substr(name.size() + 1));
        }
        at = end;
    }
    return "";
}

void openRecord(const std::string &path)
{
    recordFile.open(path);
    recordOpenedAt = steadyNow();
}

std::string recordTime(timestamp at)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%.3f", static_cast<double>(at - recordOpenedAt) / second);
    return time;
}

void note(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8s ", recordTime(steadyNow()).c_str());
    recordFile << time << line << '\n';
}

} // namespace bramleygrade::soak
