#include "logic/selection/probation.h"

#include "logic/selection/target_state.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

/// How many times as slow as its fastest replica a target must be.
constexpr int slowMultiple = 3;
/// Differences below this don't matter, whatever their ratio.
constexpr Duration leastDifference = std::chrono::milliseconds(5);
constexpr int fastProbeMultiple = 2;
constexpr std::uint32_t fastProbesToReturn = 3;
constexpr std::uint32_t lostProbesToFail = 4;
/// A sub-request this many times as slow as the fastest replica's average is a straggler.
constexpr int stragglerMultiple = 3;
/// At most one replica in so many is on trial or probation because of single stragglers.
constexpr std::size_t replicasPerTrial = 2;
constexpr Duration firstInterval = std::chrono::milliseconds(500);
constexpr Duration firstTrialInterval = std::chrono::milliseconds(100);
constexpr Duration longestInterval = std::chrono::seconds(8);
/// How long a due probe waits for a request that it can go beside. A trial is mostly over a single
/// straggler and costs the replicas some work; an attempt at a slow target costs a caller's time.
constexpr Duration trialAttemptWait = std::chrono::seconds(1);
constexpr Duration properAttemptWait = std::chrono::seconds(10);
/// Between the fast probes that end a probation.
constexpr Duration fastInterval = std::chrono::milliseconds(20);

Duration jittered(Duration interval, RandomEngine &random)
{
    std::uniform_int_distribution<Duration::rep> spread(interval.count() / 2,
                                                        interval.count() * 3 / 2);
    return Duration(spread(random));
}

/// A probe of this latency counts as fast beside the replicas.
bool isFast(Duration latency, Duration fastest)
{
    return latency <= fastest * fastProbeMultiple + leastDifference;
}

} // namespace

void Probation::begin(Stage stage, Instant now, RandomEngine &random)
{
    this->current = stage;
    this->probeOut = false;
    this->interval = stage == Stage::Trial ? firstTrialInterval : firstInterval;
    this->fastProbes = 0;
    this->lostProbes = 0;
    this->nextProbeAt = now + jittered(this->interval, random);
}

bool Probation::attemptDue(Instant now) const
{
    // A target that returns by fast probes gets them one after another.
    const Duration wait = this->fastProbes > 0 ? Duration::zero()
            : this->current == Stage::Trial    ? trialAttemptWait
                                               : properAttemptWait;
    return this->active() && now >= this->nextProbeAt + wait;
}

bool Probation::triedEnough() const
{
    return this->lostProbes >= lostProbesToFail;
}

void Probation::onProbeSent(Instant now, RandomEngine &random)
{
    this->probeOut = true;
    this->nextProbeAt = now + jittered(this->interval, random);
}

bool Probation::onFastProbe(Instant now)
{
    this->probeOut = false;
    ++this->fastProbes;
    this->lostProbes = 0;
    this->interval = firstInterval;
    this->nextProbeAt = now + fastInterval;
    if (this->current == Stage::Proper && this->fastProbes < fastProbesToReturn) {
        return false;
    }
    this->current = Stage::None;
    return true;
}

void Probation::onLostProbe(Instant now, RandomEngine &random)
{
    if (!this->probeOut) {
        return;
    }
    this->probeOut = false;
    ++this->lostProbes;
    this->interval = std::min(this->interval * 2, longestInterval);
    this->nextProbeAt = now + jittered(this->interval, random);
}

void Probation::onSlowProbe(Instant now, RandomEngine &random)
{
    if (this->probeOut) {
        this->fastProbes = 0;
        this->onLostProbe(now, random);
    }
}

Duration fastestOther(std::span<TargetState *const> replicas, const TargetState &target)
{
    Duration fastest {};
    for (const TargetState *replica : replicas) {
        const bool known = replica != &target && replica->usable() && !replica->probation.active()
                && replica->latency.trusted();
        if (known && (fastest.count() == 0 || replica->latency.mean() < fastest)) {
            fastest = replica->latency.mean();
        }
    }
    return fastest;
}

namespace {

bool isSlow(Duration latency, Duration fastest, int multiple)
{
    return latency > fastest * multiple && latency > fastest + leastDifference;
}

void beginProper(TargetState &target, Context &context)
{
    target.probation.begin(Probation::Stage::Proper, context.now, context.random);
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

void reviewProbe(std::span<TargetState *const> replicas, TargetState &target,
                 SubRequestResult result, Context &context)
{
    Probation &probation = target.probation;
    const Probation::Stage stage = probation.stage();
    const Duration fastest = fastestOther(replicas, target);
    // Without a replica to compare with, any answer will do.
    const bool fast = fastest.count() == 0 || isFast(result.latency, fastest);
    if (!fast || result.end == SubRequestEnd::Failed || result.end == SubRequestEnd::Lost) {
        probation.onSlowProbe(context.now, context.random);
    } else if (result.end == SubRequestEnd::Cancelled) {
        probation.onLostProbe(context.now, context.random);
    } else if (result.end == SubRequestEnd::Answered && probation.onFastProbe(context.now)) {
        endProbation(stage, target, result.latency, context);
        return;
    }
    if (stage == Probation::Stage::Trial
        && (probation.triedEnough() || deservesProbation(replicas, target))) {
        beginProper(target, context);
    }
}

} // namespace

bool deservesProbation(std::span<TargetState *const> replicas, const TargetState &target)
{
    const Duration fastest = fastestOther(replicas, target);
    return fastest.count() > 0 && target.latency.trusted()
            && isSlow(target.latency.mean(), fastest, slowMultiple);
}

bool deservesTrial(std::span<TargetState *const> replicas, const TargetState &target,
                   SubRequestResult result)
{
    const bool tells =
            result.end == SubRequestEnd::Answered || result.end == SubRequestEnd::Cancelled;
    const Duration fastest = fastestOther(replicas, target);
    if (!tells || fastest.count() == 0 || !isSlow(result.latency, fastest, stragglerMultiple)) {
        return false;
    }
    const auto inactive = std::ranges::count_if(replicas, [](const TargetState *replica) {
        return replica->usable() && !replica->probation.active();
    });
    // This target is one of them, and more than half of the replicas must go on working.
    return static_cast<std::size_t>(inactive) * replicasPerTrial > replicas.size() + 1;
}

void reviewProbation(std::span<TargetState *const> replicas, TargetState &target,
                     SubRequestResult result, Context &context)
{
    if (target.probation.active()) {
        reviewProbe(replicas, target, result, context);
    } else if (deservesProbation(replicas, target)) {
        beginProper(target, context);
    } else if (deservesTrial(replicas, target, result)) {
        target.probation.begin(Probation::Stage::Trial, context.now, context.random);
    }
}

void dropProbation(std::vector<TargetState *> &candidates)
{
    const auto onProbation = [](const TargetState *state) { return state->probation.active(); };
    if (!std::ranges::all_of(candidates, onProbation)) {
        std::erase_if(candidates, onProbation);
    }
}

} // namespace lagoondeck
