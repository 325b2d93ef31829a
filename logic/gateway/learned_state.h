#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/gateway/stated_limit.h"
#include "logic/quarantine/fingerprint.h"

#include <cstdint>
#include <vector>

namespace lagoondeck {

/// A request that may crash targets.
struct SuspectRequest
{
    Fingerprint fingerprint;
    std::uint32_t crashes = 0;
    /// The time since the last crash.
    Duration age {};

    bool operator==(const SuspectRequest &) const = default;
};

/// A process of a target that said that it is leaving.
struct LeavingTarget
{
    TargetId target;
    /// When the process started, which tells it from later ones under the same id.
    std::int64_t startedAtMs = 0;

    bool operator==(const LeavingTarget &) const = default;
};

/// What an instance has learned from targets and members and can't read from the store.
struct LearnedState
{
    std::vector<SuspectRequest> suspects;
    std::vector<StatedLimit> limits;
    std::vector<LeavingTarget> leavingTargets;
    /// The version of the configuration in force; 0 if there is none, or if the instance runs a
    /// version of the program that doesn't tell.
    std::uint64_t configVersion = 0;
    /// False if the instance is still asking other members itself.
    bool isComplete = true;
};

} // namespace lagoondeck
