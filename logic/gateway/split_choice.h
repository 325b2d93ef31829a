#pragma once

#include "core/routing_config.h"
#include "logic/context.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// Distributes the requests of a route over its groups by smooth weighted round robin.
///
/// Each instance starts with random credits, so that the proportions also hold for the whole fleet
/// when every instance serves only a few requests.
class SplitChoice
{
public:
    /// Returns the group that serves the next request of the route.
    const GroupName &choose(const Route &route, RandomEngine &random);

private:
    struct SplitState
    {
        /// The weights that the credits belong to.
        std::vector<WeightedGroup> split;
        /// The credit of each group; the group with the largest credit serves the next request.
        std::vector<double> credits;
    };

    /// By route name.
    std::unordered_map<std::string, SplitState> states;
};

} // namespace lagoondeck
