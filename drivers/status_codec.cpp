#include "drivers/status_codec.h"

#include <nlohmann/json.hpp>

namespace lagoondeck {

namespace {

nlohmann::json costToJson(const ControlCost &cost)
{
    const StoreCallCounts &store = cost.store;
    return {{"peerMessagesIn", cost.peers.messagesIn},
            {"peerMessagesOut", cost.peers.messagesOut},
            {"peerBytesIn", cost.peers.bytesIn},
            {"peerBytesOut", cost.peers.bytesOut},
            {"peerMessagesDropped", cost.peers.dropped},
            {"peerMessagesRefused", cost.peers.refused},
            {"storeReads", store.ranges},
            {"storeWrites", store.transactions + store.leaseGrants},
            {"storeWatchesOpen", store.openWatches},
            {"storeFailures", store.failures},
            {"instanceListReads", cost.instanceListReads}};
}

} // namespace

std::string writeStatus(const NodeStatus &status, const ControlCost &cost)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const EntryName &entry : status.entries) {
        entries.push_back(entry.value);
    }
    nlohmann::json members = nlohmann::json::array();
    for (const MemberStatusRow &member : status.members) {
        members.push_back({{"id", member.id.value},
                           {"failureDomain", member.failureDomain.value},
                           {"state", member.state}});
    }
    nlohmann::json shares = nlohmann::json::object();
    for (const ShareRow &share : status.shares) {
        shares[share.entry.value] = {{"ratePerSecond", share.ratePerSecond},
                                     {"limit", share.limit}};
    }
    return nlohmann::json {{"id", status.id.value},
                           {"failureDomain", status.failureDomain.value},
                           {"ready", status.ready},
                           {"stopping", status.stopping},
                           {"catalogueRevision", status.catalogueRevision.value},
                           {"entries", std::move(entries)},
                           {"shares", std::move(shares)},
                           {"members", std::move(members)},
                           {"targets", status.targets},
                           {"targetsLeaving", status.targetsLeaving},
                           {"connections", status.connections},
                           {"queriesInFlight", status.queriesInFlight},
                           {"attemptsInFlight", status.attemptsInFlight},
                           {"control", costToJson(cost)}}
            .dump();
}

} // namespace lagoondeck
