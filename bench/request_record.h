#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// What the load tool saw of one sent query.
enum class SeenOutcome {
    Answered,
    NotRun,
    Failed,
    Unknown,
    NoReply, ///< No whole reply came.
};

/// One sent query and its reply, checked.
struct RequestRecord
{
    SeenOutcome outcome = SeenOutcome::NoReply;
    /// The reply's reason, or what the client saw when there was no reply.
    std::string reason;
    /// From the intended send time to the whole reply.
    Duration latency {};
    /// Answer time as the entry instance tells it, less the slowest needed target's.
    Duration overhead {};
    double coverage = 0.0;
    std::uint64_t snapshot = 0;
    std::uint32_t shardsNeeded = 0;
    /// The shards that the answer's hits come from.
    std::vector<std::uint32_t> shards;
    /// A hit or the reply names another request.
    bool misrouted = false;
    /// Hits of more than one version, or of another than the stated one.
    bool mixedSnapshot = false;
    /// The stated coverage does not match the hits, or itself.
    bool falseCoverage = false;
};

} // namespace lagoondeck
