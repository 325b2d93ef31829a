#include "logic/membership/membership.h"

#include "logic/context.h"
#include "proto/peer.pb.h"

#include <algorithm>

namespace lagoondeck {

Membership::Membership(Member self, GossipFiller filler)
    : current {std::move(self), {}}, filler(std::move(filler))
{ }

void Membership::start(Context &) { }

void Membership::onTimer(Context &) { }

void Membership::onInstances(const InstanceList &list, Context &)
{
    this->current.others.clear();
    for (const EntryInstance &entry : list.entries) {
        if (entry.id == this->current.self.id) {
            continue;
        }
        const MemberStatus status =
                entry.state == InstanceState::Leaving ? MemberStatus::Leaving : MemberStatus::Alive;
        this->current.others.push_back(
                {entry.id, entry.peerAddress, entry.httpAddress, entry.failureDomain, status, 0});
    }
    std::ranges::sort(this->current.others, {}, &Member::id);
}

void Membership::onPeerMessage(const proto::PeerMessage &, Context &) { }

void Membership::announceLeaving(Context &)
{
    this->current.self.status = MemberStatus::Leaving;
}

} // namespace lagoondeck
