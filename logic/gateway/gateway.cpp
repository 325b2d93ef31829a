#include "logic/gateway/gateway.h"

#include "logic/gateway/coordinator_capacity.h"

#include <algorithm>
#include <variant>

namespace lagoondeck {

namespace {

constexpr int statusUnavailable = 503;
/// The fleet is assumed to have at least this many instances until the others have registered.
constexpr std::size_t assumedInstances = 8;
constexpr Duration assumedInstancesPeriod = std::chrono::seconds(5);
/// An instance with more gathered queries per second than this meets its targets often enough to
/// know them, and sends its queries itself.
constexpr double maxDelegatingRate = 8.0;
constexpr Duration rankingInterval = std::chrono::milliseconds(500);
constexpr Duration notReadyRetryAfter = std::chrono::milliseconds(200);

} // namespace

Gateway::Gateway(const GatewaySettings &settings)
    : settings(settings), random(settings.seed), path(this->targets),
      storeSync(settings, this->targets), registration(settings),
      forwarder(this->targets, this->path, settings.retries, settings.logSampleOneIn),
      delegator(settings.failureDomain, settings.regions, settings.logSampleOneIn, this->random()),
      intake(delegationCapacity(settings)), quarantineRecorder(settings),
      accountCaps(settings.id, settings.firstStart)
{ }

std::vector<GatewayEffect> Gateway::apply(const GatewayEvent &event, Instant now)
{
    std::vector<GatewayEffect> effects;
    GatewayContext context {now, effects, this->random, this->ids};
    std::visit([&](const auto &body) { this->on(body, context); }, event);
    this->configConfirmation.update(
            this->storeSync.isReady() ? this->storeSync.configVersion() : 0,
            this->learnedState.hasReplies() || this->storeSync.hasReadOriginalStore(), context);
    this->applyPathChange(context);
    this->passOnRequests(context);
    this->accountCaps.sendAsks(context);
    this->requestBudget(context);
    this->targets.limits().loans().sendRequests(context);
    this->reportCrashes(context);
    return effects;
}

void Gateway::on(const GatewayStarted &, GatewayContext &context)
{
    this->startedAt = context.now;
    this->targets.setInstanceCount(assumedInstances);
    this->targets.setFailureDomain(this->settings.failureDomain);
    this->targets.setRegions(this->settings.regions);
    this->targets.limits().setSelf(this->settings.id);
    this->accountCaps.start(context.now);
    if (!this->settings.firstStart) {
        this->targets.setSlackAvailableAt(context.now + this->settings.retries.window);
    }
    this->storeSync.start(context);
    this->registration.start(context);
    if (!this->settings.firstStart) {
        this->configConfirmation.begin();
        this->learnedState.begin(this->storeSync.seedAddresses(), context);
    }
}

void Gateway::on(const RequestArrived &event, GatewayContext &context)
{
    if (!this->storeSync.isReady()) {
        this->refuseNotReady(event, EndReason::NoConfiguration,
                             "not run: this instance has no configuration yet", context);
        return;
    }
    if (!this->configConfirmation.permits(this->storeSync.configVersion())) {
        this->refuseNotReady(event, EndReason::UnconfirmedConfig,
                             "not run: this instance may not have the configuration in force yet",
                             context);
        return;
    }
    std::optional<AdmittedRequest> request =
            this->forwarder.admit(event, *this->storeSync.routes(),
                                  context.now - this->storeSync.lastConfirmedAt(), context);
    if (!request || this->refuseIfTooLate(*request, context)) {
        return;
    }
    if (AccountCaps::decides(*request)) {
        this->accountCaps.submit(std::move(*request), context);
    } else {
        this->serve(std::move(*request), context);
    }
}

void Gateway::serve(AdmittedRequest arrived, GatewayContext &context)
{
    std::optional<AdmittedRequest> request = std::move(arrived);
    if (request->route->gathers()) {
        this->gatheredRate.add(context.now);
    }
    if (!this->path.carriesRequest(context)) {
        this->requestHelp(std::move(*request), context);
        return;
    }
    if (request->route->gathers() && this->shouldDelegate(context.now)) {
        request =
                this->delegator.delegate(std::move(*request), this->ranking(context.now), context);
    }
    if (request) {
        this->forwarder.start(std::move(*request), context);
    }
}

void Gateway::refuseNotReady(const RequestArrived &event, EndReason reason, const char *detail,
                             GatewayContext &context)
{
    CallerReply reply;
    reply.status = statusUnavailable;
    reply.retryAfter = notReadyRetryAfter;
    reply.detail = detail;
    context.log(LogEvent::RequestTroubled,
                {{"request", event.request->requestId},
                 {"outcome", toString(ExchangeOutcome::Refused)},
                 {"reason", toString(reason)}});
    context.emit(AnswerExchange {
            event.exchange, std::move(reply), {"", ExchangeOutcome::Refused, reason}});
}

bool Gateway::refuseIfTooLate(AdmittedRequest &request, GatewayContext &context)
{
    const Instant endsBy = request.isCutShort ? Instant::max() : request.deadlineAt;
    if (!this->shutdown.canServe(this->forwarder.timeNeeded(*request.route), endsBy, context.now)) {
        this->forwarder.refuseStopping(request, context);
        return true;
    }
    request.endBy(this->shutdown.answersDueAt());
    return false;
}

void Gateway::requestHelp(AdmittedRequest request, GatewayContext &context)
{
    if (auto declined = this->delegator.requestHelp(std::move(request), this->ranking(context.now),
                                                    this->helpers, context)) {
        this->startReturned(std::move(*declined), context);
    }
}

void Gateway::startReturned(AdmittedRequest request, GatewayContext &context)
{
    // While the path is only suspected, or if open connections still work, it is worth a try.
    if (request.isDeclined && this->path.isSilent(context.now)) {
        this->forwarder.refuseWithoutPath(request, context);
    } else {
        this->forwarder.start(std::move(request), context);
    }
}

void Gateway::applyPathChange(GatewayContext &context)
{
    if (const auto change = this->path.takeChange()) {
        switch (*change) {
        case PathChange::Broke:
            this->forwarder.onPathBroken(context);
            break;
        case PathChange::Returned:
            this->targets.forgetHealth();
            break;
        case PathChange::ConnectionsDied:
            this->targets.forgetHealth();
            context.emit(DropIdleConnections {});
            this->forwarder.closeSilentAttempts(context);
            break;
        }
    }
}

bool Gateway::shouldDelegate(Instant now)
{
    const CoordinatorRanking &current = this->ranking(now);
    return !current.domains.empty() && !current.includesSelf
            && this->gatheredRate.perSecond(now) < maxDelegatingRate;
}

const CoordinatorRanking &Gateway::ranking(Instant now)
{
    const std::array<std::uint64_t, 3> revisions {this->storeSync.memberRevision(),
                                                  this->targets.revision(),
                                                  this->storeSync.routes()->config()->version};
    if (revisions != this->rankedRevisions && now - this->rankedAt >= rankingInterval) {
        this->rankedRevisions = revisions;
        this->rankedAt = now;
        this->coordinatorRanking =
                rankCoordinators(this->storeSync.members(),
                                 this->targets.coveringDomains(*this->storeSync.routes()->config()),
                                 this->settings.id);
        this->targets.setCoordinators(this->coordinatorRanking.coordinators,
                                      this->coordinatorRanking.includesSelf);
    }
    return this->coordinatorRanking;
}

void Gateway::passOnRequests(GatewayContext &context)
{
    for (AdmittedRequest &request : this->accountCaps.takeAdmitted()) {
        if (!this->refuseIfTooLate(request, context)) {
            this->serve(std::move(request), context);
        }
    }
    for (AdmittedRequest &request : this->delegator.takeReturned()) {
        if (!this->refuseIfTooLate(request, context)) {
            this->startReturned(std::move(request), context);
        }
    }
    for (AdmittedRequest &request : this->forwarder.takeStranded()) {
        if (!this->refuseIfTooLate(request, context)) {
            this->requestHelp(std::move(request), context);
        }
    }
}

const RouteTable *Gateway::readyRoutes() const
{
    const bool isReady = this->storeSync.isReady()
            && this->configConfirmation.permits(this->storeSync.configVersion());
    return isReady ? this->storeSync.routes().get() : nullptr;
}

IntakeConditions Gateway::intakeConditions() const
{
    return {this->readyRoutes(), this->shutdown.hasBegun(), this->path.state() == PathState::Up};
}

void Gateway::on(const CallerLeft &event, GatewayContext &context)
{
    if (!this->accountCaps.onCallerLeft(event.exchange, context)
        && !this->delegator.onCallerLeft(event.exchange, context)) {
        this->forwarder.onCallerLeft(event.exchange, context);
    }
}

void Gateway::on(const AnswerWritten &event, GatewayContext &context)
{
    this->forwarder.onAnswerWritten(event, context);
}

void Gateway::on(const AttemptReplied &event, GatewayContext &context)
{
    this->forwarder.onReply(event, context);
}

void Gateway::on(const AttemptEnded &event, GatewayContext &context)
{
    this->forwarder.onEnded(event, context);
}

void Gateway::on(const PathProbed &event, GatewayContext &context)
{
    this->path.onProbed(event, context);
}

void Gateway::on(const StoreAnswered &event, GatewayContext &context)
{
    if (event.answer.status == StoreCallStatus::NoAnswer) {
        context.log(LogEvent::StoreCallUnanswered,
                    {{"keptConnection", event.answer.onKeptConnection ? "yes" : "no"},
                     numberField("elapsedMs", toMilliseconds(event.answer.elapsed))});
    }
    this->storeSync.onAnswer(event, context);
    this->registration.onAnswer(event, context);
    this->quarantineRecorder.onAnswer(event, context);
    this->storeSync.onHistory(event.answer.history, context);
    this->applyStoreState(context);
}

void Gateway::on(const StoreUpdateReceived &event, GatewayContext &context)
{
    this->storeSync.onUpdate(event, context);
    this->applyStoreState(context);
}

void Gateway::applyStoreState(GatewayContext &context)
{
    this->checkRegistration(context);
    this->quarantineRecorder.onHistory(this->storeSync.history(), context);
    this->applyQuarantines(context);
    this->updateInstances(context.now);
    this->targets.logNewlyCold(context);
    if (!this->targets.evacuatedDomains().empty()) {
        this->forwarder.abandonUnservable(context);
    }
    if (this->storeSync.isReady() && !this->learnedState.isComplete()) {
        this->learnedState.onMembers(this->storeSync.otherMembers(), context);
    }
    if (this->storeSync.isReady()) {
        this->targets.onLimitsReported(this->learnedState.takeHeldLimits(), context);
    }
}

void Gateway::checkRegistration(GatewayContext &context)
{
    this->registration.onHistory(this->storeSync.history(), context);
    if (this->storeSync.isReady()) {
        this->registration.onListed(this->storeSync.members().contains(this->settings.id.value),
                                    context);
    }
}

void Gateway::updateInstances(Instant now)
{
    if (this->recentMembers.update(this->storeSync.members(), now)) {
        this->targets.limits().setMembers(this->recentMembers.all());
        this->accountCaps.setMembers(this->recentMembers.all(), now);
        this->helpers.setMembers(this->recentMembers.all(), this->settings.id,
                                 this->settings.failureDomain);
    }
    std::size_t instances = std::max<std::size_t>(this->recentMembers.size(), 1);
    if (now - this->startedAt < assumedInstancesPeriod) {
        instances = std::max(instances, assumedInstances);
    }
    this->targets.setInstanceCount(instances);
}

void Gateway::on(const TimerDue &, GatewayContext &context)
{
    this->storeSync.onTimer(context);
    this->registration.onTimer(context);
    this->learnedState.onTimer(context);
    this->quarantineRecorder.onTimer(context);
    this->accountCaps.onTimer(context);
    this->delegator.onTimer(context);
    this->forwarder.onTimer(context);
    this->path.onTimer(context);
    this->reportLimits(context);
}

void Gateway::on(const ProcessPaused &event, GatewayContext &context)
{
    context.log(LogEvent::PauseNoticed, {{"ms", std::to_string(toMilliseconds(event.length))}});
    context.emit(DropIdleConnections {});
    this->forwarder.onPaused(context.now);
    this->storeSync.refresh(context);
    this->learnedState.begin(this->storeSync.otherMembers(), context);
}

void Gateway::on(const GatewayStopRequested &, GatewayContext &context)
{
    this->shutdown.begin(context.now, this->settings.stopGrace);
    this->registration.withdraw(context);
    this->forwarder.onStopping(this->shutdown.answersDueAt());
    this->delegator.onStopping(this->shutdown.answersDueAt());
    context.log(LogEvent::Stopping,
                {numberField("requests",
                             static_cast<std::int64_t>(this->forwarder.exchangesInFlight()
                                                       + this->delegator.size()
                                                       + this->accountCaps.size()))});
}

Instant Gateway::nextTimer() const
{
    return std::min({this->quarantineRecorder.nextTimer(), this->storeSync.nextTimer(),
                     this->registration.nextTimer(), this->learnedState.nextTimer(),
                     this->delegator.nextTimer(), this->forwarder.nextTimer(),
                     this->path.nextTimer(), this->targets.limits().nextTimer(),
                     this->configConfirmation.nextTimer(), this->accountCaps.nextTimer()});
}

CallerLimits Gateway::limits() const
{
    return this->storeSync.routes() == nullptr ? CallerLimits {}
                                               : this->storeSync.routes()->config()->limits;
}

GatewayStatus Gateway::status(Instant now) const
{
    GatewayStatus status;
    status.ready = this->isReady();
    status.stopping = this->shutdown.hasBegun();
    status.configVersion =
            this->storeSync.routes() == nullptr ? 0 : this->storeSync.routes()->config()->version;
    status.targets = this->targets.size();
    status.members = this->storeSync.members().size();
    status.exchanges =
            this->forwarder.exchangesInFlight() + this->delegator.size() + this->accountCaps.size();
    status.attempts = this->forwarder.attemptsInFlight();
    status.storeUnavailable = this->storeSync.storeHealth().isUnavailable();
    status.counts = this->forwarder.counts();
    status.delegation = this->delegator.counts();
    status.coordinated = this->intake.takenCount();
    status.limitedTargets = this->targets.limits().limitedCount(now);
    status.limitedAttempts = this->targets.limits().counts();
    status.accountUsage = this->accountCaps.usage();
    status.evacuatedDomains = this->targets.evacuatedDomains().size();
    status.coldTargets = this->targets.limits().coldCount(now);
    status.lostDomains = this->targets.lostDomainCount();
    status.placement = this->targets.placementCounts();
    status.waitingByRank = this->forwarder.waitingByRank();
    status.sentByGuarantee = this->forwarder.sentByGuarantee();
    status.isCoordinator = this->coordinatorRanking.includesSelf;
    status.path = this->path.state();
    if (const Instant repliedAt = this->path.lastReplyAt(); repliedAt != Instant::min()) {
        status.targetReplyAge = now - repliedAt;
    }
    status.storeDataAge = now - this->storeSync.lastConfirmedAt();
    status.storeHistory = this->storeSync.history();
    return status;
}

} // namespace lagoondeck
