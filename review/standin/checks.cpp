#include "checks.h"

namespace bramleygrade::review {

std::string jobId(const std::string &prefix, int number)
{
    const std::string digits = std::to_string(number);
    return prefix + std::string(16 - prefix.size() - digits.size(), '0') + digits;
}

std::string inMs(microseconds time)
{
    return std::to_string(time / millisecond) + " ms";
}

} // namespace bramleygrade::review
