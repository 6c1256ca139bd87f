#include "cases.h"

#include <algorithm>

namespace bramleygrade::review {

namespace {

const std::vector<route> &usualRoutes()
{
    static const std::vector<route> routes {
        {"rota", "salon.example", "/rota/", 1, 4, 2.2, 1'000},
        {"comisioane", "salon.example", "/comisioane/", 2, 4, 4.0, 3'000},
        {"rezervare", "salon.example", "/rezervare/", 0, 2, 1.5, 250},
    };
    return routes;
}

} // namespace

const review_case *findCase(const std::string &name)
{
    static const std::vector<review_case> cases {
        {"drain-and-cut", 16, 32'000, usualRoutes(), runDrainAndCut},
        {"cancel-and-cut", 8, 32'000, usualRoutes(), runCancelAndCut},
        {"gang-without-room", 8, 32'000, usualRoutes(), runGangWithoutRoom},
        {"pending-after-loss", 8, 32'000, usualRoutes(), runPendingAfterLoss},
        {"lasting-under-load", 2, 32'000, usualRoutes(), runLastingUnderLoad},
        {"long-schedule", 4, 32'000, usualRoutes(), runLongSchedule},
        {"many-ends", 2, 32'000, usualRoutes(), runManyEnds},
    };
    const auto found = std::find_if(cases.begin(), cases.end(),
                                    [&](const auto &each) { return each.name == name; });
    return found == cases.end() ? nullptr : &*found;
}

} // namespace bramleygrade::review
