#include "cell/advice/advice_use.h"

namespace bramleygrade::cell {

namespace {

void countNewest(answered_calls &counts, step_state &step)
{
    ++counts.calls;
    counts.time += step.unusedAnswer;
    step.unusedAnswer = 0;
}

} // namespace

void noteAnswer(advice_use_by_queue &use, const std::string &queue, step_state &step,
                microseconds duration)
{
    if (step.unusedAnswer > 0) {
        countNewest(use[queue].withoutStart, step);
    }
    step.unusedAnswer = duration;
}

void noteStartAfterAnswer(advice_use_by_queue &use, const std::string &queue, step_state &step)
{
    if (step.unusedAnswer > 0) {
        countNewest(use[queue].withStart, step);
    }
}

} // namespace bramleygrade::cell
