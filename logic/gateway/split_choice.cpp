#include "logic/gateway/split_choice.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

const GroupName &SplitChoice::choose(const Route &route, RandomEngine &random)
{
    if (route.split.size() == 1) {
        return route.split.front().group;
    }
    Turn &turn = this->turns[route.name];
    if (turn.split != route.split) {
        turn.split = route.split;
        turn.owed.clear();
        for (const WeightedGroup &part : route.split) {
            std::uniform_real_distribution<double> begin(0.0, std::max(part.weight, 1e-9));
            turn.owed.push_back(begin(random));
        }
    }
    double sum = 0.0;
    for (std::size_t i = 0; i < turn.owed.size(); ++i) {
        turn.owed[i] += route.split[i].weight;
        sum += route.split[i].weight;
    }
    const auto most = std::ranges::max_element(turn.owed);
    *most -= sum;
    return route.split[static_cast<std::size_t>(most - turn.owed.begin())].group;
}

} // namespace lagoondeck
