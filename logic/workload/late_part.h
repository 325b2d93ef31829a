#pragma once

#include "core/time.h"
#include "logic/workload/waiting_part.h"

#include <cstddef>

namespace lagoondeck {

/// Why a waiting part is given up.
enum class LateCause {
    Outlook, ///< The parts ahead of it take longer than it may wait.
    Full,    ///< Too many parts wait.
};

/// A waiting part that is given up, and what that was concluded from.
struct LatePart
{
    WaitingPart part;
    LateCause cause = LateCause::Outlook;
    std::size_t ahead = 0;
    /// The measured rate; 0 if it is unknown.
    double completionsPerSecond = 0.0;
    Duration timeLeft {};
};

} // namespace lagoondeck
