#pragma once

#include "core/ids.h"
#include "core/routing_config.h"
#include "core/time.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// What a target tells of itself. Its identity is id and start: an address is used again by others.
struct TargetRecord
{
    TargetId id;
    /// When the process started, in Unix milliseconds; tells two processes of one id apart.
    std::int64_t startedAtMs = 0;
    GroupName group;
    /// IP number and port.
    std::string address;
    FailureDomain failureDomain;
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    bool leaving = false;
    /// How much longer it is slow after its start.
    Duration warmupLeft {};

    bool operator==(const TargetRecord &) const = default;
};

} // namespace lagoondeck
