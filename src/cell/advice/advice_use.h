#pragma once

#include <map>
#include <string>

#include "cell/jobs/job_state.h"

/// \file
/// Counts what the answers of the advisory service led to, for metrics. Nothing here affects
/// decisions.

namespace bramleygrade::cell {

/// Answers of one kind and the time of the advisory service that they took.
struct answered_calls
{
    std::uint64_t calls = 0;
    microseconds time = 0;

    friend bool operator==(const answered_calls &a, const answered_calls &b)
    {
        return a.calls == b.calls && a.time == b.time;
    }
};

/// Answers about the steps of one queue, by what followed.
struct advice_use
{
    /// Tasks of the step were started before it asked again.
    answered_calls withStart;
    /// The step asked again, and nothing had been started.
    answered_calls withoutStart;
};

using advice_use_by_queue = std::map<std::string, advice_use>;

/// Counts an answer that the step received earlier and is followed by another one.
void noteAnswer(advice_use_by_queue &use, const std::string &queue, step_state &step,
                microseconds duration);

/// Counts the newest answer as followed by a start; further starts have no effect.
void noteStartAfterAnswer(advice_use_by_queue &use, const std::string &queue, step_state &step);

} // namespace bramleygrade::cell
