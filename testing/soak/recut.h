#pragma once

#include <set>
#include <string>
#include <vector>

#include "tl/expected.hpp"

#include "soak.h"

/// \file
/// Half of the workers crash under long tasks, are back under their ids soon, and are cut off
/// shortly afterwards; again every 14 s with the other half.

namespace bramleygrade::soak {

struct recut_settings
{
    /// Time by which calls to the workers are carried out late.
    microseconds callDelay = 0;
    /// Words that vary the shape, of those that `recutWords` lists.
    std::set<std::string> words;
};

/// Returns the words of a profile, each with what it does.
const std::map<std::string, std::string> &recutWords();

/// Parses "DELAY_MS [WORD...]", the words in any order; the error names the word that is unknown.
tl::expected<recut_settings, std::string> parseRecut(const std::vector<std::string> &arguments);

/// Runs this shape once all entries are ready, and ends the world as `runSoak` does.
void runRecut(cell_world &world, const soak_settings &settings, const recut_settings &recut);

} // namespace bramleygrade::soak
