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

/// An owner that does not answer by then is taken for lost.
constexpr Duration ownerTimeout = std::chrono::milliseconds(40);
/// After so many silent owners a node grants the try to itself.
constexpr std::size_t mostSilentOwners = 2;
/// An owner that answered tells the end by then.
constexpr Duration ownerPatience = std::chrono::seconds(2);
constexpr Duration tick = std::chrono::milliseconds(10);
/// Requests that wait for one try at most; further ones are refused.
constexpr std::size_t mostWaiting = 256;
constexpr std::size_t mostTries = 4096;
/// Members that are told of a loss at once; the others hear it by gossip.
constexpr std::size_t mostToldAtOnce = 16;

std::uint64_t weightOf(Fingerprint fingerprint, const InstanceId &member)
{
    return XXH3_64bits_withSeed(member.value.data(), member.value.size(), fingerprint.value);
}

} // namespace

Quarantine::Quarantine(const MembershipView &view) : view(view) { }

Verdict Quarantine::judge(const CallerRequest &request, const CatalogueEntry &entry,
                          Instant arrivedAt, Context &context)
{
    this->seenNow = context.now;
    const Fingerprint fingerprint =
            fingerprintOf(entry.name, request.body ? *request.body : std::string());
    const Suspicion suspicion = this->book.suspicion(fingerprint, context.now);
    if (suspicion == Suspicion::Quarantined || suspicion == Suspicion::Cooling) {
        return Verdict::Refuse;
    }
    // A request that must run at most once goes to one target anyway, and must not wait here.
    const bool mustTry = request.idempotent
            && (suspicion == Suspicion::Suspect
                || (entry.canary && !this->known.contains(fingerprint)));
    if (!mustTry) {
        this->queries.emplace(request.query, fingerprint);
        return Verdict::Run;
    }
    const Duration budget =
            request.budget.count() > 0 ? std::min(request.budget, entry.deadline) : entry.deadline;
    return this->tryOrWait(fingerprint, {request, entry, arrivedAt, arrivedAt + budget}, context);
}

Verdict Quarantine::tryOrWait(Fingerprint fingerprint, Waiting request, Context &context)
{
    if (!this->tries.contains(fingerprint)) {
        if (this->tries.size() >= mostTries) {
            return Verdict::Refuse;
        }
        this->askOwner(fingerprint, this->tries[fingerprint], context);
    }
    Try &current = this->tries[fingerprint];
    if (current.granted && !current.canary) {
        current.canary = request.request.query;
        this->queries.emplace(request.request.query, fingerprint);
        return Verdict::RunCanary;
    }
    if (current.waiting.size() >= mostWaiting) {
        return Verdict::Refuse;
    }
    current.waiting.push_back(std::move(request));
    this->setTimer(context);
    return Verdict::Wait;
}

InstanceId Quarantine::ownerOf(Fingerprint fingerprint, std::size_t silent) const
{
    std::vector<std::pair<std::uint64_t, const Member *>> ranked {
            {weightOf(fingerprint, this->view.self.id), &this->view.self}};
    for (const Member &member : this->view.others) {
        if (member.status == MemberStatus::Alive) {
            ranked.emplace_back(weightOf(fingerprint, member.id), &member);
        }
    }
    const std::size_t place = std::min(silent, ranked.size() - 1);
    std::ranges::nth_element(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(place),
                             std::greater {});
    return ranked[place].second->id;
}

void Quarantine::askOwner(Fingerprint fingerprint, Try &asked, Context &context)
{
    asked.owner = this->ownerOf(fingerprint, asked.silentOwners);
    const InstanceId owner = asked.owner;
    if (owner == this->view.self.id) {
        asked.granted = this->grants.ask(fingerprint, owner, context.now);
        asked.ownerAnswered = true;
        asked.askAgainAt = context.now + ownerPatience;
        return;
    }
    asked.ownerAnswered = false;
    asked.askAgainAt = context.now + ownerTimeout;
    this->sendWord(owner, fingerprint, proto::CANARY_ASK, context);
}

void Quarantine::onGranted(Fingerprint fingerprint, const InstanceId &owner, Context &context)
{
    const auto found = this->tries.find(fingerprint);
    if (found == this->tries.end() || found->second.owner != owner) {
        // It came too late: the try was given up, or somebody else was asked.
        this->sendWord(owner, fingerprint, proto::CANARY_ENDED, context);
        return;
    }
    found->second.granted = true;
    if (found->second.waiting.empty()) {
        this->endTry(fingerprint, false, context);
        return;
    }
    this->readyAll(found->second);
}

void Quarantine::readyAll(Try &ended)
{
    for (Waiting &next : std::exchange(ended.waiting, {})) {
        this->ready.push_back({std::move(next.request), std::move(next.entry), next.arrivedAt});
    }
}

void Quarantine::endTry(Fingerprint fingerprint, bool survived, Context &context)
{
    const auto found = this->tries.find(fingerprint);
    if (found == this->tries.end()) {
        return;
    }
    this->readyAll(found->second);
    const InstanceId owner = found->second.owner;
    this->tries.erase(found);
    if (owner == this->view.self.id) {
        this->endGrant(fingerprint, owner, context);
    } else {
        this->sendWord(owner, fingerprint, survived ? proto::CANARY_KNOWN : proto::CANARY_ENDED,
                       context);
    }
}

void Quarantine::endGrant(Fingerprint fingerprint, const InstanceId &holder, Context &context)
{
    for (const InstanceId &asker : this->grants.end(fingerprint, holder)) {
        if (asker == this->view.self.id) {
            // Asks its own grants again when it is judged again.
            if (const auto found = this->tries.find(fingerprint); found != this->tries.end()) {
                this->readyAll(found->second);
                this->tries.erase(found);
            }
            continue;
        }
        if (this->known.contains(fingerprint)) {
            this->sendWord(asker, fingerprint, proto::CANARY_KNOWN, context);
        } else if (this->book.suspicion(fingerprint, context.now) != Suspicion::None) {
            this->sendWord(asker, fingerprint, proto::CANARY_ENDED, context);
        } else if (this->grants.ask(fingerprint, asker, context.now)) {
            this->sendWord(asker, fingerprint, proto::CANARY_GRANT, context);
        }
    }
}

void Quarantine::onSent(const SendSubRequest &effect, Context &context)
{
    const auto found = this->queries.find(effect.query);
    if (found != this->queries.end()) {
        this->countCanary(found->second, effect.query);
        this->attempts.emplace(effect.attempt,
                               Sent {found->second, effect.query, effect.target,
                                     context.now + effect.deadline,
                                     this->known.contains(found->second)});
    }
}

void Quarantine::countCanary(Fingerprint fingerprint, QueryId query)
{
    const auto own = this->tries.find(fingerprint);
    if (own != this->tries.end() && own->second.canary == query) {
        ensure(own->second.out == 0, Invariant::CanaryAlone,
               [&] { return std::to_string(query.value); });
        ++own->second.out;
    }
}

void Quarantine::uncountCanary(const Sent &sent)
{
    const auto own = this->tries.find(sent.fingerprint);
    if (own != this->tries.end() && own->second.canary == sent.query && own->second.out > 0) {
        --own->second.out;
    }
}

void Quarantine::onCancelled(AttemptId attempt)
{
    if (const auto found = this->attempts.find(attempt); found != this->attempts.end()) {
        found->second.cancelled = true;
    }
}

void Quarantine::onReply(const TargetReplied &event, Context &context)
{
    const auto found = this->attempts.find(event.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const Sent sent = std::move(found->second);
    this->attempts.erase(found);
    this->uncountCanary(sent);
    if (event.kind == ReplyKind::Answered || event.kind == ReplyKind::Failed) {
        this->onSurvived(sent, context);
    }
}

void Quarantine::onSurvived(const Sent &sent, Context &context)
{
    this->known.add(sent.fingerprint, context.now);
    this->book.clear(sent.fingerprint);
    const auto found = this->tries.find(sent.fingerprint);
    if (found != this->tries.end() && found->second.canary == sent.query) {
        this->released.push_back(sent.query);
        this->endTry(sent.fingerprint, true, context);
    }
}

void Quarantine::onConnectionClosed(const ConnectionClosed &event, Context &context)
{
    const auto found = event.attempt ? this->attempts.find(*event.attempt) : this->attempts.end();
    if (found == this->attempts.end()) {
        return;
    }
    const Sent sent = std::move(found->second);
    this->attempts.erase(found);
    this->uncountCanary(sent);
    // A connection that we gave up, also one that was silent past its deadline, shows no crash.
    const bool crashed = event.sent && event.end == ConnectionEnd::Lost && !sent.cancelled
            && context.now <= sent.lostAfter;
    if (crashed) {
        this->onLoss(sent, context);
    }
}

void Quarantine::onLoss(const Sent &sent, Context &context)
{
    this->seenNow = context.now;
    this->known.forget(sent.fingerprint);
    // Where targets had run it and lived, this one most likely died of something else; the request
    // is only tried with care again. So a rack that fails makes no suspect of what is sent often.
    if (!sent.wasKnown) {
        const bool before =
                this->book.suspicion(sent.fingerprint, context.now) == Suspicion::Quarantined;
        this->book.addLoss(sent.fingerprint, sent.target,
                           this->view.self.id.value + "/" + std::to_string(sent.query.value),
                           context.now);
        if (!before) {
            this->logIfQuarantined(sent.fingerprint, context);
        }
        this->tellAll(sent.fingerprint, context);
    }
    const auto found = this->tries.find(sent.fingerprint);
    if (found != this->tries.end() && found->second.canary == sent.query) {
        this->endTry(sent.fingerprint, false, context);
    }
    this->setTimer(context);
}

void Quarantine::logIfQuarantined(Fingerprint fingerprint, Context &context)
{
    if (this->book.suspicion(fingerprint, context.now) == Suspicion::Quarantined) {
        context.log(LogEvent::RequestQuarantined,
                    {{"fingerprint", std::to_string(fingerprint.value)}});
    }
}

void Quarantine::tellAll(Fingerprint fingerprint, Context &context)
{
    std::vector<const Member *> members;
    for (const Member &member : this->view.others) {
        members.push_back(&member);
    }
    std::ranges::shuffle(members, context.random);
    members.resize(std::min(members.size(), mostToldAtOnce));
    for (const Member *member : members) {
        auto message = newPeerMessage(this->view.self);
        this->book.fillOne(fingerprint, *message, context.now);
        context.emit(SendPeerMessage {member->peerAddress, std::move(message)});
    }
}

void Quarantine::sendWord(const InstanceId &member, Fingerprint fingerprint, int step,
                          Context &context)
{
    const auto found = std::ranges::find(this->view.others, member, &Member::id);
    if (found == this->view.others.end()) {
        return;
    }
    auto message = newPeerMessage(this->view.self);
    proto::CanaryWord *word = message->add_canaries();
    word->set_fingerprint(fingerprint.value);
    word->set_step(static_cast<proto::CanaryStep>(step));
    this->book.fillOne(fingerprint, *message, context.now);
    context.emit(SendPeerMessage {found->peerAddress, std::move(message)});
}

void Quarantine::onPeerMessage(const proto::PeerMessage &message, Context &context)
{
    this->seenNow = context.now;
    for (const proto::QuarantineRecord &record : message.quarantine()) {
        const Fingerprint fingerprint(record.fingerprint());
        if (this->book.merge(record, context.now)) {
            this->known.forget(fingerprint);
            this->logIfQuarantined(fingerprint, context);
            this->setTimer(context);
        }
    }
    for (const proto::CanaryWord &word : message.canaries()) {
        this->onWord(word, message, context);
    }
}

void Quarantine::onWord(const proto::CanaryWord &word, const proto::PeerMessage &message,
                        Context &context)
{
    const Fingerprint fingerprint(word.fingerprint());
    const InstanceId sender(message.sender());
    const auto own = this->tries.find(fingerprint);
    const bool asking =
            own != this->tries.end() && !own->second.granted && own->second.owner == sender;
    switch (word.step()) {
    case proto::CANARY_ASK:
        this->onAsk(fingerprint, message, context);
        break;
    case proto::CANARY_GRANT:
        this->onGranted(fingerprint, sender, context);
        break;
    case proto::CANARY_WAIT:
        if (asking) {
            own->second.ownerAnswered = true;
            own->second.askAgainAt = context.now + ownerPatience;
        }
        break;
    case proto::CANARY_KNOWN:
        this->known.add(fingerprint, context.now);
        this->book.clear(fingerprint);
        [[fallthrough]];
    case proto::CANARY_ENDED:
        if (asking) {
            this->readyAll(own->second);
            this->tries.erase(own);
        }
        this->endGrant(fingerprint, sender, context);
        break;
    default:
        break;
    }
}

void Quarantine::onAsk(Fingerprint fingerprint, const proto::PeerMessage &message, Context &context)
{
    const InstanceId asker(message.sender());
    const Suspicion suspicion = this->book.suspicion(fingerprint, context.now);
    int step = proto::CANARY_WAIT;
    if (suspicion == Suspicion::Quarantined || suspicion == Suspicion::Cooling) {
        // The record goes with the word.
        step = proto::CANARY_ENDED;
    } else if (suspicion == Suspicion::None && this->known.contains(fingerprint)) {
        step = proto::CANARY_KNOWN;
    } else if (this->grants.ask(fingerprint, asker, context.now)) {
        step = proto::CANARY_GRANT;
    }
    this->sendWord(asker, fingerprint, step, context);
}

void Quarantine::onAnswered(QueryId query, Context &context)
{
    const auto found = this->queries.find(query);
    if (found == this->queries.end()) {
        return;
    }
    const Fingerprint fingerprint = found->second;
    this->queries.erase(found);
    const auto own = this->tries.find(fingerprint);
    if (own != this->tries.end() && own->second.canary == query) {
        this->endTry(fingerprint, false, context);
    }
}

void Quarantine::onTimer(Context &context)
{
    this->timerDue = {};
    this->seenNow = context.now;
    this->book.expire(context.now);
    std::vector<Fingerprint> due;
    for (auto &[fingerprint, current] : this->tries) {
        this->dropLate(current, context.now);
        const bool unused = current.granted && !current.canary && current.waiting.empty();
        if (unused || (!current.granted && current.askAgainAt <= context.now)) {
            due.push_back(fingerprint);
        }
    }
    for (const Fingerprint fingerprint : due) {
        this->lookAfter(fingerprint, context);
    }
    if (!this->tries.empty() || this->book.size() > 0) {
        this->setTimer(context);
    }
}

void Quarantine::dropLate(Try &current, Instant now)
{
    std::erase_if(current.waiting, [&](Waiting &request) {
        const bool late = request.deadlineAt <= now;
        if (late) {
            this->ready.push_back({std::move(request.request), std::move(request.entry),
                                   request.arrivedAt, FailureReason::DeadlinePassed});
        }
        return late;
    });
}

void Quarantine::lookAfter(Fingerprint fingerprint, Context &context)
{
    Try &current = this->tries.at(fingerprint);
    if (current.granted) {
        this->endTry(fingerprint, false, context);
    } else if (current.waiting.empty()) {
        this->tries.erase(fingerprint);
    } else if (current.ownerAnswered || ++current.silentOwners < mostSilentOwners) {
        this->askOwner(fingerprint, current, context);
        if (current.granted) {
            this->readyAll(current);
        }
    } else {
        // Nobody answers; service goes before the bound.
        this->onGranted(fingerprint, current.owner, context);
    }
}

void Quarantine::onCallerGone(QueryId query, Context &)
{
    for (auto &[fingerprint, current] : this->tries) {
        std::erase_if(current.waiting, [&](Waiting &request) {
            const bool gone = request.request.query == query;
            if (gone) {
                this->ready.push_back({std::move(request.request), std::move(request.entry),
                                       request.arrivedAt, FailureReason::DeadlinePassed});
            }
            return gone;
        });
    }
}

void Quarantine::setTimer(Context &context)
{
    const Instant due = context.now + (this->tries.empty() ? ownerPatience : tick);
    if (this->timerDue == Instant {} || due < this->timerDue) {
        this->timerDue = due;
        context.emit(SetTimer {{TimerKind::Quarantine, 0}, due});
    }
}

void Quarantine::fillGossip(proto::PeerMessage &message) const
{
    this->book.fill(message, this->seenNow);
}

std::vector<WaitEnd> Quarantine::takeReady()
{
    return std::exchange(this->ready, {});
}

std::vector<QueryId> Quarantine::takeReleased()
{
    return std::exchange(this->released, {});
}

std::size_t Quarantine::waiting() const
{
    std::size_t count = 0;
    for (const auto &[fingerprint, current] : this->tries) {
        count += current.waiting.size();
    }
    return count;
}

} // namespace lagoondeck
