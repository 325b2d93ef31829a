#include "drivers/edge/stated_limit_codec.h"

#include <algorithm>
#include <cmath>

namespace lagoondeck {

namespace {

/// The longest warmup time that a configuration may state, as in platform/store_value_codec.cpp.
constexpr Duration maxColdTime = std::chrono::hours(1);

} // namespace

void writeStatedLimits(const std::vector<StatedLimit> &limits, StatedLimitRows &rows)
{
    for (const StatedLimit &stated : limits) {
        proto::StatedLimit &row = *rows.Add();
        row.set_target(stated.target.value);
        if (stated.perSecond) {
            row.set_per_second(*stated.perSecond);
            row.set_cold_left_us(stated.coldLeft.count());
        }
    }
}

std::vector<StatedLimit> readStatedLimits(const StatedLimitRows &rows)
{
    std::vector<StatedLimit> limits;
    for (const proto::StatedLimit &row : rows) {
        const double perSecond = row.per_second();
        if (!row.has_per_second()) {
            limits.push_back({TargetId(row.target()), std::nullopt});
        } else if (std::isfinite(perSecond) && perSecond >= 0.0) {
            limits.push_back({TargetId(row.target()), perSecond,
                              std::clamp(Duration(row.cold_left_us()), Duration(0), maxColdTime)});
        }
    }
    return limits;
}

} // namespace lagoondeck
