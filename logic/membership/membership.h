#pragma once

#include "core/instance_list.h"
#include "logic/membership/member.h"

#include <functional>

namespace lagoondeck {

struct Context;

namespace proto {
class PeerMessage;
}

/// The cell's members as this node sees them. The instance list seeds the view and lags; gossip
/// corrects it.
class Membership
{
public:
    /// Adds what other parts of the node have to tell to a message that is sent anyway.
    using GossipFiller = std::function<void(proto::PeerMessage &)>;

    explicit Membership(Member self, GossipFiller filler = nullptr);

    /// Sets the first timer.
    void start(Context &context);
    /// TimerKind::Membership.
    void onTimer(Context &context);
    void onInstances(const InstanceList &list, Context &context);
    void onPeerMessage(const proto::PeerMessage &message, Context &context);
    /// Tells the other members that this node stops.
    void announceLeaving(Context &context);

    const MembershipView &view() const { return this->current; }

private:
    MembershipView current;
    GossipFiller filler;
};

} // namespace lagoondeck
