#include "logic/gateway/split_choice.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

const GroupName &SplitChoice::choose(const Route &route, RandomEngine &random)
{
    if (route.split.size() == 1) {
        return route.split.front().group;
    }
    SplitState &state = this->states[route.name];
    if (state.split != route.split) {
        state.split = route.split;
        state.credits.clear();
        for (const WeightedGroup &weightedGroup : route.split) {
            std::uniform_real_distribution<double> initialCredit(
                    0.0, std::max(weightedGroup.weight, 1e-9));
            state.credits.push_back(initialCredit(random));
        }
    }
    double totalWeight = 0.0;
    for (std::size_t i = 0; i < state.credits.size(); ++i) {
        state.credits[i] += route.split[i].weight;
        totalWeight += route.split[i].weight;
    }
    const auto largest = std::ranges::max_element(state.credits);
    *largest -= totalWeight;
    return route.split[static_cast<std::size_t>(largest - state.credits.begin())].group;
}

} // namespace lagoondeck
