#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// The outcome of a sent query as the load tool observed it.
enum class ObservedOutcome {
    Answered,
    NotRun,
    Failed,
    Unknown,
    NoReply, ///< No complete reply arrived.
};

/// The checked reply to one sent query.
struct RequestRecord
{
    ObservedOutcome outcome = ObservedOutcome::NoReply;
    /// The reply's reason, or the client's error when there was no reply.
    std::string reason;
    /// The time from the scheduled send time to the complete reply.
    Duration latency {};
    /// The answer time that the entry instance reports minus that of the slowest needed target.
    Duration overhead {};
    double coverage = 0.0;
    std::uint64_t snapshot = 0;
    std::uint32_t shardsNeeded = 0;
    /// The shards that the answer's hits come from.
    std::vector<std::uint32_t> shards;
    /// The reply or one of its hits belongs to another request.
    bool misrouted = false;
    /// The hits come from several versions or from a version other than the stated one.
    bool mixedSnapshot = false;
    /// The stated coverage contradicts the hits or itself.
    bool falseCoverage = false;
};

} // namespace lagoondeck
