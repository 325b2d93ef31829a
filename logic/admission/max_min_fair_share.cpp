#include "logic/admission/max_min_fair_share.h"

#include <algorithm>
#include <limits>

namespace lagoondeck {

double maxMinFairShare(std::vector<double> demands, double capacity)
{
    std::ranges::sort(demands);
    double remaining = capacity;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double share = remaining / static_cast<double>(demands.size() - i);
        if (demands[i] > share) {
            return share;
        }
        remaining -= demands[i];
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace lagoondeck
