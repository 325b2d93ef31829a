#pragma once

#include "core/ids.h"

#include "core/time.h"

#include <optional>

namespace lagoondeck {

/// The limit that a target states for the requests of the whole fleet.
struct StatedLimit
{
    TargetId target;
    /// Requests per second; empty if the target states no limit any more.
    std::optional<double> perSecond;
    /// For how long the limit holds because the target is cold; 0 if the target states it.
    Duration coldLeft {};

    bool operator==(const StatedLimit &) const = default;
};

} // namespace lagoondeck
