#include "drivers/edge/domain_traffic.h"

#include "proto/peer.pb.h"

namespace lagoondeck {

const char *toString(TrafficKind kind)
{
    switch (kind) {
    case TrafficKind::TargetRequests:
        return "target-requests";
    case TrafficKind::TargetReplies:
        return "target-replies";
    case TrafficKind::Delegations:
        return "delegations";
    case TrafficKind::DelegatedAnswers:
        return "delegated-answers";
    case TrafficKind::StoreUpdates:
        return "store-updates";
    case TrafficKind::OtherPeerMessages:
        break;
    }
    return "other-peer-messages";
}

TrafficKind trafficKindOf(const proto::PeerMessage &message)
{
    if (message.has_delegated_answer()) {
        return TrafficKind::DelegatedAnswers;
    }
    if (message.has_coordinator_inquiry() || message.has_coordinator_offer()
        || message.has_delegated_request() || message.has_delegation_receipt()
        || message.has_delegation_cancel()) {
        return TrafficKind::Delegations;
    }
    return message.has_world() ? TrafficKind::StoreUpdates : TrafficKind::OtherPeerMessages;
}

void DomainTraffic::add(TrafficKind kind, bool crossesDomains, std::size_t bytes)
{
    Count &count = this->counts[static_cast<std::size_t>(kind)];
    (crossesDomains ? count.across : count.inside) += bytes;
}

} // namespace lagoondeck
