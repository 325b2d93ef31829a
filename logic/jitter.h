#pragma once

#include "core/time.h"
#include "logic/context.h"

#include <random>

namespace lagoondeck {

/// A duration spread evenly over [1 - part, 1 + part] of the given one, so that nodes that began
/// together do not act together.
inline Duration jittered(Duration duration, double part, RandomEngine &random)
{
    std::uniform_real_distribution<double> factor(1.0 - part, 1.0 + part);
    return Duration(
            static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor(random)));
}

} // namespace lagoondeck
