#include "tools/check_config.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "platform.h"

namespace bramleygrade {

namespace {

constexpr int exitFine = 0;
constexpr int exitFindings = 1;
constexpr int exitUnreadable = 2;
constexpr char usage[] = "usage: bramleygrade check-config FILE [--in-force FILE]";

struct check_arguments
{
    std::string file;
    std::string inForce;
};

std::optional<check_arguments> parseArguments(const std::vector<std::string> &arguments)
{
    const std::string option = "--in-force";
    check_arguments parsed;
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        const std::string &argument = arguments[index];
        if (argument == option && index + 1 < arguments.size()) {
            parsed.inForce = arguments[++index];
        } else if (argument.rfind(option + "=", 0) == 0) {
            parsed.inForce = argument.substr(option.size() + 1);
        } else if (argument.rfind("--", 0) == 0 || !parsed.file.empty()) {
            return std::nullopt;
        } else {
            parsed.file = argument;
        }
    }
    return parsed.file.empty() ? std::nullopt : std::optional<check_arguments>(parsed);
}

void print(const std::string &file, const cell::config_finding &finding)
{
    std::cout << file << ":" << finding.line << ": " << finding.message << std::endl;
}

/// Reads the file; prints why if it cannot be read.
std::optional<cell::located_config> readConfig(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) {
        std::cout << path << ": cannot be read; give the path of a readable file" << std::endl;
        return std::nullopt;
    }
    auto located = platform::checkConfiguration(text.str());
    if (!located) {
        print(path, located.error());
        return std::nullopt;
    }
    return std::move(*located);
}

} // namespace

int checkConfig(const std::vector<std::string> &arguments)
{
    const auto parsed = parseArguments(arguments);
    if (!parsed) {
        std::cerr << usage << std::endl;
        return exitUnreadable;
    }
    const auto next = readConfig(parsed->file);
    if (!next) {
        return exitUnreadable;
    }
    std::vector<cell::config_finding> findings = next->findings;
    const auto append = [&](const std::vector<cell::config_finding> &more) {
        findings.insert(findings.end(), more.begin(), more.end());
    };
    append(cell::findConflicts(*next));
    if (!parsed->inForce.empty()) {
        const auto current = readConfig(parsed->inForce);
        if (!current) {
            return exitUnreadable;
        }
        append(cell::findUpdateConflicts(current->config, *next));
        for (const std::string &difference :
             cell::describeDifferences(current->config, next->config)) {
            std::cout << "change: " << difference << std::endl;
        }
    }
    std::stable_sort(findings.begin(), findings.end(),
                     [](const cell::config_finding &a, const cell::config_finding &b) {
                         return a.line < b.line;
                     });
    for (const cell::config_finding &finding : findings) {
        print(parsed->file, finding);
    }
    return findings.empty() ? exitFine : exitFindings;
}

} // namespace bramleygrade
