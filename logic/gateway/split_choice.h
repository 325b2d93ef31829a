#pragma once

#include "core/routing_config.h"
#include "logic/context.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// Divides the requests of a route over its groups by their weights, as evenly as whole requests
/// allow. Each instance begins at a random place, so that together they keep the proportions too.
class SplitChoice
{
public:
    const GroupName &choose(const Route &route, RandomEngine &random);

private:
    struct Turn
    {
        std::vector<WeightedGroup> split;
        /// What each group is owed, in parts of the sum of the weights.
        std::vector<double> owed;
    };

    std::unordered_map<std::string, Turn> turns;
};

} // namespace lagoondeck
