#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Identity and network address of an entry, fixed when its process starts.
struct entry_identity
{
    /// Unique name of the instance, as in the platform's instance list.
    std::string name;
    /// Decimal number without leading zeros; increases with each start of the process.
    std::string incarnation;
    std::string failureDomain;
    std::string host;
    int peerPort = 0;
    /// Seed of the random numbers used in decisions.
    std::uint64_t seed = 1;
};

struct entry_state;

/// The decision logic of one entry, as a deterministic state machine: leases on shards, routing of
/// requests, placement of tasks, and answers to callers and operators.
///
///     decision_core core({"entry-1", "1", "domain-a", "127.0.0.1", 7000, 42});
///     for (const command &output : step(core, tick {}, now))
///         execute(output);
///
/// The core does no I/O, reads no clock, starts no thread and has no global state: equal events at
/// equal times give equal commands. It checks the invariants of the system continuously and aborts
/// the process when one is violated. Not thread-safe: a single thread calls it, and `now` must not
/// decrease between calls.
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

/// Processes one event and returns the resulting commands in the order of execution.
std::vector<command> step(decision_core &core, const event &input, timestamp now);

/// Returns the complete state as one JSON object, for operators.
std::string dumpState(const decision_core &core, timestamp now);

/// Returns true while this entry holds the lease of `shard` and may commit its capacity.
bool holdsShardLease(const decision_core &core, const std::string &shard, timestamp now);

/// Returns the instance name with the incarnation, in the form stored in the table.
const std::string &identityOf(const decision_core &core);

} // namespace bramleygrade
