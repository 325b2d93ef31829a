#include "logic/membership/membership.h"

#include "logic/context.h"
#include "logic/jitter.h"
#include "logic/membership/member_records.h"
#include "logic/membership/peer_message.h"
#include "proto/peer.pb.h"

#include <algorithm>
#include <bit>
#include <iterator>

namespace lagoondeck {

namespace {

constexpr Duration period = std::chrono::milliseconds(500);
constexpr Duration ackTimeout = std::chrono::milliseconds(150);
constexpr double periodJitter = 0.1;
constexpr std::size_t indirectProbes = 3;
/// The suspicion timeout is this many periods times the binary logarithm of the cell's size.
constexpr int suspicionPeriods = 2;
constexpr std::size_t updatesPerMessage = 6;
/// Each message also carries this many records of the view in rotation, so that the views converge
/// even without updates.
constexpr std::size_t rotatedPerMessage = 2;
constexpr std::uint32_t maxHealthPenalty = 4;
/// A timer that fires later than this means that the process was paused.
constexpr Duration pauseThreshold = std::chrono::milliseconds(400);
constexpr Duration cutOffThreshold = std::chrono::seconds(5);
/// Once in this many periods, one member that is dead in this view although listed is probed.
constexpr std::uint64_t deadProbePeriods = 4;
constexpr Duration suspectNotifyInterval = std::chrono::milliseconds(100);
constexpr std::size_t leavingFanOut = 4;
constexpr std::size_t leavingForwardFanOut = 2;

LogEvent logEventOf(MemberChange change)
{
    switch (change) {
    case MemberChange::Suspected:
        return LogEvent::MemberSuspected;
    case MemberChange::Leaving:
        return LogEvent::MemberLeaving;
    case MemberChange::Lost:
    case MemberChange::Stopped:
        return LogEvent::MemberLost;
    default:
        return LogEvent::MemberJoined;
    }
}

std::vector<Member> sampleOthers(const MembershipView &view, std::size_t count,
                                 const InstanceId *excluded, RandomEngine &random)
{
    std::vector<Member> others;
    for (const Member &member : view.others) {
        if (excluded == nullptr || member.id != *excluded) {
            others.push_back(member);
        }
    }
    std::vector<Member> sample;
    std::ranges::sample(others, std::back_inserter(sample), static_cast<std::ptrdiff_t>(count),
                        random);
    return sample;
}

} // namespace

Membership::Membership(Member self, GossipFiller filler)
    : table(std::move(self)), filler(std::move(filler))
{ }

void Membership::start(Context &context)
{
    // The start time as incarnation makes a process that restarts with the same id take precedence
    // over records of its earlier run.
    const auto startedAt = toMilliseconds(context.wall.time_since_epoch());
    this->table.setSelf(MemberStatus::Alive, static_cast<std::uint64_t>(startedAt));
    this->updates.add(this->table.self().id);
    this->lastReceivedAt = context.now;
    this->setTimer(jittered(period / 2, 1.0, context.random), context);
}

void Membership::onTimer(Context &context)
{
    const bool paused = this->detectPause(context);
    if (!paused && this->probe && !this->probe->acknowledged && !this->probe->indirect) {
        this->probeIndirectly(context);
        return;
    }
    if (!paused) {
        this->endProbe(context);
        this->expireSuspicions(context);
    }
    this->detectCutOff(context);
    this->table.removeExpired(context.now);
    this->beginPeriod(context);
}

/// Detects that this process was paused. The other members can't be judged then, because their
/// replies may not have been read yet.
bool Membership::detectPause(Context &context)
{
    const Duration late = context.now - this->timerDue;
    if (late < pauseThreshold) {
        return false;
    }
    context.log(LogEvent::PauseNoticed, {{"pausedMs", std::to_string(toMilliseconds(late))}});
    this->probe.reset();
    this->table.restartSuspicions(context.now);
    this->healthPenalty = std::min(this->healthPenalty + 1, maxHealthPenalty);
    this->lastReceivedAt = context.now;
    return true;
}

void Membership::detectCutOff(Context &context)
{
    if (!this->cutOffDetected && !this->view().others.empty()
        && context.now - this->lastReceivedAt > cutOffThreshold) {
        this->cutOffDetected = true;
        context.log(LogEvent::CutOffNoticed,
                    {{"members", std::to_string(this->view().others.size())}});
    }
}

void Membership::beginPeriod(Context &context)
{
    this->periods += 1;
    if (this->periods % deadProbePeriods == 0) {
        this->probeDeadMember(context);
    }
    this->probe.reset();
    if (const std::optional<Member> member = this->nextToProbe(context)) {
        this->probe = Probe {++this->lastSequence, member->id};
        this->sendPing(*member, this->probe->sequence, context);
        this->setTimer(this->scaledByHealth(ackTimeout), context);
        return;
    }
    this->setTimer(jittered(period, periodJitter, context.random), context);
}

void Membership::probeIndirectly(Context &context)
{
    this->probe->indirect = true;
    if (const Member *member = this->table.find(this->probe->member)) {
        for (const Member &helper :
             sampleOthers(this->view(), indirectProbes, &member->id, context.random)) {
            auto message = this->newMessage(&helper.id);
            message->mutable_ping_request()->set_sequence(this->probe->sequence);
            message->mutable_ping_request()->set_target_address(member->peerAddress);
            context.emit(SendPeerMessage {helper.peerAddress, std::move(message)});
        }
    }
    this->setTimer(
            jittered(this->scaledByHealth(period - ackTimeout), periodJitter, context.random),
            context);
}

void Membership::endProbe(Context &context)
{
    if (!this->probe) {
        return;
    }
    if (this->probe->acknowledged) {
        this->healthPenalty -= this->healthPenalty > 0 ? 1 : 0;
        return;
    }
    this->healthPenalty = std::min(this->healthPenalty + 1, maxHealthPenalty);
    const Member *member = this->table.find(this->probe->member);
    if (member == nullptr || member->status == MemberStatus::Dead
        || member->status == MemberStatus::Suspect) {
        return;
    }
    Member unresponsive = *member;
    // A leaving member that does not answer has stopped.
    unresponsive.status = unresponsive.status == MemberStatus::Leaving ? MemberStatus::Dead
                                                                       : MemberStatus::Suspect;
    this->applyRecord(unresponsive, context);
}

void Membership::expireSuspicions(Context &context)
{
    for (Member member : this->table.suspectedBefore(context.now - this->suspicionTimeout())) {
        member.status = MemberStatus::Dead;
        this->applyRecord(member, context);
    }
}

/// Probes one listed member that is dead in this view. This way the two sides of a network
/// partition that consider each other dead find each other again.
void Membership::probeDeadMember(Context &context)
{
    const std::vector<Member> dead = this->table.deadButListed();
    if (!dead.empty()) {
        std::uniform_int_distribution<std::size_t> pick(0, dead.size() - 1);
        this->sendPing(dead[pick(context.random)], ++this->lastSequence, context);
    }
}

std::optional<Member> Membership::nextToProbe(Context &context)
{
    for (int round = 0; round < 2; ++round) {
        while (!this->probeOrder.empty()) {
            const InstanceId id = std::move(this->probeOrder.back());
            this->probeOrder.pop_back();
            if (const Member *member = this->table.find(id);
                member != nullptr && member->status != MemberStatus::Dead) {
                return *member;
            }
        }
        for (const Member &member : this->view().others) {
            this->probeOrder.push_back(member.id);
        }
        std::ranges::shuffle(this->probeOrder, context.random);
    }
    return std::nullopt;
}

void Membership::onInstances(const InstanceList &list, Context &context)
{
    this->table.clearListed();
    for (const EntryInstance &entry : list.entries) {
        if (entry.id == this->table.self().id) {
            continue;
        }
        if (this->table.find(entry.id) == nullptr) {
            this->applyRecord({entry.id, entry.peerAddress, entry.httpAddress, entry.failureDomain,
                               MemberStatus::Alive, 0},
                              context);
        }
        this->table.setListed(entry.id);
    }
}

void Membership::onPeerMessage(const proto::PeerMessage &message, Context &context)
{
    if (message.sender() == this->table.self().id.value) {
        return;
    }
    this->lastReceivedAt = context.now;
    this->cutOffDetected = false;
    this->applyRecords(message, context);
    this->notifySuspectSender(message, context);
    if (message.has_ping()) {
        const InstanceId sender(message.sender());
        auto reply = this->newMessage(&sender);
        reply->mutable_ack()->set_sequence(message.ping().sequence());
        reply->mutable_ack()->set_about(this->table.self().id.value);
        reply->mutable_ack()->set_on_behalf_of_address(message.ping().on_behalf_of_address());
        context.emit(SendPeerMessage {message.sender_address(), std::move(reply)});
    }
    if (message.has_ping_request()) {
        auto ping = this->newMessage(nullptr);
        ping->mutable_ping()->set_sequence(message.ping_request().sequence());
        ping->mutable_ping()->set_on_behalf_of_address(message.sender_address());
        context.emit(SendPeerMessage {message.ping_request().target_address(), std::move(ping)});
    }
    if (message.has_ack()) {
        this->onAck(message, context);
    }
}

void Membership::onAck(const proto::PeerMessage &message, Context &context)
{
    const proto::Ack &ack = message.ack();
    if (!ack.on_behalf_of_address().empty()) {
        auto forwarded = this->newMessage(nullptr);
        *forwarded->mutable_ack() = ack;
        forwarded->mutable_ack()->clear_on_behalf_of_address();
        context.emit(SendPeerMessage {ack.on_behalf_of_address(), std::move(forwarded)});
        return;
    }
    if (this->probe && ack.sequence() == this->probe->sequence
        && ack.about() == this->probe->member.value && !this->probe->acknowledged) {
        this->probe->acknowledged = true;
        if (!this->probe->indirect) {
            // The timer for the rest of the period is set only once per probe.
            this->probe->indirect = true;
            this->setTimer(jittered(period, periodJitter, context.random), context);
        }
    }
}

void Membership::applyRecords(const proto::PeerMessage &message, Context &context)
{
    for (const proto::MemberRecord &record : message.members()) {
        if (const std::optional<Member> member = readRecord(record)) {
            this->applyRecord(*member, context);
        }
    }
}

void Membership::applyRecord(const Member &record, Context &context)
{
    if (record.id == this->table.self().id) {
        this->refute(record, context);
        return;
    }
    const MemberChange change = this->table.merge(record, context.now);
    if (change == MemberChange::None || change == MemberChange::Renewed) {
        return;
    }
    context.log(logEventOf(change),
                {{"member", record.id.value},
                 {"status", toString(record.status)},
                 {"incarnation", std::to_string(record.incarnation)}});
    const bool onlyListed = record.incarnation == 0 && change == MemberChange::Joined;
    if (!onlyListed) {
        this->updates.add(record.id);
    }
    if (change == MemberChange::Leaving) {
        this->sendPings(leavingForwardFanOut, context);
    }
}

/// Refutes a record that describes this instance as suspect or dead, by increasing the incarnation.
void Membership::refute(const Member &record, Context &context)
{
    const Member &self = this->table.self();
    if (record.incarnation < self.incarnation || record.status == self.status
        || record.status == MemberStatus::Alive) {
        return;
    }
    this->table.setSelf(self.status, record.incarnation + 1);
    this->updates.add(self.id);
    this->healthPenalty = std::min(this->healthPenalty + 1, maxHealthPenalty);
    context.log(LogEvent::MemberRefuted,
                {{"heldFor", toString(record.status)},
                 {"incarnation", std::to_string(self.incarnation)}});
}

/// Immediately sends a suspect or dead sender a message with its record, so that it can refute it.
void Membership::notifySuspectSender(const proto::PeerMessage &message, Context &context)
{
    const Member *sender = this->table.find(InstanceId(message.sender()));
    if (sender == nullptr
        || (sender->status != MemberStatus::Suspect && sender->status != MemberStatus::Dead)
        || context.now - this->lastSuspectNotifyAt < suspectNotifyInterval) {
        return;
    }
    this->lastSuspectNotifyAt = context.now;
    this->sendPing(*sender, ++this->lastSequence, context);
}

void Membership::announceLeaving(Context &context)
{
    const Member &self = this->table.self();
    this->table.setSelf(MemberStatus::Leaving, self.incarnation + 1);
    this->updates.add(self.id);
    this->sendPings(leavingFanOut, context);
}

/// Sends pending updates to a few members immediately instead of with the next probes.
void Membership::sendPings(std::size_t count, Context &context)
{
    for (const Member &member : sampleOthers(this->view(), count, nullptr, context.random)) {
        this->sendPing(member, ++this->lastSequence, context);
    }
}

/// Returns a message with this instance's record, pending updates, some records of the view in
/// rotation, and the receiver's record when that is not alive.
std::shared_ptr<proto::PeerMessage> Membership::newMessage(const InstanceId *receiver)
{
    auto message = newPeerMessage(this->table.self());
    writeRecord(this->table.self(), *message->add_members());
    for (const InstanceId &id :
         this->updates.nextUpdates(updatesPerMessage, this->view().others.size() + 1)) {
        if (const Member *member = this->table.find(id)) {
            writeRecord(*member, *message->add_members());
        }
    }
    const std::vector<Member> &others = this->view().others;
    for (std::size_t i = 0; i < std::min(rotatedPerMessage, others.size()); ++i) {
        this->rotation = (this->rotation + 1) % others.size();
        writeRecord(others[this->rotation], *message->add_members());
    }
    const Member *receiverRecord = receiver == nullptr ? nullptr : this->table.find(*receiver);
    if (receiverRecord != nullptr && receiverRecord->status != MemberStatus::Alive) {
        writeRecord(*receiverRecord, *message->add_members());
    }
    if (this->filler) {
        this->filler(*message);
    }
    return message;
}

void Membership::sendPing(const Member &member, std::uint64_t sequence, Context &context)
{
    auto message = this->newMessage(&member.id);
    message->mutable_ping()->set_sequence(sequence);
    context.emit(SendPeerMessage {member.peerAddress, std::move(message)});
}

void Membership::setTimer(Duration delay, Context &context)
{
    this->timerDue = context.now + delay;
    context.emit(SetTimer {Timer {TimerKind::Membership}, this->timerDue});
}

Duration Membership::suspicionTimeout() const
{
    const auto size = static_cast<int>(std::bit_width(this->view().others.size() + 1));
    return this->scaledByHealth(suspicionPeriods * size * period);
}

Duration Membership::scaledByHealth(Duration duration) const
{
    return duration * (1 + this->healthPenalty);
}

} // namespace lagoondeck
