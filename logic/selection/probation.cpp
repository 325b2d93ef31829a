#include "logic/selection/probation.h"

#include "logic/selection/target_state.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

/// A target is slow when its mean latency is more than this many times that of the fastest other
/// replica.
constexpr int slowMultiple = 3;
/// Smaller latency differences are ignored, whatever the ratio.
constexpr Duration minDifference = std::chrono::milliseconds(5);
constexpr int fastProbeMultiple = 2;
constexpr std::uint32_t fastProbesToReturn = 3;
constexpr std::uint32_t unsuccessfulProbesToFail = 4;
/// A sub-request this many times as slow as the fastest replica's average is a straggler.
constexpr int stragglerMultiple = 3;
/// A straggler starts a trial only if at most one in this many replicas is then on trial or
/// probation.
constexpr std::size_t replicasPerTrial = 2;
constexpr Duration initialInterval = std::chrono::milliseconds(500);
constexpr Duration initialTrialInterval = std::chrono::milliseconds(100);
constexpr Duration maxInterval = std::chrono::seconds(8);
/// How long a due probe waits for a request that allows a second attempt, before an ordinary
/// attempt replaces it. The wait is short for a trial, which mostly follows a single straggler and
/// shifts load to the other replicas. It is long for full probation, because an ordinary attempt at
/// a slow target delays a caller.
constexpr Duration trialAttemptWait = std::chrono::seconds(1);
constexpr Duration fullAttemptWait = std::chrono::seconds(10);
/// The interval between consecutive fast probes.
constexpr Duration fastInterval = std::chrono::milliseconds(20);

Duration jittered(Duration interval, RandomEngine &random)
{
    std::uniform_int_distribution<Duration::rep> spread(interval.count() / 2,
                                                        interval.count() * 3 / 2);
    return Duration(spread(random));
}

/// Returns whether a probe of this latency is fast compared with the fastest replica.
bool isFast(Duration latency, Duration fastest)
{
    return latency <= fastest * fastProbeMultiple + minDifference;
}

} // namespace

void Probation::begin(Stage stage, Instant now, RandomEngine &random)
{
    this->currentStage = stage;
    this->probeInFlight = false;
    this->interval = stage == Stage::Trial ? initialTrialInterval : initialInterval;
    this->fastProbes = 0;
    this->unsuccessfulProbes = 0;
    this->nextProbeAt = now + jittered(this->interval, random);
}

bool Probation::isAttemptDue(Instant now) const
{
    // After a fast probe the next one is not delayed, so that the target returns soon.
    const Duration wait = this->fastProbes > 0   ? Duration::zero()
            : this->currentStage == Stage::Trial ? trialAttemptWait
                                                 : fullAttemptWait;
    return this->isActive() && now >= this->nextProbeAt + wait;
}

bool Probation::hasTrialFailed() const
{
    return this->unsuccessfulProbes >= unsuccessfulProbesToFail;
}

void Probation::onProbeSent(Instant now, RandomEngine &random)
{
    this->probeInFlight = true;
    this->nextProbeAt = now + jittered(this->interval, random);
}

bool Probation::onFastProbe(Instant now)
{
    this->probeInFlight = false;
    ++this->fastProbes;
    this->unsuccessfulProbes = 0;
    this->interval = initialInterval;
    this->nextProbeAt = now + fastInterval;
    if (this->currentStage == Stage::Full && this->fastProbes < fastProbesToReturn) {
        return false;
    }
    this->currentStage = Stage::None;
    return true;
}

void Probation::onUnsuccessfulProbe(Instant now, RandomEngine &random)
{
    if (!this->probeInFlight) {
        return;
    }
    this->probeInFlight = false;
    ++this->unsuccessfulProbes;
    this->interval = std::min(this->interval * 2, maxInterval);
    this->nextProbeAt = now + jittered(this->interval, random);
}

void Probation::onSlowProbe(Instant now, RandomEngine &random)
{
    if (this->probeInFlight) {
        this->fastProbes = 0;
        this->onUnsuccessfulProbe(now, random);
    }
}

Duration fastestOtherReplica(std::span<TargetState *const> replicas, const TargetState &target)
{
    Duration fastest {};
    for (const TargetState *replica : replicas) {
        const bool known = replica != &target && replica->isUsable()
                && !replica->probation.isActive() && replica->latency.hasEnoughSamples();
        if (known && (fastest.count() == 0 || replica->latency.mean() < fastest)) {
            fastest = replica->latency.mean();
        }
    }
    return fastest;
}

namespace {

bool isSlow(Duration latency, Duration fastest, int multiple)
{
    return latency > fastest * multiple && latency > fastest + minDifference;
}

void beginFullProbation(TargetState &target, Context &context)
{
    target.probation.begin(Probation::Stage::Full, context.now, context.random);
    context.log(LogEvent::TargetOnProbation,
                {{"target", target.info.id.value},
                 {"meanUs", std::to_string(target.latency.mean().count())}});
}

void endProbation(Probation::Stage stage, TargetState &target, Duration latency, Context &context)
{
    if (stage == Probation::Stage::Trial) {
        return;
    }
    target.latency.restart(latency, context.now);
    target.ramp.restart(context.now);
    context.log(LogEvent::TargetReturned, {{"target", target.info.id.value}});
}

void evaluateProbe(std::span<TargetState *const> replicas, TargetState &target,
                   SubRequestResult result, Context &context)
{
    Probation &probation = target.probation;
    const Probation::Stage stage = probation.stage();
    const Duration fastest = fastestOtherReplica(replicas, target);
    // Without a replica to compare with, any answer counts as fast.
    const bool fast = fastest.count() == 0 || isFast(result.latency, fastest);
    if (!fast || result.outcome == SubRequestOutcome::Failed
        || result.outcome == SubRequestOutcome::Lost) {
        probation.onSlowProbe(context.now, context.random);
    } else if (result.outcome == SubRequestOutcome::Cancelled) {
        probation.onUnsuccessfulProbe(context.now, context.random);
    } else if (result.outcome == SubRequestOutcome::Answered
               && probation.onFastProbe(context.now)) {
        endProbation(stage, target, result.latency, context);
        return;
    }
    if (stage == Probation::Stage::Trial
        && (probation.hasTrialFailed() || shouldBeOnProbation(replicas, target))) {
        beginFullProbation(target, context);
    }
}

} // namespace

bool shouldBeOnProbation(std::span<TargetState *const> replicas, const TargetState &target)
{
    const Duration fastest = fastestOtherReplica(replicas, target);
    return fastest.count() > 0 && target.latency.hasEnoughSamples()
            && isSlow(target.latency.mean(), fastest, slowMultiple);
}

bool shouldBeOnTrial(std::span<TargetState *const> replicas, const TargetState &target,
                     SubRequestResult result)
{
    const bool isComparable = result.outcome == SubRequestOutcome::Answered
            || result.outcome == SubRequestOutcome::Cancelled;
    const Duration fastest = fastestOtherReplica(replicas, target);
    if (!isComparable || fastest.count() == 0
        || !isSlow(result.latency, fastest, stragglerMultiple)) {
        return false;
    }
    const auto normalReplicas = std::ranges::count_if(replicas, [](const TargetState *replica) {
        return replica->isUsable() && !replica->probation.isActive();
    });
    // The count includes this target. At least half of the replicas must remain in normal use.
    return static_cast<std::size_t>(normalReplicas) * replicasPerTrial > replicas.size() + 1;
}

void updateProbation(std::span<TargetState *const> replicas, TargetState &target,
                     SubRequestResult result, Context &context)
{
    if (target.probation.isActive()) {
        evaluateProbe(replicas, target, result, context);
    } else if (shouldBeOnProbation(replicas, target)) {
        beginFullProbation(target, context);
    } else if (shouldBeOnTrial(replicas, target, result)) {
        target.probation.begin(Probation::Stage::Trial, context.now, context.random);
    }
}

void removeTargetsOnProbation(std::vector<TargetState *> &candidates)
{
    const auto onProbation = [](const TargetState *state) { return state->probation.isActive(); };
    if (!std::ranges::all_of(candidates, onProbation)) {
        std::erase_if(candidates, onProbation);
    }
}

} // namespace lagoondeck
