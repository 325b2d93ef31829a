#include "logic/shares/share_division.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace lagoondeck {

std::vector<double> divideLimit(double limit, const std::vector<double> &wanted)
{
    std::vector<std::size_t> order(wanted.size());
    std::iota(order.begin(), order.end(), std::size_t {0});
    std::ranges::sort(order, {}, [&](std::size_t i) { return wanted[i]; });
    std::vector<double> parts(wanted.size(), 0.0);
    double rest = limit;
    for (std::size_t served = 0; served < order.size(); ++served) {
        const double fair = rest / static_cast<double>(order.size() - served);
        parts[order[served]] = std::min(wanted[order[served]], fair);
        rest -= parts[order[served]];
    }
    for (double &part : parts) {
        part += rest / static_cast<double>(parts.size());
    }
    return parts;
}

} // namespace lagoondeck
