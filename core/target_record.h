#pragma once

#include "core/ids.h"
#include "core/routing_config.h"
#include "core/time.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// A target's own registration in the store. Id and start time together identify a target; the
/// address does not, because other targets may use it again.
struct TargetRecord
{
    TargetId id;
    /// When the process started, in Unix milliseconds. Distinguishes two processes with the same
    /// id.
    std::int64_t startedAtMs = 0;
    GroupName group;
    /// IP address and port.
    std::string address;
    FailureDomain failureDomain;
    /// The number of requests that the target runs concurrently.
    std::uint32_t slots = 1;
    bool leaving = false;
    /// The remaining time for which the target is slow because it was started recently.
    Duration warmupLeft {};

    bool operator==(const TargetRecord &) const = default;
};

} // namespace lagoondeck
