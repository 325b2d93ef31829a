#include "logic/quarantine/quarantine.h"

#include "logic/context.h"
#include "logic/invariant.h"
#include "logic/membership/member.h"
#include "logic/membership/peer_message.h"
#include "proto/peer.pb.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace lagoondeck {

namespace {

/// An owner that does not answer within this time counts as unresponsive.
constexpr Duration ownerTimeout = std::chrono::milliseconds(40);
/// After this many unresponsive owners an instance runs the canary without a grant.
constexpr std::size_t maxUnresponsiveOwners = 2;
/// An owner that answered reports the grant or the end of the other run within this time; after it
/// the grant is requested again.
constexpr Duration grantWaitTimeout = std::chrono::seconds(2);
constexpr Duration timerInterval = std::chrono::milliseconds(10);
/// Requests beyond this number that would wait for one canary run are refused.
constexpr std::size_t maxWaitingPerRun = 256;
constexpr std::size_t maxCanaryRuns = 4096;
/// The number of members that a lost target is reported to directly; the others learn of it by
/// gossip.
constexpr std::size_t maxDirectNotifications = 16;

std::uint64_t rendezvousWeight(Fingerprint fingerprint, const InstanceId &member)
{
    return XXH3_64bits_withSeed(member.value.data(), member.value.size(), fingerprint.value);
}

} // namespace

Quarantine::Quarantine(const MembershipView &view) : view(view) { }

QuarantineDecision Quarantine::decide(const CallerRequest &request, const CatalogueEntry &entry,
                                      Instant arrivedAt, Context &context)
{
    this->lastEventAt = context.now;
    const Fingerprint fingerprint =
            fingerprintOf(entry.name, request.body ? *request.body : std::string());
    const Suspicion suspicion = this->suspects.suspicion(fingerprint, context.now);
    if (suspicion == Suspicion::Quarantined || suspicion == Suspicion::Cooling) {
        return QuarantineDecision::Refuse;
    }
    // A request that must run at most once is sent to only one target anyway and must not wait
    // here.
    const bool needsCanary = request.idempotent
            && (suspicion == Suspicion::Suspect
                || (entry.canary && !this->knownRequests.contains(fingerprint)));
    if (!needsCanary) {
        this->fingerprints.emplace(request.query, fingerprint);
        return QuarantineDecision::Run;
    }
    const Duration timeLimit = request.timeLimit.count() > 0
            ? std::min(request.timeLimit, entry.deadline)
            : entry.deadline;
    return this->startCanaryOrWait(fingerprint, {request, entry, arrivedAt, arrivedAt + timeLimit},
                                   context);
}

QuarantineDecision Quarantine::startCanaryOrWait(Fingerprint fingerprint, WaitingRequest request,
                                                 Context &context)
{
    if (!this->canaryRuns.contains(fingerprint)) {
        if (this->canaryRuns.size() >= maxCanaryRuns) {
            return QuarantineDecision::Refuse;
        }
        this->requestGrant(fingerprint, this->canaryRuns[fingerprint], context);
    }
    CanaryRun &run = this->canaryRuns[fingerprint];
    if (run.granted && !run.canary) {
        run.canary = request.request.query;
        this->fingerprints.emplace(request.request.query, fingerprint);
        return QuarantineDecision::RunCanary;
    }
    if (run.waiting.size() >= maxWaitingPerRun) {
        return QuarantineDecision::Refuse;
    }
    run.waiting.push_back(std::move(request));
    this->setTimer(context);
    return QuarantineDecision::Wait;
}

InstanceId Quarantine::grantOwner(Fingerprint fingerprint, std::size_t unresponsiveOwners) const
{
    std::vector<std::pair<std::uint64_t, const Member *>> ranked {
            {rendezvousWeight(fingerprint, this->view.self.id), &this->view.self}};
    for (const Member &member : this->view.others) {
        if (member.status == MemberStatus::Alive) {
            ranked.emplace_back(rendezvousWeight(fingerprint, member.id), &member);
        }
    }
    const std::size_t index = std::min(unresponsiveOwners, ranked.size() - 1);
    std::ranges::nth_element(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(index),
                             std::greater {});
    return ranked[index].second->id;
}

void Quarantine::requestGrant(Fingerprint fingerprint, CanaryRun &run, Context &context)
{
    run.owner = this->grantOwner(fingerprint, run.unresponsiveOwners);
    const InstanceId owner = run.owner;
    if (owner == this->view.self.id) {
        run.granted = this->grants.tryAcquire(fingerprint, owner, context.now);
        run.ownerAnswered = true;
        run.nextRequestAt = context.now + grantWaitTimeout;
        return;
    }
    run.ownerAnswered = false;
    run.nextRequestAt = context.now + ownerTimeout;
    this->sendCanaryMessage(owner, fingerprint, proto::CANARY_ASK, context);
}

void Quarantine::onGranted(Fingerprint fingerprint, const InstanceId &owner, Context &context)
{
    const auto found = this->canaryRuns.find(fingerprint);
    if (found == this->canaryRuns.end() || found->second.owner != owner) {
        // The grant came too late: the run was abandoned, or the grant has been requested from
        // another owner since.
        this->sendCanaryMessage(owner, fingerprint, proto::CANARY_ENDED, context);
        return;
    }
    found->second.granted = true;
    if (found->second.waiting.empty()) {
        this->finishCanaryRun(fingerprint, false, context);
        return;
    }
    this->finishWaits(found->second);
}

void Quarantine::finishWaits(CanaryRun &run)
{
    for (WaitingRequest &waiting : std::exchange(run.waiting, {})) {
        this->finishedWaits.push_back(
                {std::move(waiting.request), std::move(waiting.entry), waiting.arrivedAt});
    }
}

void Quarantine::finishCanaryRun(Fingerprint fingerprint, bool survived, Context &context)
{
    const auto found = this->canaryRuns.find(fingerprint);
    if (found == this->canaryRuns.end()) {
        return;
    }
    this->finishWaits(found->second);
    const InstanceId owner = found->second.owner;
    this->canaryRuns.erase(found);
    if (owner == this->view.self.id) {
        this->releaseGrant(fingerprint, owner, context);
    } else {
        this->sendCanaryMessage(owner, fingerprint,
                                survived ? proto::CANARY_KNOWN : proto::CANARY_ENDED, context);
    }
}

void Quarantine::releaseGrant(Fingerprint fingerprint, const InstanceId &holder, Context &context)
{
    for (const InstanceId &requester : this->grants.release(fingerprint, holder)) {
        if (requester == this->view.self.id) {
            // The waiting requests are checked again, which requests the grant again.
            if (const auto found = this->canaryRuns.find(fingerprint);
                found != this->canaryRuns.end()) {
                this->finishWaits(found->second);
                this->canaryRuns.erase(found);
            }
            continue;
        }
        if (this->knownRequests.contains(fingerprint)) {
            this->sendCanaryMessage(requester, fingerprint, proto::CANARY_KNOWN, context);
        } else if (this->suspects.suspicion(fingerprint, context.now) != Suspicion::None) {
            this->sendCanaryMessage(requester, fingerprint, proto::CANARY_ENDED, context);
        } else if (this->grants.tryAcquire(fingerprint, requester, context.now)) {
            this->sendCanaryMessage(requester, fingerprint, proto::CANARY_GRANT, context);
        }
    }
}

void Quarantine::onSent(const SendSubRequest &effect, Context &context)
{
    const auto found = this->fingerprints.find(effect.query);
    if (found != this->fingerprints.end()) {
        this->countCanarySubRequest(found->second, effect.query);
        this->sentAttempts.emplace(effect.attempt,
                                   SentAttempt {found->second, effect.query, effect.target,
                                                context.now + effect.deadline,
                                                this->knownRequests.contains(found->second)});
    }
}

void Quarantine::countCanarySubRequest(Fingerprint fingerprint, QueryId query)
{
    const auto canaryRun = this->canaryRuns.find(fingerprint);
    if (canaryRun != this->canaryRuns.end() && canaryRun->second.canary == query) {
        ensure(canaryRun->second.subRequestsInFlight == 0, Invariant::CanaryAlone,
               [&] { return std::to_string(query.value); });
        ++canaryRun->second.subRequestsInFlight;
    }
}

void Quarantine::uncountCanarySubRequest(const SentAttempt &sent)
{
    const auto canaryRun = this->canaryRuns.find(sent.fingerprint);
    if (canaryRun != this->canaryRuns.end() && canaryRun->second.canary == sent.query
        && canaryRun->second.subRequestsInFlight > 0) {
        --canaryRun->second.subRequestsInFlight;
    }
}

void Quarantine::onCancelled(AttemptId attempt)
{
    if (const auto found = this->sentAttempts.find(attempt); found != this->sentAttempts.end()) {
        found->second.cancelled = true;
    }
}

void Quarantine::onReply(const TargetReplied &event, Context &context)
{
    const auto found = this->sentAttempts.find(event.attempt);
    if (found == this->sentAttempts.end()) {
        return;
    }
    const SentAttempt sent = std::move(found->second);
    this->sentAttempts.erase(found);
    this->uncountCanarySubRequest(sent);
    if (event.kind == ReplyKind::Answered || event.kind == ReplyKind::Failed) {
        this->onRequestSurvived(sent, context);
    }
}

void Quarantine::onRequestSurvived(const SentAttempt &sent, Context &context)
{
    this->knownRequests.add(sent.fingerprint, context.now);
    this->suspects.clear(sent.fingerprint);
    const auto found = this->canaryRuns.find(sent.fingerprint);
    if (found != this->canaryRuns.end() && found->second.canary == sent.query) {
        this->releasedQueries.push_back(sent.query);
        this->finishCanaryRun(sent.fingerprint, true, context);
    }
}

void Quarantine::onConnectionClosed(const ConnectionClosed &event, Context &context)
{
    const auto found =
            event.attempt ? this->sentAttempts.find(*event.attempt) : this->sentAttempts.end();
    if (found == this->sentAttempts.end()) {
        return;
    }
    const SentAttempt sent = std::move(found->second);
    this->sentAttempts.erase(found);
    this->uncountCanarySubRequest(sent);
    // A connection that this instance closed or that was silent past the deadline indicates no
    // crash.
    const bool crashed = event.sent && event.end == ConnectionEnd::Lost && !sent.cancelled
            && context.now <= sent.attemptDeadlineAt;
    if (crashed) {
        this->onTargetLost(sent, context);
    }
}

void Quarantine::onTargetLost(const SentAttempt &sent, Context &context)
{
    this->lastEventAt = context.now;
    this->knownRequests.remove(sent.fingerprint);
    // When targets have run the request without crashing before, this target was most likely lost
    // for another reason, and the request only has to run as a canary again. This way a failing
    // rack does not make suspects of frequent requests.
    if (!sent.wasKnown) {
        const bool wasQuarantined =
                this->suspects.suspicion(sent.fingerprint, context.now) == Suspicion::Quarantined;
        this->suspects.recordLoss(sent.fingerprint, sent.target,
                                  this->view.self.id.value + "/" + std::to_string(sent.query.value),
                                  context.now);
        if (!wasQuarantined) {
            this->logIfQuarantined(sent.fingerprint, context);
        }
        this->sendRecordToPeers(sent.fingerprint, context);
    }
    const auto found = this->canaryRuns.find(sent.fingerprint);
    if (found != this->canaryRuns.end() && found->second.canary == sent.query) {
        this->finishCanaryRun(sent.fingerprint, false, context);
    }
    this->setTimer(context);
}

void Quarantine::logIfQuarantined(Fingerprint fingerprint, Context &context)
{
    if (this->suspects.suspicion(fingerprint, context.now) == Suspicion::Quarantined) {
        context.log(LogEvent::RequestQuarantined,
                    {{"fingerprint", std::to_string(fingerprint.value)}});
    }
}

void Quarantine::sendRecordToPeers(Fingerprint fingerprint, Context &context)
{
    std::vector<const Member *> members;
    for (const Member &member : this->view.others) {
        members.push_back(&member);
    }
    std::ranges::shuffle(members, context.random);
    members.resize(std::min(members.size(), maxDirectNotifications));
    for (const Member *member : members) {
        auto message = newPeerMessage(this->view.self);
        this->suspects.writeRecord(fingerprint, *message, context.now);
        context.emit(SendPeerMessage {member->peerAddress, std::move(message)});
    }
}

void Quarantine::sendCanaryMessage(const InstanceId &member, Fingerprint fingerprint, int step,
                                   Context &context)
{
    const auto found = std::ranges::find(this->view.others, member, &Member::id);
    if (found == this->view.others.end()) {
        return;
    }
    auto message = newPeerMessage(this->view.self);
    proto::CanaryWord *canaryMessage = message->add_canaries();
    canaryMessage->set_fingerprint(fingerprint.value);
    canaryMessage->set_step(static_cast<proto::CanaryStep>(step));
    this->suspects.writeRecord(fingerprint, *message, context.now);
    context.emit(SendPeerMessage {found->peerAddress, std::move(message)});
}

void Quarantine::onPeerMessage(const proto::PeerMessage &message, Context &context)
{
    this->lastEventAt = context.now;
    for (const proto::QuarantineRecord &record : message.quarantine()) {
        const Fingerprint fingerprint(record.fingerprint());
        if (this->suspects.merge(record, context.now)) {
            this->knownRequests.remove(fingerprint);
            this->logIfQuarantined(fingerprint, context);
            this->setTimer(context);
        }
    }
    for (const proto::CanaryWord &canaryMessage : message.canaries()) {
        this->onCanaryMessage(canaryMessage, message, context);
    }
}

void Quarantine::onCanaryMessage(const proto::CanaryWord &canaryMessage,
                                 const proto::PeerMessage &message, Context &context)
{
    const Fingerprint fingerprint(canaryMessage.fingerprint());
    const InstanceId sender(message.sender());
    const auto canaryRun = this->canaryRuns.find(fingerprint);
    const bool isAwaitingGrant = canaryRun != this->canaryRuns.end() && !canaryRun->second.granted
            && canaryRun->second.owner == sender;
    switch (canaryMessage.step()) {
    case proto::CANARY_ASK:
        this->onGrantRequested(fingerprint, message, context);
        break;
    case proto::CANARY_GRANT:
        this->onGranted(fingerprint, sender, context);
        break;
    case proto::CANARY_WAIT:
        if (isAwaitingGrant) {
            canaryRun->second.ownerAnswered = true;
            canaryRun->second.nextRequestAt = context.now + grantWaitTimeout;
        }
        break;
    case proto::CANARY_KNOWN:
        this->knownRequests.add(fingerprint, context.now);
        this->suspects.clear(fingerprint);
        [[fallthrough]];
    case proto::CANARY_ENDED:
        if (isAwaitingGrant) {
            this->finishWaits(canaryRun->second);
            this->canaryRuns.erase(canaryRun);
        }
        this->releaseGrant(fingerprint, sender, context);
        break;
    default:
        break;
    }
}

void Quarantine::onGrantRequested(Fingerprint fingerprint, const proto::PeerMessage &message,
                                  Context &context)
{
    const InstanceId requester(message.sender());
    const Suspicion suspicion = this->suspects.suspicion(fingerprint, context.now);
    int step = proto::CANARY_WAIT;
    if (suspicion == Suspicion::Quarantined || suspicion == Suspicion::Cooling) {
        // The message also contains the quarantine record, by which the requester refuses the
        // request.
        step = proto::CANARY_ENDED;
    } else if (suspicion == Suspicion::None && this->knownRequests.contains(fingerprint)) {
        step = proto::CANARY_KNOWN;
    } else if (this->grants.tryAcquire(fingerprint, requester, context.now)) {
        step = proto::CANARY_GRANT;
    }
    this->sendCanaryMessage(requester, fingerprint, step, context);
}

void Quarantine::onAnswered(QueryId query, Context &context)
{
    const auto found = this->fingerprints.find(query);
    if (found == this->fingerprints.end()) {
        return;
    }
    const Fingerprint fingerprint = found->second;
    this->fingerprints.erase(found);
    const auto canaryRun = this->canaryRuns.find(fingerprint);
    if (canaryRun != this->canaryRuns.end() && canaryRun->second.canary == query) {
        this->finishCanaryRun(fingerprint, false, context);
    }
}

void Quarantine::onTimer(Context &context)
{
    this->timerAt = {};
    this->lastEventAt = context.now;
    this->suspects.removeExpired(context.now);
    std::vector<Fingerprint> stalled;
    for (auto &[fingerprint, run] : this->canaryRuns) {
        this->expireWaiting(run, context.now);
        const bool isUnused = run.granted && !run.canary && run.waiting.empty();
        if (isUnused || (!run.granted && run.nextRequestAt <= context.now)) {
            stalled.push_back(fingerprint);
        }
    }
    for (const Fingerprint fingerprint : stalled) {
        this->handleStalledRun(fingerprint, context);
    }
    if (!this->canaryRuns.empty() || this->suspects.size() > 0) {
        this->setTimer(context);
    }
}

void Quarantine::expireWaiting(CanaryRun &run, Instant now)
{
    std::erase_if(run.waiting, [&](WaitingRequest &request) {
        const bool isLate = request.deadlineAt <= now;
        if (isLate) {
            this->finishedWaits.push_back({std::move(request.request), std::move(request.entry),
                                           request.arrivedAt, FailureReason::DeadlinePassed});
        }
        return isLate;
    });
}

void Quarantine::handleStalledRun(Fingerprint fingerprint, Context &context)
{
    CanaryRun &run = this->canaryRuns.at(fingerprint);
    if (run.granted) {
        this->finishCanaryRun(fingerprint, false, context);
    } else if (run.waiting.empty()) {
        this->canaryRuns.erase(fingerprint);
    } else if (run.ownerAnswered || ++run.unresponsiveOwners < maxUnresponsiveOwners) {
        this->requestGrant(fingerprint, run, context);
        if (run.granted) {
            this->finishWaits(run);
        }
    } else {
        // No owner responds. Serving the request takes precedence over the bound of one canary at a
        // time.
        this->onGranted(fingerprint, run.owner, context);
    }
}

void Quarantine::onCallerGone(QueryId query, Context &)
{
    for (auto &[fingerprint, run] : this->canaryRuns) {
        std::erase_if(run.waiting, [&](WaitingRequest &request) {
            const bool isCancelled = request.request.query == query;
            if (isCancelled) {
                this->finishedWaits.push_back({std::move(request.request), std::move(request.entry),
                                               request.arrivedAt, FailureReason::DeadlinePassed});
            }
            return isCancelled;
        });
    }
}

void Quarantine::setTimer(Context &context)
{
    const Instant fireAt =
            context.now + (this->canaryRuns.empty() ? grantWaitTimeout : timerInterval);
    if (this->timerAt == Instant {} || fireAt < this->timerAt) {
        this->timerAt = fireAt;
        context.emit(SetTimer {{TimerKind::Quarantine, 0}, fireAt});
    }
}

void Quarantine::fillGossip(proto::PeerMessage &message) const
{
    this->suspects.writeLatestRecords(message, this->lastEventAt);
}

std::vector<FinishedWait> Quarantine::takeFinishedWaits()
{
    return std::exchange(this->finishedWaits, {});
}

std::vector<QueryId> Quarantine::takeReleasedQueries()
{
    return std::exchange(this->releasedQueries, {});
}

std::size_t Quarantine::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &[fingerprint, run] : this->canaryRuns) {
        count += run.waiting.size();
    }
    return count;
}

} // namespace lagoondeck
