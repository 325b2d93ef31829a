#pragma once

#include "core/instance_list.h"
#include "core/time.h"
#include "logic/membership/member_table.h"
#include "logic/membership/update_queue.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

struct Context;

namespace proto {
class PeerMessage;
}

/// The cell's members as this node sees them. The instance list seeds the view and lags; gossip
/// corrects it. In each period the node probes one member, directly and then through others; a
/// member that does not answer is suspected, and dead unless it refutes by a higher incarnation.
/// The work of a node does not depend on the cell's size.
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

    /// The members that are not dead. The reference stays valid.
    const MembershipView &view() const { return this->table.view(); }
    /// Members that are dead here although the platform lists them; they may only be cut off.
    std::vector<Member> listedDead() const { return this->table.listedDead(); }
    /// Whether no other member was heard for a while although there are some.
    bool cutOff() const { return this->cutOffNoticed; }

private:
    struct Probe
    {
        std::uint64_t sequence = 0;
        InstanceId member;
        bool acknowledged = false;
        bool indirect = false;
    };

    bool noticePause(Context &context);
    void noticeCutOff(Context &context);
    void beginPeriod(Context &context);
    void probeIndirectly(Context &context);
    void endProbe(Context &context);
    void expireSuspicions(Context &context);
    void probeOneDead(Context &context);
    std::optional<Member> nextToProbe(Context &context);

    void takeRecords(const proto::PeerMessage &message, Context &context);
    void takeRecord(const Member &record, Context &context);
    void refute(const Member &record, Context &context);
    void answerUnheardSender(const proto::PeerMessage &message, Context &context);
    void onAck(const proto::PeerMessage &message, Context &context);

    std::shared_ptr<proto::PeerMessage> newMessage(const InstanceId *receiver);
    void sendPing(const Member &member, std::uint64_t sequence, Context &context);
    void sendPings(std::size_t count, Context &context);
    void setTimer(Duration delay, Context &context);
    Duration suspicionTimeout() const;
    Duration scaled(Duration duration) const;

    MemberTable table;
    GossipFiller filler;
    UpdateQueue updates;
    std::vector<InstanceId> probeOrder;
    std::optional<Probe> probe;
    std::uint64_t lastSequence = 0;
    std::uint64_t periods = 0;
    std::size_t rotation = 0;
    /// Grows when this node itself seems slow or cut off; it then waits longer for others.
    std::uint32_t ownSlowness = 0;
    Instant timerDue {};
    Instant lastHeard {};
    Instant lastAnsweredUnheard {};
    bool cutOffNoticed = false;
};

} // namespace lagoondeck
