#include "logic/reducer.h"

#include "logic/invariant.h"
#include "logic/stop_rule.h"

#include <algorithm>
#include <variant>

namespace lagoondeck {

namespace {

/// The time that callers and the load balancer have to notice that this instance is not ready any
/// more.
constexpr Duration announceWindow = std::chrono::milliseconds(1500);
constexpr Duration stopCheckInterval = std::chrono::milliseconds(20);
constexpr Duration retryElsewhereAfter = std::chrono::milliseconds(100);

Member selfMember(const Settings &settings)
{
    Member self;
    self.id = settings.id;
    self.peerAddress = settings.peerAddress;
    self.httpAddress = settings.httpAddress;
    self.failureDomain = settings.failureDomain;
    return self;
}

} // namespace

Reducer::Reducer(const Settings &settings, Policy policy)
    : settings(settings), policy(policy), random(settings.seed),
      membership(selfMember(settings),
                 [this](proto::PeerMessage &message) { this->fillGossip(message); }),
      catalogueSync(this->catalogue, this->membership.view()),
      shares(this->catalogue, this->membership), targets(policy, settings.expectedInstances),
      admission(policy,
                [this](const CatalogueEntry &entry) { return this->shares.limitsOf(entry.name); }),
      engine(policy, this->targets,
             [this](const EntryName &entry) { return this->admission.isOverloaded(entry); }),
      claims(settings), quarantine(this->membership.view())
{ }

void Reducer::fillGossip(proto::PeerMessage &message) const
{
    this->catalogueSync.fillGossip(message);
    this->quarantine.fillGossip(message);
}

std::vector<Effect> Reducer::apply(const Event &event)
{
    std::vector<Effect> effects;
    Context context {event.at, event.wall, effects, this->random, this->ids};
    this->targets.setLiveInstances(
            static_cast<std::uint32_t>(this->membership.view().others.size() + 1));
    std::visit([&](const auto &body) { this->on(body, context); }, event.body);
    std::size_t handledCount = 0;
    do {
        this->processClaimResults(context);
        this->resumeCanaryWaits(context);
        this->handleEffects(context, std::exchange(handledCount, effects.size()));
    } while (handledCount < effects.size() || this->quarantine.hasFinishedWaits());
    return effects;
}

void Reducer::on(const ProcessStarted &, Context &context)
{
    this->targets.start(context);
    this->membership.start(context);
    this->catalogueSync.start(context);
    this->shares.start(context);
}

std::optional<FailureReason> Reducer::rejectionReason(const CallerRequest &request,
                                                      WallTime wall) const
{
    if (this->stopPhase >= StopPhase::Draining) {
        return FailureReason::Stopping;
    }
    if (!this->catalogueSync.isReady()) {
        return FailureReason::NotReady;
    }
    if (this->catalogue.find(request.entry) == nullptr) {
        return FailureReason::UnknownEntry;
    }
    if (!request.idempotent) {
        const FailureReason reason = this->claims.rejectionReason(request, wall);
        return reason == FailureReason::None ? std::nullopt : std::optional(reason);
    }
    return std::nullopt;
}

void Reducer::on(const CallerRequest &event, Context &context)
{
    if (const auto reason = this->rejectionReason(event, context.wall)) {
        this->refuse(event, {*reason, retryElsewhereAfter}, context);
        return;
    }
    const CatalogueEntry &entry = *this->catalogue.find(event.entry);
    const auto refusal = this->admission.admit(event, entry, context);
    this->demand.onArrived(entry.name,
                           refusal && refusal->reason == FailureReason::ConcurrencyLimited);
    if (refusal) {
        this->refuse(event, *refusal, context);
        return;
    }
    this->runAdmitted(event, entry, context.now, context);
}

void Reducer::runAdmitted(const CallerRequest &request, const CatalogueEntry &entry,
                          Instant arrivedAt, Context &context)
{
    const QuarantineDecision decision = this->policy.quarantine
            ? this->quarantine.decide(request, entry, arrivedAt, context)
            : QuarantineDecision::Run;
    if (decision == QuarantineDecision::Wait) {
        return;
    }
    if (decision == QuarantineDecision::Refuse) {
        this->answerNotRun(request, entry, arrivedAt, FailureReason::Quarantined, context);
    } else if (request.idempotent) {
        this->engine.start(request, entry, arrivedAt, context,
                           decision == QuarantineDecision::RunCanary);
    } else {
        this->claims.begin(request, entry, context);
    }
}

void Reducer::answerNotRun(const CallerRequest &request, const CatalogueEntry &entry,
                           Instant arrivedAt, FailureReason reason, Context &context)
{
    Answer answer;
    answer.reason = reason;
    answer.retryAfter = reason == FailureReason::Quarantined ? Duration(0) : retryElsewhereAfter;
    answer.elapsed = context.now - arrivedAt;
    context.emit(AnswerCaller {request.query, entry.name, entry.trafficClass, request.caller,
                               std::move(answer), true});
}

void Reducer::resumeCanaryWaits(Context &context)
{
    for (const FinishedWait &end : this->quarantine.takeFinishedWaits()) {
        if (end.reason == FailureReason::None) {
            this->runAdmitted(end.request, end.entry, end.arrivedAt, context);
        } else {
            this->answerNotRun(end.request, end.entry, end.arrivedAt, end.reason, context);
        }
    }
}

void Reducer::processClaimResults(Context &context)
{
    for (const ClaimResult &result : this->claims.takeResults()) {
        if (result.reason == FailureReason::None) {
            this->engine.start(result.request, result.entry, result.arrivedAt, context);
            continue;
        }
        Answer answer;
        answer.outcome = result.outcome;
        answer.reason = result.reason;
        answer.retryAfter = retryElsewhereAfter;
        answer.elapsed = context.now - result.arrivedAt;
        answer.firstOutcome = result.firstOutcome;
        context.emit(AnswerCaller {result.request.query, result.entry.name,
                                   result.entry.trafficClass, result.request.caller,
                                   std::move(answer), true});
    }
}

void Reducer::refuse(const CallerRequest &request, Refusal refusal, Context &context)
{
    AnswerCaller answer;
    answer.query = request.query;
    answer.entry = request.entry;
    answer.caller = request.caller;
    if (const CatalogueEntry *entry = this->catalogue.find(request.entry)) {
        answer.trafficClass = entry->trafficClass;
    }
    // This instance sent nothing for the request. But when the request is too old, it may have run
    // earlier, and the claim that would have recorded this has expired.
    answer.answer.outcome =
            refusal.reason == FailureReason::RequestTooOld ? Outcome::Unknown : Outcome::NotRun;
    answer.answer.reason = refusal.reason;
    answer.answer.retryAfter = refusal.retryAfter;
    context.emit(std::move(answer));
}

void Reducer::handleEffects(Context &context, std::size_t first)
{
    // The calls below may emit further effects, which invalidates references into the vector. No
    // effect is used after such a call.
    for (std::size_t i = first; i < context.effects.size(); ++i) {
        const Effect &effect = context.effects[i];
        if (const auto *answer = std::get_if<AnswerCaller>(&effect)) {
            if (answer->admitted) {
                const QueryId query = answer->query;
                const Outcome outcome = answer->answer.outcome;
                this->admission.onFinished(answer->entry, answer->answer, context);
                this->claims.onAnswered(query, outcome, context);
                this->quarantine.onAnswered(query, context);
            }
        } else if (const auto *sent = std::get_if<SendSubRequest>(&effect)) {
            this->quarantine.onSent(*sent, context);
        } else if (const auto *cancel = std::get_if<CancelSubRequest>(&effect)) {
            this->quarantine.onCancelled(cancel->attempt);
        }
    }
}

void Reducer::on(const CallerGone &event, Context &context)
{
    this->claims.onCallerGone(event.query, context);
    this->quarantine.onCallerGone(event.query, context);
    this->engine.onCallerGone(event.query, context);
}

void Reducer::on(const TargetReplied &event, Context &context)
{
    this->quarantine.onReply(event, context);
    // A canary whose target survived is released before its reply can complete the query.
    for (const QueryId query : this->quarantine.takeReleasedQueries()) {
        this->engine.releaseCanary(query, context);
    }
    this->engine.onReply(event, context);
}

void Reducer::on(const ConnectionOpened &event, Context &context)
{
    this->targets.onConnectionOpened(event, context);
    if (const auto key = this->targets.shardOf(event.target)) {
        this->engine.sendWaiting(*key, context);
    }
}

void Reducer::on(const ConnectionClosed &event, Context &context)
{
    this->targets.onConnectionClosed(event, context);
    this->quarantine.onConnectionClosed(event, context);
    this->engine.onConnectionClosed(event, context);
}

void Reducer::on(const TargetHealth &event, Context &context)
{
    this->targets.onHealth(event, context);
    if (const auto key = this->targets.shardOf(event.target)) {
        this->engine.sendWaiting(*key, context);
    }
}

void Reducer::on(const CancelConfirmed &event, Context &context)
{
    this->targets.onCancelConfirmed(event, context);
    if (const auto key = this->targets.shardOf(event.target)) {
        this->engine.sendWaiting(*key, context);
    }
}

void Reducer::on(const TimerFired &event, Context &context)
{
    switch (event.timer.kind) {
    case TimerKind::QueryDeadline:
        this->engine.onDeadline(QueryId(event.timer.key), context);
        break;
    case TimerKind::Hedge:
        this->engine.onHedgeTimer(QueryId(event.timer.key), context);
        break;
    case TimerKind::TargetMaintenance:
        this->targets.onTimer(context);
        break;
    case TimerKind::Catalogue:
        this->catalogueSync.onTimer(context);
        break;
    case TimerKind::Membership:
        this->membership.onTimer(context);
        break;
    case TimerKind::Claim:
        this->claims.onTimer(event.timer.key, context);
        break;
    case TimerKind::Quarantine:
        this->quarantine.onTimer(context);
        break;
    case TimerKind::Shares:
        this->exchangeShares(context);
        break;
    case TimerKind::StopBound:
        this->completeStopIfIdle(context);
        break;
    case TimerKind::QueueCheck:
        this->targets.onQueueCheck(context);
        this->engine.sendAllWaiting(context);
        break;
    }
}

void Reducer::on(const InstancesListed &event, Context &context)
{
    this->membership.onInstances(event.list, context);
    this->targets.onInstances(event.list, context);
    this->claims.setMembers(this->membership.view().others.size() + 1);
    this->engine.sendAllWaiting(context);
}

void Reducer::on(const PeerMessageReceived &event, Context &context)
{
    this->membership.onPeerMessage(*event.message, context);
    this->catalogueSync.onPeerMessage(*event.message, context);
    this->quarantine.onPeerMessage(*event.message, context);
    this->shares.onPeerMessage(*event.message, context);
}

void Reducer::on(const StoreReplied &event, Context &context)
{
    if (!this->catalogueSync.onStoreReply(event, context)) {
        this->claims.onStoreReply(event, context);
    }
}

void Reducer::on(const StopRequested &, Context &context)
{
    if (this->stopPhase != StopPhase::Serving) {
        return;
    }
    this->stopPhase = StopPhase::Announced;
    this->drainAt = context.now + announceWindow;
    context.log(LogEvent::Stopping, {{"id", this->settings.id.value}});
    this->membership.announceLeaving(context);
    context.emit(SetTimer {{TimerKind::StopBound, 0}, this->drainAt});
}

void Reducer::exchangeShares(Context &context)
{
    const auto inFlightOf = [this](const EntryName &entry) {
        return this->admission.inFlight(entry);
    };
    for (const auto &[entry, measured] : this->demand.measure(context.now, inFlightOf)) {
        this->shares.setDemand(entry, measured.rate, measured.inFlight);
    }
    this->shares.onTimer(context);
}

void Reducer::completeStopIfIdle(Context &context)
{
    if (this->stopPhase == StopPhase::Announced && context.now >= this->drainAt) {
        this->stopPhase = StopPhase::Draining;
    }
    const bool idle = this->engine.queriesInFlight() == 0 && this->engine.attemptsInFlight() == 0
            && this->claims.pending() == 0 && this->quarantine.waitingCount() == 0;
    const bool boundPassed =
            context.now >= this->drainAt - announceWindow + this->settings.stopBound;
    if (this->stopPhase == StopPhase::Draining && (idle || boundPassed)) {
        this->stopPhase = StopPhase::Done;
        if (!idle) {
            context.log(LogEvent::StopBoundPassed,
                        {{"queries", std::to_string(this->engine.queriesInFlight())}});
        }
        checkStopIsComplete(this->engine.queriesInFlight() + this->claims.pending(), boundPassed);
        this->targets.closeAll(context);
        context.emit(StopCompleted {});
        return;
    }
    if (this->stopPhase != StopPhase::Done) {
        context.emit(SetTimer {{TimerKind::StopBound, 0}, context.now + stopCheckInterval});
    }
}

bool Reducer::isReady() const
{
    return this->catalogueSync.isReady() && !this->isStopping();
}

NodeStatus Reducer::status() const
{
    NodeStatus status;
    status.id = this->settings.id;
    status.failureDomain = this->settings.failureDomain;
    status.ready = this->isReady();
    status.stopping = this->isStopping();
    status.catalogueRevision = this->catalogue.revision();
    for (const auto &[name, entry] : this->catalogue.entries()) {
        status.entries.push_back(name);
    }
    for (const auto &[name, entry] : this->catalogue.entries()) {
        status.shares.push_back({name, this->shares.rateShare(name), entry.ratePerSecond});
    }
    for (const Member &member : this->membership.view().others) {
        status.members.push_back({member.id, member.failureDomain, toString(member.status)});
    }
    status.targets = this->targets.size();
    status.targetsLeaving = this->targets.leavingCount();
    status.connections = this->targets.connectionCount();
    status.queriesInFlight = this->engine.queriesInFlight();
    status.attemptsInFlight = this->engine.attemptsInFlight();
    return status;
}

} // namespace lagoondeck
