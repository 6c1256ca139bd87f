#include "entry/authentication/caller_keys.h"

#include <unordered_set>

namespace bramleygrade::entry {

namespace {

using problem_list = std::vector<cell::config_problem>;

/// Adds the keys of one team. Keys that two teams have are collected in `shared`.
void addKeys(const cell::team_policy &team, caller_keys &keys,
             std::unordered_set<std::string> &shared, problem_list &problems)
{
    if (team.keys.empty()) {
        problems.push_back({team.name, "the team has no keys, so nobody can call as this team"});
    }
    for (const std::string &key : team.keys) {
        if (key.size() > maxKeyBytes) {
            problems.push_back({team.name,
                                "a key of " + std::to_string(key.size()) + " bytes admits nobody; "
                                    + "use at most " + std::to_string(maxKeyBytes)});
            continue;
        }
        const auto [known, added] = keys.teamsByKey.emplace(key, team.name);
        if (!added && known->second != team.name) {
            problems.push_back({team.name,
                                "a key also belongs to team '" + known->second
                                    + "', so it admits nobody; give each team a key of its own"});
            shared.insert(key);
        }
    }
}

} // namespace

caller_keys indexCallerKeys(const cell::cell_config &config, problem_list &problems)
{
    caller_keys keys;
    keys.version = config.version;
    keys.areRequired = config.requiresKeys;
    for (std::size_t position = 0; position < config.queues.size(); ++position) {
        const cell::queue_policy &queue = config.queues[position];
        queue_access &access =
            keys.queues.emplace(queue.name, queue_access {position, true}).first->second;
        access.isPublic = access.isPublic && queue.isPublic;
    }
    std::unordered_set<std::string> names;
    std::unordered_set<std::string> shared;
    for (const cell::team_policy &team : config.teams) {
        if (!names.insert(team.name).second) {
            problems.push_back({team.name, "two teams have this name; they count as one"});
        }
        addKeys(team, keys, shared, problems);
    }
    for (const std::string &key : shared) {
        keys.teamsByKey.erase(key);
    }
    return keys;
}

admission admit(const caller_keys &keys, const std::string &queue, const std::string &key)
{
    const auto access = keys.queues.find(queue);
    if (access == keys.queues.end()) {
        return {admission_outcome::no_such_queue, ""};
    }
    if (!keys.areRequired || access->second.isPublic) {
        return {};
    }
    const auto team = key.empty() ? keys.teamsByKey.end() : keys.teamsByKey.find(key);
    if (team == keys.teamsByKey.end()) {
        return {admission_outcome::unauthenticated, ""};
    }
    return {admission_outcome::admitted, team->second};
}

bool mayUseJob(const caller_keys &keys, const std::string &jobTeam, const std::string &callTeam)
{
    return !keys.areRequired || jobTeam.empty() || jobTeam == callTeam;
}

} // namespace bramleygrade::entry
