#pragma once

#include "core/metrics.h"
#include "drivers/peer_traffic.h"
#include "drivers/store_client.h"
#include "logic/effects.h"
#include "logic/node_status.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace lagoondeck {

/// Counters of the drivers, read when the metrics are requested.
struct DriverCounts
{
    StoreCallCounts store;
    PeerTraffic peers;
    std::uint64_t instanceListCalls = 0;
    /// Steps that an exception ended, by thread.
    std::map<std::string, std::uint64_t> failedSteps;
};

/// Collects metrics and writes the text of GET /metrics. The event loop records answers; any thread
/// may request the text.
class MetricsPage
{
public:
    /// Records the outcome and latency of one answer.
    void record(const AnswerCaller &answer);
    std::string text(const NodeStatus &status, const DriverCounts &counts) const;

private:
    mutable std::mutex mutex;
    Metrics metrics;
};

} // namespace lagoondeck
