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
constexpr Duration firstInterval = std::chrono::milliseconds(500);
constexpr Duration longestInterval = std::chrono::seconds(8);
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

void Probation::begin(Instant now, RandomEngine &random)
{
    this->onProbation = true;
    this->probeOut = false;
    this->interval = firstInterval;
    this->fastProbes = 0;
    this->nextProbeAt = now + jittered(this->interval, random);
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
    this->interval = firstInterval;
    this->nextProbeAt = now + fastInterval;
    if (this->fastProbes < fastProbesToReturn) {
        return false;
    }
    this->onProbation = false;
    return true;
}

void Probation::onLostProbe(Instant now, RandomEngine &random)
{
    if (!this->probeOut) {
        return;
    }
    this->probeOut = false;
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

bool deservesProbation(std::span<TargetState *const> replicas, const TargetState &target)
{
    const Duration fastest = fastestOther(replicas, target);
    const Duration own = target.latency.mean();
    return fastest.count() > 0 && target.latency.trusted() && own > fastest * slowMultiple
            && own > fastest + leastDifference;
}

void reviewProbation(std::span<TargetState *const> replicas, TargetState &target,
                     SubRequestResult result, Context &context)
{
    Probation &probation = target.probation;
    if (!probation.active()) {
        if (deservesProbation(replicas, target)) {
            probation.begin(context.now, context.random);
            context.log(LogEvent::TargetOnProbation,
                        {{"target", target.info.id.value},
                         {"meanUs", std::to_string(target.latency.mean().count())}});
        }
        return;
    }
    const Duration fastest = fastestOther(replicas, target);
    // Without a replica to compare with, any answer will do.
    const bool fast = fastest.count() == 0 || isFast(result.latency, fastest);
    if (!fast || result.end == SubRequestEnd::Failed || result.end == SubRequestEnd::Lost) {
        probation.onSlowProbe(context.now, context.random);
    } else if (result.end == SubRequestEnd::Cancelled) {
        probation.onLostProbe(context.now, context.random);
    } else if (result.end == SubRequestEnd::Answered && probation.onFastProbe(context.now)) {
        target.latency.restart(result.latency, context.now);
        target.ramp.restart(context.now);
        context.log(LogEvent::TargetReturned, {{"target", target.info.id.value}});
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
