#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bramleygrade/values.h"

namespace bramleygrade {

/// What an entry knows of itself when it starts.
struct entry_identity
{
    /// Unique name of the instance, as in the platform's list.
    std::string name;
    /// A decimal number without leading zeros that rises each time the process starts.
    std::string incarnation;
    std::string failureDomain;
    std::string host;
    int peerPort = 0;
    /// Seed of all chance in the decisions.
    std::uint64_t seed = 1;
};

struct entry_state;

/// All decisions of one entry: who may act for which shard, where requests and tasks run, and what
/// callers and operators are told.
///
///     decision_core core({"entry-1", "1", "domain-a", "127.0.0.1", 7000, 42});
///     for (const command &wanted : step(core, tick {}, now))
///         carryOut(wanted);
///
/// The core does no I/O, reads no clock, starts no thread and keeps no global state: the same
/// events at the same times give the same commands. It checks the promises of the project all the
/// time and ends the process where one is broken. It is not thread-safe; one thread calls it. `now`
/// never decreases from call to call.
class decision_core
{
public:
    explicit decision_core(const entry_identity &identity);
    ~decision_core();
    decision_core(decision_core &&other) noexcept;
    decision_core &operator=(decision_core &&other) noexcept;

    entry_state &state() { return *m_state; }
    const entry_state &state() const { return *m_state; }

private:
    std::unique_ptr<entry_state> m_state;
};

/// Takes in one event and returns what is to be done, in order.
std::vector<command> step(decision_core &core, const event &input, timestamp now);

/// The whole state as one JSON object, for operators.
std::string dumpState(const decision_core &core, timestamp now);

/// True while the entry may commit capacity of this shard.
bool holdsShardLease(const decision_core &core, const std::string &shard, timestamp now);

/// Name of the instance with its incarnation, as the table holds it.
const std::string &identityOf(const decision_core &core);

} // namespace bramleygrade
