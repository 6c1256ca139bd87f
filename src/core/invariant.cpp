#include "core/invariant.h"

#include <cstdlib>
#include <iostream>

namespace bramleygrade {

void failInvariant(const char *condition, std::string_view remedy)
{
    std::cerr << "invariant broken: " << condition << "; " << remedy << std::endl;
    std::abort();
}

} // namespace bramleygrade
