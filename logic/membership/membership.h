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

/// Maintains this instance's view of the cell's members by a SWIM-like protocol. The platform's
/// instance list, which lags, provides the initial view and gossip corrects it. In each period the
/// instance probes one member, first directly and then through others. A member that does not
/// answer becomes suspect, and then dead unless it refutes the suspicion with a higher incarnation.
/// The load per instance does not depend on the cell's size.
class Membership
{
public:
    /// Adds the gossip of the instance's other components to each outgoing message.
    using GossipFiller = std::function<void(proto::PeerMessage &)>;

    explicit Membership(Member self, GossipFiller filler = nullptr);

    /// Sets the first timer.
    void start(Context &context);
    /// Called when the TimerKind::Membership timer fires.
    void onTimer(Context &context);
    void onInstances(const InstanceList &list, Context &context);
    void onPeerMessage(const proto::PeerMessage &message, Context &context);
    /// Announces to the other members that this instance is stopping.
    void announceLeaving(Context &context);

    /// Returns the members that are not dead. The reference stays valid for this object's lifetime.
    const MembershipView &view() const { return this->table.view(); }
    /// Returns the members that this instance considers dead although the platform lists them. They
    /// may only be unreachable from this instance.
    std::vector<Member> deadButListed() const { return this->table.deadButListed(); }
    /// Whether no message from any other member has arrived for a while although there are others.
    bool isCutOff() const { return this->cutOffDetected; }

private:
    struct Probe
    {
        std::uint64_t sequence = 0;
        InstanceId member;
        bool acknowledged = false;
        bool indirect = false;
    };

    bool detectPause(Context &context);
    void detectCutOff(Context &context);
    void beginPeriod(Context &context);
    void probeIndirectly(Context &context);
    void endProbe(Context &context);
    void expireSuspicions(Context &context);
    void probeDeadMember(Context &context);
    std::optional<Member> nextToProbe(Context &context);

    void applyRecords(const proto::PeerMessage &message, Context &context);
    void applyRecord(const Member &record, Context &context);
    void refute(const Member &record, Context &context);
    void notifySuspectSender(const proto::PeerMessage &message, Context &context);
    void onAck(const proto::PeerMessage &message, Context &context);

    std::shared_ptr<proto::PeerMessage> newMessage(const InstanceId *receiver);
    void sendPing(const Member &member, std::uint64_t sequence, Context &context);
    void sendPings(std::size_t count, Context &context);
    void setTimer(Duration delay, Context &context);
    Duration suspicionTimeout() const;
    Duration scaledByHealth(Duration duration) const;

    MemberTable table;
    GossipFiller filler;
    UpdateQueue updates;
    std::vector<InstanceId> probeOrder;
    std::optional<Probe> probe;
    std::uint64_t lastSequence = 0;
    std::uint64_t periods = 0;
    std::size_t rotation = 0;
    /// Increases when this instance itself seems slow or cut off. The probe and suspicion timeouts
    /// are scaled by it, so that a slow instance does not suspect healthy members.
    std::uint32_t healthPenalty = 0;
    Instant timerDue {};
    Instant lastReceivedAt {};
    Instant lastSuspectNotifyAt {};
    bool cutOffDetected = false;
};

} // namespace lagoondeck
