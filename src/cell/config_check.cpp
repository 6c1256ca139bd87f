#include "cell/config_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace bramleygrade::cell {

namespace {

/// Tickets that are valid for less can expire before a start that carries them arrives: the margins
/// for the answer and for the start order (`answerTransitMargin`, `ticketMargin`).
constexpr microseconds shortestUsefulTicket = 120 * millisecond;
/// A cap below these amounts is below any task, and probably given in another unit.
constexpr std::int64_t smallestCapCpuMilli = 100;
constexpr std::int64_t smallestCapMemoryMb = 16;
/// Length of a key that does not fit a caller's headers beside `Authorization: Token `.
constexpr std::size_t headerAllowance = 256;

using findings = std::vector<config_finding>;

std::string quoted(const std::string &name)
{
    return "'" + name + "'";
}

std::string atLine(std::size_t line)
{
    return " (line " + std::to_string(line) + ")";
}

void checkDuplicateQueues(const located_config &located, findings &found)
{
    std::map<std::string, std::size_t> names;
    std::map<std::pair<std::string, std::string>, std::size_t> prefixes;
    for (std::size_t index = 0; index < located.config.queues.size(); ++index) {
        const queue_policy &queue = located.config.queues[index];
        const std::size_t line = located.queueLines[index];
        const auto [name, isNewName] = names.emplace(queue.name, line);
        if (!isNewName) {
            found.push_back({line,
                             "queue " + quoted(queue.name) + " exists already"
                                 + atLine(name->second) + "; rename or remove one of them"});
        }
        const auto [prefix, isNewPrefix] =
            prefixes.emplace(std::pair(queue.host, queue.pathPrefix), line);
        if (!isNewPrefix) {
            found.push_back({line,
                             "queue " + quoted(queue.name)
                                 + " can never match: another queue has the same host and path "
                                   "prefix"
                                 + atLine(prefix->second) + "; change or remove one of them"});
        }
    }
}

void checkQueue(const located_config &located, const queue_policy &queue, std::size_t line,
                findings &found)
{
    const auto add = [&](const std::string &message) {
        found.push_back({line, "queue " + quoted(queue.name) + " " + message});
    };
    if (queue.host.find(':') != std::string::npos) {
        add("can never match: hosts are compared without a port; remove the port");
    }
    if (queue.pathPrefix.empty() || queue.pathPrefix.front() != '/'
        || queue.pathPrefix.find_first_of("?# ") != std::string::npos) {
        add("can never match: a path prefix starts with / and has no ?, # or space; correct it");
    }
    const std::vector<std::string> &services = located.config.services;
    if (!services.empty()
        && std::find(services.begin(), services.end(), queue.service) == services.end()) {
        add("names the service " + quoted(queue.service)
            + ", which is not among the services; add it or correct the name");
    }
    if (queue.slackFactor < 1 && queue.latencyTarget == 0) {
        add("has an objective below its run time, which no job can meet; give a slack factor of at "
            "least 1 or a latency target");
    }
    if (queue.needsAdvice && queue.advice.valid < shortestUsefulTicket) {
        add("has tickets that expire before a start can use them; make them valid for at least "
            + std::to_string(shortestUsefulTicket / millisecond) + " ms");
    }
}

bool isSendable(const std::string &key, const caller_limits &limits)
{
    const bool hasSpace =
        std::any_of(key.begin(), key.end(), [](unsigned char c) { return c <= 0x20 || c == 0x7f; });
    return !hasSpace
        && key.size() + headerAllowance <= static_cast<std::size_t>(limits.headerBytes);
}

void checkKeys(const located_config &located, findings &found)
{
    struct key_use
    {
        std::size_t team = 0;
        std::size_t line = 0;
    };
    std::map<std::string, key_use> uses;
    for (std::size_t index = 0; index < located.config.teams.size(); ++index) {
        const team_policy &team = located.config.teams[index];
        for (std::size_t number = 0; number < team.keys.size(); ++number) {
            const std::size_t line = located.teamLines[index].keys[number];
            const auto [use, isNew] = uses.emplace(team.keys[number], key_use {index, line});
            if (!isSendable(team.keys[number], located.config.limits)) {
                found.push_back({line,
                                 "a key of team " + quoted(team.name)
                                     + " can never match: it has spaces or control characters, or "
                                       "is too long for a header; replace it"});
            }
            if (!isNew && use->second.team == index) {
                found.push_back({line,
                                 "team " + quoted(team.name) + " has this key already"
                                     + atLine(use->second.line) + "; remove one of them"});
            } else if (!isNew) {
                found.push_back(
                    {line,
                     "the key is in the teams "
                         + quoted(located.config.teams[use->second.team].name)
                         + atLine(use->second.line) + " and " + quoted(team.name)
                         + ", so that it belongs to neither; give each team keys of its own"});
            }
        }
    }
}

void checkTeam(const team_policy &team, std::size_t line, findings &found)
{
    const auto add = [&](const std::string &message) {
        found.push_back({line, "team " + quoted(team.name) + " " + message});
    };
    if (team.keys.empty()) {
        add("has no keys, so that nobody can submit for it; add a key or remove the team");
    }
    if (team.cap.cpuMilli > 0 && team.cap.cpuMilli < smallestCapCpuMilli) {
        add("has a cap of " + std::to_string(team.cap.cpuMilli)
            + " thousandths of a core, which is below one task; give it in thousandths");
    }
    if (team.cap.memoryMb > 0 && team.cap.memoryMb < smallestCapMemoryMb) {
        add("has a cap of " + std::to_string(team.cap.memoryMb)
            + " MB of memory, which is below one task; give it in megabytes");
    }
}

void checkTeams(const located_config &located, findings &found)
{
    const cell_config &config = located.config;
    std::map<std::string, std::size_t> names;
    for (std::size_t index = 0; index < config.teams.size(); ++index) {
        const team_policy &team = config.teams[index];
        const std::size_t line = located.teamLines[index].team;
        checkTeam(team, line, found);
        const auto [name, isNew] = names.emplace(team.name, line);
        if (!isNew) {
            found.push_back({line,
                             "team " + quoted(team.name) + " exists already" + atLine(name->second)
                                 + "; merge or rename them"});
        }
    }
    const bool hasKeys = std::any_of(config.teams.begin(), config.teams.end(),
                                     [](const team_policy &team) { return !team.keys.empty(); });
    for (std::size_t index = 0; index < config.queues.size(); ++index) {
        if (config.requiresKeys && !hasKeys && !config.queues[index].isPublic) {
            found.push_back({located.queueLines[index],
                             "queue " + quoted(config.queues[index].name)
                                 + " admits nobody: keys are required and no team has one; add "
                                   "teams or make the queue public"});
        }
    }
}

template <typename Value>
std::string textOf(const Value &value)
{
    std::ostringstream text;
    text << std::boolalpha << value;
    return text.str();
}

std::string millisOf(microseconds time)
{
    return std::to_string(time / millisecond) + " ms";
}

std::string textOf(const resources &amounts)
{
    return std::to_string(amounts.cpuMilli) + "/" + std::to_string(amounts.memoryMb) + "/"
        + std::to_string(amounts.accelerators);
}

std::string textOf(const advice_timing &timing)
{
    return millisOf(timing.base) + " + " + textOf(timing.perWorker) + " us per worker, valid "
        + millisOf(timing.valid);
}

/// Collects the changed fields of one queue or team.
class change_list
{
public:
    void add(const char *what, const std::string &before, const std::string &after)
    {
        if (before != after) {
            m_text +=
                (m_text.empty() ? "" : ", ") + std::string(what) + " " + before + " -> " + after;
        }
    }
    const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

std::string describeChange(const queue_policy &before, const queue_policy &after)
{
    change_list changes;
    changes.add("host", before.host, after.host);
    changes.add("path prefix", before.pathPrefix, after.pathPrefix);
    changes.add("service", before.service, after.service);
    changes.add("priority", textOf(before.priority), textOf(after.priority));
    changes.add("attempts", textOf(before.maxAttempts), textOf(after.maxAttempts));
    changes.add("slack factor", textOf(before.slackFactor), textOf(after.slackFactor));
    changes.add("latency target", millisOf(before.latencyTarget), millisOf(after.latencyTarget));
    changes.add("needs advice", textOf(before.needsAdvice), textOf(after.needsAdvice));
    changes.add("advice", textOf(before.advice), textOf(after.advice));
    changes.add("public", textOf(before.isPublic), textOf(after.isPublic));
    return changes.text();
}

std::string describeChange(const team_policy &before, const team_policy &after)
{
    const std::set<std::string> old(before.keys.begin(), before.keys.end());
    const std::set<std::string> now(after.keys.begin(), after.keys.end());
    const auto countMissing = [](const std::set<std::string> &keys,
                                 const std::set<std::string> &from) {
        return std::count_if(keys.begin(), keys.end(),
                             [&](const std::string &key) { return from.count(key) == 0; });
    };
    change_list changes;
    changes.add("weight", textOf(before.weight), textOf(after.weight));
    changes.add("cap (cpu/MB/accelerators)", textOf(before.cap), textOf(after.cap));
    std::string text = changes.text();
    const auto append = [&](std::ptrdiff_t count, const char *what) {
        if (count > 0) {
            text += (text.empty() ? "" : ", ") + std::string(what) + std::to_string(count);
        }
    };
    append(countMissing(now, old), "keys added: ");
    append(countMissing(old, now), "keys revoked: ");
    return text;
}

/// Describes which of the named values were added, removed or changed.
template <typename Value>
void describeValues(const char *kind, const std::vector<Value> &before,
                    const std::vector<Value> &after, std::vector<std::string> &out)
{
    std::map<std::string, const Value *> old;
    std::map<std::string, const Value *> now;
    for (const Value &value : before) {
        old.emplace(value.name, &value);
    }
    for (const Value &value : after) {
        now.emplace(value.name, &value);
    }
    for (const auto &[name, value] : old) {
        if (now.count(name) == 0) {
            out.push_back(std::string(kind) + " " + quoted(name) + " removed");
        }
    }
    for (const auto &[name, value] : now) {
        const auto former = old.find(name);
        const std::string change =
            former == old.end() ? "added" : describeChange(*former->second, *value);
        if (!change.empty()) {
            out.push_back(std::string(kind) + " " + quoted(name)
                          + (former == old.end() ? " " : ": ") + change);
        }
    }
}

} // namespace

std::vector<config_finding> findConflicts(const located_config &located)
{
    findings found;
    checkDuplicateQueues(located, found);
    for (std::size_t index = 0; index < located.config.queues.size(); ++index) {
        checkQueue(located, located.config.queues[index], located.queueLines[index], found);
    }
    checkTeams(located, found);
    checkKeys(located, found);
    std::stable_sort(
        found.begin(), found.end(),
        [](const config_finding &a, const config_finding &b) { return a.line < b.line; });
    return found;
}

std::vector<config_finding> findUpdateConflicts(const cell_config &current,
                                                const located_config &next)
{
    if (next.config.version > current.version) {
        return {};
    }
    return {{next.versionLine,
             "version " + std::to_string(next.config.version)
                 + " is not above the version in force, " + std::to_string(current.version)
                 + ", so that it would be ignored; raise it"}};
}

std::vector<std::string> describeDifferences(const cell_config &current, const cell_config &next)
{
    std::vector<std::string> out;
    if (current.version != next.version) {
        out.push_back("version " + std::to_string(current.version) + " -> "
                      + std::to_string(next.version));
    }
    if (current.requiresKeys != next.requiresKeys) {
        out.emplace_back(next.requiresKeys ? "keys become required"
                                           : "keys are no longer required");
    }
    describeValues("queue", current.queues, next.queues, out);
    describeValues("team", current.teams, next.teams, out);
    const std::set<std::string> old(current.services.begin(), current.services.end());
    const std::set<std::string> now(next.services.begin(), next.services.end());
    for (const std::string &service : old) {
        if (now.count(service) == 0) {
            out.push_back("service " + quoted(service) + " removed");
        }
    }
    for (const std::string &service : now) {
        if (old.count(service) == 0) {
            out.push_back("service " + quoted(service) + " added");
        }
    }
    return out;
}

} // namespace bramleygrade::cell
