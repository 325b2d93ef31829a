#pragma once

#include "core/metrics.h"
#include "drivers/peer_traffic.h"
#include "drivers/store_client.h"
#include "logic/effects.h"
#include "logic/node_status.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace lagoondeck {

/// What the drivers counted, read when the page is asked for.
struct DriverCounts
{
    StoreCallCounts store;
    PeerTraffic peers;
    std::uint64_t instanceListCalls = 0;
};

/// The text of GET /metrics. The event loop records; any thread asks for the text.
class MetricsPage
{
public:
    /// Counts one answer.
    void record(const AnswerCaller &answer);
    std::string text(const NodeStatus &status, const DriverCounts &counts) const;

private:
    mutable std::mutex mutex;
    Metrics metrics;
};

} // namespace lagoondeck
