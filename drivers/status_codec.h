#pragma once

#include "drivers/peer_traffic.h"
#include "drivers/store_client.h"
#include "logic/node_status.h"

#include <string>

namespace lagoondeck {

/// What acting together has cost this process so far.
struct ControlCost
{
    PeerTraffic peers;
    StoreCallCounts store;
    std::uint64_t instanceListReads = 0;
};

/// Writes what GET /v1/status answers.
std::string writeStatus(const NodeStatus &status, const ControlCost &cost);

} // namespace lagoondeck
