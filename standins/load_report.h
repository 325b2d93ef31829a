#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace lagoondeck {

/// The number of sub-requests in flight that a target reports. To simulate a misleading target, the
/// number can be delayed and scaled.
class LoadReport
{
public:
    void set(Duration lag, double scale);
    void record(Instant now, std::uint32_t inFlight);
    std::uint32_t reported(Instant now);

private:
    void forget(Instant now);

    Duration lag {};
    double scale = 1.0;
    /// The latest value that is old enough to be reported, followed by the newer ones.
    std::deque<std::pair<Instant, std::uint32_t>> history;
};

} // namespace lagoondeck
