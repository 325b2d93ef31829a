#include "logic/admission/fair_level.h"

#include <algorithm>
#include <limits>

namespace lagoondeck {

double fairLevel(std::vector<double> wanted, double capacity)
{
    std::ranges::sort(wanted);
    double left = capacity;
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        const double level = left / static_cast<double>(wanted.size() - i);
        if (wanted[i] > level) {
            return level;
        }
        left -= wanted[i];
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace lagoondeck
