#pragma once

#include "core/ids.h"

#include <optional>

namespace lagoondeck {

/// The limit that a target states for the requests of the whole fleet.
struct StatedLimit
{
    TargetId target;
    /// Requests per second; empty if the target states no limit any more.
    std::optional<double> perSecond;

    bool operator==(const StatedLimit &) const = default;
};

} // namespace lagoondeck
