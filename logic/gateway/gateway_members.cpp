// The part of Gateway that handles what other members send, and tells them what this instance has
// learned.

#include "logic/gateway/gateway.h"

#include <utility>

namespace lagoondeck {

void Gateway::on(const InquiryReceived &event, GatewayContext &context)
{
    this->intake.reply(event, this->intakeConditions(), context);
}

void Gateway::on(const OfferReceived &event, GatewayContext &context)
{
    this->delegator.onOffer(event, context);
}

void Gateway::on(const RequestDelegated &event, GatewayContext &context)
{
    if (auto request = this->intake.take(event, this->intakeConditions(), context)) {
        // Keeps the share of the connections up to date on an instance without own callers.
        this->ranking(context.now);
        this->forwarder.start(std::move(*request), context);
    }
}

void Gateway::on(const ReceiptReceived &event, GatewayContext &context)
{
    this->delegator.onReceipt(event, context);
}

void Gateway::on(const DelegatedAnswerReceived &event, GatewayContext &context)
{
    this->delegator.onAnswer(event, context);
    for (const TargetId &target : event.answer.leavingTargets) {
        this->targets.onLeavingReported(target, context);
    }
}

void Gateway::on(const DelegationCancelled &event, GatewayContext &context)
{
    this->forwarder.onDelegationCancelled(event, context);
}

void Gateway::on(const AccountTokensAsked &event, GatewayContext &context)
{
    if (const RouteTable *routes = this->readyRoutes()) {
        this->accountCaps.onAsked(event, routes->accounts(), context);
    }
}

void Gateway::on(const AccountTokensGranted &event, GatewayContext &context)
{
    this->accountCaps.onGranted(event, context);
}

void Gateway::on(const BudgetRequested &event, GatewayContext &context)
{
    LendBudget effect {event.sender, {event.number, {}, RetryBudget::loanLifetime}};
    for (const auto &[group, count] : event.extras) {
        const std::uint32_t lent = this->targets.group(group).budget.lend(
                this->settings.retries, this->targets.instanceCount(), count, context.now);
        if (lent > 0) {
            effect.loan.lent.emplace(group, lent);
        }
    }
    context.emit(std::move(effect));
}

void Gateway::on(const BudgetLent &event, GatewayContext &context)
{
    this->forwarder.onLoan(event, context);
    this->forwarder.loans().onLoan(event, this->storeSync.otherMembers(), context);
}

void Gateway::on(const CrashReported &event, GatewayContext &context)
{
    const CrashObservation &observation = event.observation;
    if (observation.origin == this->settings.id || !this->seenReports.add(observation.number)) {
        return;
    }
    this->forwarder.onCrash(observation, context);
    this->recordQuarantine(observation.fingerprint, context);
    std::vector<std::string> receivers = this->storeSync.relayReceivers(observation.origin);
    if (!receivers.empty()) {
        context.emit(ReportCrash {std::move(receivers), observation});
    }
}

void Gateway::reportCrashes(GatewayContext &context)
{
    for (const Fingerprint fingerprint : this->forwarder.takeClearedSuspects()) {
        this->quarantineRecorder.onCleared(fingerprint, context);
    }
    for (CrashObservation &observation : this->forwarder.takeNewCrashes()) {
        observation.origin = this->settings.id;
        this->quarantineRecorder.onObserved(observation.fingerprint);
        this->recordQuarantine(observation.fingerprint, context);
        std::vector<std::string> receivers = this->storeSync.relayReceivers(observation.origin);
        if (!receivers.empty()) {
            context.emit(ReportCrash {std::move(receivers), observation});
        }
    }
}

void Gateway::recordQuarantine(Fingerprint fingerprint, GatewayContext &context)
{
    const CrashTracker &tracker = this->forwarder.crashTracker();
    if (const auto until = tracker.blockedUntil(fingerprint, context.now)) {
        this->quarantineRecorder.onQuarantined({fingerprint.value, tracker.crashesOf(fingerprint)},
                                               *until - context.now, context);
    }
}

void Gateway::applyQuarantines(GatewayContext &context)
{
    for (const QuarantineRecord &quarantine : this->storeSync.takeQuarantines()) {
        this->quarantineRecorder.onRecorded(quarantine);
        const Fingerprint fingerprint(quarantine.fingerprint);
        // What is known already is not renewed.
        if (this->forwarder.crashTracker().crashesOf(fingerprint) < quarantine.crashes) {
            this->forwarder.onSuspect({fingerprint, quarantine.crashes, Duration(0)}, "stored",
                                      context);
        }
    }
}

void Gateway::on(const LimitsReported &event, GatewayContext &context)
{
    const LimitReport &report = event.report;
    if (report.origin == this->settings.id || !this->seenReports.add(report.number)) {
        return;
    }
    this->targets.onLimitsReported(report.limits, context);
    std::vector<std::string> receivers = this->storeSync.relayReceivers(report.origin);
    if (!receivers.empty()) {
        context.emit(ReportLimits {std::move(receivers), report});
    }
}

void Gateway::on(const LearnedStateRequested &event, GatewayContext &context)
{
    LearnedState state;
    state.suspects = this->forwarder.crashTracker().latestSuspects(context.now);
    state.isComplete = this->learnedState.isComplete();
    state.configVersion = this->storeSync.configVersion();
    this->targets.describe(state, context.now);
    context.emit(SendLearnedState {event.sender, std::move(state)});
}

void Gateway::on(const LearnedStateReceived &event, GatewayContext &context)
{
    this->learnedState.onReply(event.sender, event.state);
    this->configConfirmation.onReported(event.sender, event.state.configVersion);
    for (const SuspectRequest &suspect : event.state.suspects) {
        this->forwarder.onSuspect(suspect, "learned", context);
    }
    for (const LeavingTarget &leaving : event.state.leavingTargets) {
        this->targets.onLeavingKnown(leaving, context);
    }
    if (this->storeSync.isReady()) {
        this->targets.onLimitsReported(event.state.limits, context);
    } else {
        this->learnedState.holdLimits(event.state.limits);
    }
}

void Gateway::on(const LimitRequested &event, GatewayContext &context)
{
    context.emit(LendLimit {
            event.sender,
            {event.number, this->targets.lendLimits(event, context), LimitBucket::loanLifetime}});
}

void Gateway::on(const LimitLent &event, GatewayContext &context)
{
    this->forwarder.onLimitLent(event, context);
}

void Gateway::reportLimits(GatewayContext &context)
{
    std::vector<StatedLimit> due = this->targets.limits().takeDueReport(context.now);
    std::vector<std::string> receivers = this->storeSync.relayReceivers(this->settings.id);
    if (!due.empty() && !receivers.empty()) {
        context.emit(ReportLimits {std::move(receivers),
                                   {this->settings.id, context.random(), std::move(due)}});
    }
}

void Gateway::requestBudget(GatewayContext &context)
{
    if (this->forwarder.loans().hasRequests()) {
        this->forwarder.loans().sendRequests(this->storeSync.otherMembers(), context);
    }
}

} // namespace lagoondeck
