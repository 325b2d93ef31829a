#include "logic/shares/share_division.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace lagoondeck {

std::vector<double> divideLimit(double limit, const std::vector<double> &demands)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t {0});
    std::ranges::sort(order, {}, [&](std::size_t i) { return demands[i]; });
    std::vector<double> parts(demands.size(), 0.0);
    double remaining = limit;
    for (std::size_t served = 0; served < order.size(); ++served) {
        const double fairPart = remaining / static_cast<double>(order.size() - served);
        parts[order[served]] = std::min(demands[order[served]], fairPart);
        remaining -= parts[order[served]];
    }
    for (double &part : parts) {
        part += remaining / static_cast<double>(parts.size());
    }
    return parts;
}

} // namespace lagoondeck
