#pragma once

#include "drivers/peer_traffic.h"
#include "drivers/store_client.h"
#include "logic/node_status.h"

#include <string>

namespace lagoondeck {

/// Counters of the messages and calls by which this process has coordinated with other instances
/// since the start.
struct ControlCost
{
    PeerTraffic peers;
    StoreCallCounts store;
    std::uint64_t instanceListReads = 0;
};

/// Writes the JSON body of GET /v1/status.
std::string writeStatus(const NodeStatus &status, const ControlCost &cost);

} // namespace lagoondeck
