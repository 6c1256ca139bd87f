#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cell/types.h"

/// \file
/// Finds what is wrong with a configuration before it is put in force, and what it changes. Keys
/// are never part of a message.

namespace bramleygrade::cell {

/// Something to correct, and how. `line` counts from 1.
struct config_finding
{
    std::size_t line = 1;
    std::string message;
};

/// Lines of a team and of its keys, in their order.
struct team_lines
{
    std::size_t team = 1;
    std::vector<std::size_t> keys;
};

/// A configuration as an entry would read it, and the lines of its parts.
struct located_config
{
    cell_config config;
    /// Lines of `config.queues` and `config.teams`.
    std::vector<std::size_t> queueLines;
    std::vector<team_lines> teamLines;
    std::size_t versionLine = 1;
    /// What a decoder found, such as fields of the wrong type.
    std::vector<config_finding> findings;
};

/// Returns entries that can never match and limits that contradict each other, by line.
std::vector<config_finding> findConflicts(const located_config &located);

/// Returns what is wrong with putting `next` in force after `current`.
std::vector<config_finding> findUpdateConflicts(const cell_config &current,
                                                const located_config &next);

/// Returns a line of text for each difference.
std::vector<std::string> describeDifferences(const cell_config &current, const cell_config &next);

} // namespace bramleygrade::cell
