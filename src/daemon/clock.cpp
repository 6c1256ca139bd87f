#include "daemon/clock.h"

#include <chrono>

namespace bramleygrade {

namespace {

template <typename Clock>
timestamp microsecondsOf(typename Clock::time_point point)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(point.time_since_epoch()).count();
}

} // namespace

timestamp currentTime()
{
    static const timestamp offset =
        microsecondsOf<std::chrono::system_clock>(std::chrono::system_clock::now())
        - microsecondsOf<std::chrono::steady_clock>(std::chrono::steady_clock::now());
    return offset + microsecondsOf<std::chrono::steady_clock>(std::chrono::steady_clock::now());
}

} // namespace bramleygrade
