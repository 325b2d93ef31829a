#pragma once

#include "core/time.h"
#include "logic/context.h"

#include <random>

namespace lagoondeck {

/// Returns a duration drawn uniformly from [1 - fraction, 1 + fraction] times the given one, so
/// that instances that started together do not act in lockstep.
inline Duration jittered(Duration duration, double fraction, RandomEngine &random)
{
    std::uniform_real_distribution<double> factor(1.0 - fraction, 1.0 + fraction);
    return Duration(
            static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor(random)));
}

} // namespace lagoondeck
