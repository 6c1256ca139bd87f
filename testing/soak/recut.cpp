#include "recut.h"

#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <random>

#include "absl/strings/numbers.h"

#include "record.h"

namespace bramleygrade::soak {

namespace {

constexpr microseconds firstCrashAt = 4 * second;
constexpr microseconds roundLength = 14 * second;
constexpr microseconds downTime = 600 * millisecond;
/// Time from the restart to the cut, if it is not early.
constexpr microseconds cutAfter = 2 * second;
constexpr microseconds heldAfterBack = 100 * millisecond;
constexpr microseconds cutTime = 9 * second;
/// Time before the cut in which answers are lost, unless they are from the restart on.
constexpr microseconds muteTime = 200 * millisecond;
constexpr microseconds pauseTime = 3 * second;
constexpr microseconds answerTime = 4 * second;
/// Jobs that are submitted from shortly before the crash until shortly after the restart.
constexpr int jobsOnTheWay = 16;
constexpr step_behaviour longTasks {6, 500, false, false, false, 11 * second};
/// Time without submissions in which the tasks that were lost last have to end: the rest of a
/// round, until workers that are reachable again are polled, and a run.
constexpr microseconds endTime = roundLength + 5 * second + longTasks.duration;

struct recut_run
{
    cell_world &world;
    recut_settings settings;
    std::mt19937_64 random;
    timestamp endsAt = 0;
    int jobs = 0;
    std::size_t rounds = 0;
};

using recut_ref = std::shared_ptr<recut_run>;

bool has(const recut_run &run, const char *word)
{
    return run.settings.words.count(word) > 0;
}

microseconds drawMs(recut_run &run, std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(run.random) * millisecond;
}

void submitJob(const recut_ref &run)
{
    const std::string number = std::to_string(++run->jobs);
    run->world.submit(std::string(16 - number.size(), '0') + number, "batch", longTasks);
}

void submitJobs(const recut_ref &run)
{
    if (steadyNow() >= run->endsAt) {
        return;
    }
    submitJob(run);
    run->world.at(drawMs(*run, 100, 500), [run] { submitJobs(run); });
}

void signalAll(cell_world &world, int signal)
{
    for (std::size_t entry = 0; entry < world.entryCount(); ++entry) {
        world.signalEntry(entry, signal);
    }
}

void pauseAll(const recut_ref &run, microseconds length)
{
    signalAll(run->world, SIGSTOP);
    run->world.at(length, [run] { signalAll(run->world, SIGCONT); });
}

void delayStore(const recut_ref &run, microseconds delay)
{
    note("trouble: the store answers " + std::to_string(delay / millisecond) + " ms late");
    for (std::size_t entry = 0; entry < run->world.entryCount(); ++entry) {
        run->world.store().linkOf(entry).delay = delay;
    }
}

void killLeader(const recut_ref &run)
{
    const std::string name = run->world.store().leaderName();
    run->world.signalEntry(name.empty() ? 0 : static_cast<std::size_t>(name.back() - '0'), SIGKILL);
}

/// What befalls the entries shortly before the crash. The workers are back `untilBack` later.
void troubleBeforeCrash(const recut_ref &run, microseconds untilBack)
{
    if (has(*run, "held")) {
        pauseAll(run, untilBack + heldAfterBack);
    }
    if (has(*run, "feed")) {
        delayStore(run, drawMs(*run, 1'000, 2'000));
        run->world.at(downTime + cutAfter, [run] { delayStore(run, 0); });
    }
    if (has(*run, "takeover")) {
        killLeader(run);
    }
}

/// What befalls the entries as the cut begins.
void troubleAtCut(const recut_ref &run)
{
    if (has(*run, "pause")) {
        pauseAll(run, pauseTime);
    }
    if (has(*run, "kill")) {
        run->rounds % 2 == 1 ? killLeader(run) : signalAll(run->world, SIGKILL);
    }
}

template <typename Change>
void changeHalf(const recut_ref &run, std::size_t half, const Change &change)
{
    for (std::size_t index = half; index < run->world.workerCount(); index += 2) {
        change(run->world.workerAt(index));
    }
}

void delayCalls(const recut_ref &run, std::size_t half, microseconds delay)
{
    changeHalf(run, half, [&](worker &each) {
        for (std::size_t entry = 0; entry < run->world.entryCount(); ++entry) {
            each.linkOf(entry).delay = delay;
        }
    });
}

/// One direction fails before the cut and until its end.
void failOneDirection(const recut_ref &run, std::size_t half, microseconds backIn,
                      microseconds cutIn)
{
    using change = std::function<void(worker &, bool)>;
    const auto failIn = [&](microseconds from, const change &fail) {
        run->world.at(std::max(backIn, from), [run, half, fail] {
            changeHalf(run, half, [&fail](worker &each) { fail(each, true); });
        });
        run->world.at(cutIn + cutTime, [run, half, fail] {
            changeHalf(run, half, [&fail](worker &each) { fail(each, false); });
        });
    };
    const change loseAnswers = [](worker &each, bool loses) { each.loseAnswers(loses); };
    if (has(*run, "mute-long")) {
        failIn(backIn, loseAnswers);
    } else if (has(*run, "mute")) {
        failIn(cutIn - muteTime, loseAnswers);
    }
    if (has(*run, "outbound-first")) {
        failIn(cutIn - drawMs(*run, 200, 1'000), [](worker &each, bool loses) {
            each.loseAnswers(loses);
            each.silenceHeartbeats(loses);
        });
    }
    if (has(*run, "inbound-first")) {
        failIn(cutIn - drawMs(*run, 200, 1'000),
               [](worker &each, bool loses) { each.loseCalls(loses); });
    }
}

/// Half of the workers crash, start again under their ids and are cut off.
void recutHalf(const recut_ref &run)
{
    if (steadyNow() >= run->endsAt) {
        return;
    }
    const std::size_t half = run->rounds++ % 2;
    const microseconds crashIn = drawMs(*run, 300, 900);
    const microseconds backIn = crashIn + downTime;
    const microseconds early =
        has(*run, "held") ? heldAfterBack + drawMs(*run, 10, 60) : drawMs(*run, 20, 400);
    const microseconds cutIn = backIn + (has(*run, "early") ? early : cutAfter);
    const microseconds troubleIn = crashIn - drawMs(*run, 20, 200);
    for (int job = 0; job < jobsOnTheWay; ++job) {
        run->world.at(drawMs(*run, 0, backIn / millisecond + 200), [run] { submitJob(run); });
    }
    delayCalls(run, half, run->settings.callDelay);
    run->world.at(troubleIn,
                  [run, backIn, troubleIn] { troubleBeforeCrash(run, backIn - troubleIn); });
    run->world.at(crashIn,
                  [run, half] { changeHalf(run, half, [](worker &each) { each.crash(); }); });
    const bool isUnlisted = has(*run, "unlisted");
    run->world.at(backIn, [run, half, isUnlisted] {
        changeHalf(run, half, [isUnlisted](worker &each) {
            if (isUnlisted) {
                each.silenceHeartbeats(true);
            }
            each.restart();
        });
    });
    failOneDirection(run, half, backIn, cutIn);
    run->world.at(cutIn, [run, half] {
        delayCalls(run, half, 0);
        changeHalf(run, half, [](worker &each) { each.cutOff(false); });
        troubleAtCut(run);
    });
    run->world.at(cutIn + cutTime, [run, half, isUnlisted] {
        changeHalf(run, half, [isUnlisted](worker &each) {
            if (isUnlisted) {
                each.silenceHeartbeats(false);
            }
            each.reconnect();
        });
    });
    run->world.at(roundLength, [run] { recutHalf(run); });
}

} // namespace

const std::map<std::string, std::string> &recutWords()
{
    static const std::map<std::string, std::string> words {
        {"early", "the cut begins within 0.4 s of the restart"},
        {"feed", "the store answers slowly from shortly before the crash until the cut"},
        {"held", "all entries are paused over the crash"},
        {"inbound-first", "calls are lost 0.2 to 1 s before the cut begins"},
        {"kill", "the leader, then all entries, are killed as the cut begins"},
        {"mute", "answers are lost in the last 200 ms before the cut"},
        {"mute-long", "answers are lost from the restart on"},
        {"outbound-first", "answers and beats are lost 0.2 to 1 s before the cut begins"},
        {"pause", "all entries are paused for 3 s as the cut begins"},
        {"takeover", "the leader is killed shortly before the crash"},
        {"unlisted", "no beat of the new lives reaches the store until the cut ends"}};
    return words;
}

tl::expected<recut_settings, std::string> parseRecut(const std::vector<std::string> &arguments)
{
    recut_settings parsed;
    std::int64_t delayMs = 0;
    if (arguments.empty() || !absl::SimpleAtoi(arguments.front(), &delayMs) || delayMs < 0) {
        return tl::make_unexpected("recut needs a delay in milliseconds");
    }
    parsed.callDelay = delayMs * millisecond;
    parsed.words.insert(arguments.begin() + 1, arguments.end());
    for (const std::string &word : parsed.words) {
        if (recutWords().count(word) == 0) {
            return tl::make_unexpected("recut does not know the word " + word);
        }
    }
    return parsed;
}

void runRecut(cell_world &world, const soak_settings &settings, const recut_settings &recut)
{
    const auto run = std::make_shared<recut_run>(
        recut_run {world, recut, std::mt19937_64(settings.seed), steadyNow() + settings.length});
    submitJobs(run);
    world.at(firstCrashAt, [run] { recutHalf(run); });
    world.at(settings.length + endTime, [run] {
        for (const auto &[id, job] : run->world.jobs()) {
            if (job.accepted) {
                run->world.askState(id);
            }
        }
        run->world.at(answerTime, [run] { checkPromises(run->world, run->jobs); });
    });
}

} // namespace bramleygrade::soak
