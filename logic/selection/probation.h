#pragma once

#include "core/time.h"
#include "logic/context.h"
#include "logic/selection/sub_request_outcome.h"

#include <cstdint>
#include <span>
#include <vector>

namespace lagoondeck {

struct TargetState;

/// Tracks whether a target gets only probes because it is much slower than the other replicas. One
/// straggling sub-request puts the target on trial, which one fast probe ends: single stragglers
/// are common, but a second one at the same target would delay another caller. A target whose trial
/// fails, or that is slow on average, is put on full probation.
class Probation
{
public:
    enum class Stage {
        None,
        Trial,
        Full,
    };

    bool isActive() const { return this->currentStage != Stage::None; }
    Stage stage() const { return this->currentStage; }
    /// Returns whether a probe may be sent now.
    bool isProbeDue(Instant now) const { return this->isActive() && now >= this->nextProbeAt; }

    /// Returns whether an ordinary attempt may be sent in place of a probe, because no probe could
    /// be sent for a long time. This happens when the requests allow no second attempt. Without it
    /// the target would never return.
    bool isAttemptDue(Instant now) const;

    void begin(Stage stage, Instant now, RandomEngine &random);
    /// Called when a probe was sent. The next one is due after the probe interval.
    void onProbeSent(Instant now, RandomEngine &random);
    /// Called when a probe was about as fast as the other replicas. Returns true when enough
    /// consecutive probes were fast, so that the probation is over.
    bool onFastProbe(Instant now);
    /// Called when a probe was slow, or was cancelled because another replica answered first.
    void onUnsuccessfulProbe(Instant now, RandomEngine &random);
    /// Returns whether the trial has failed: several consecutive probes were slow or cancelled.
    bool hasTrialFailed() const;
    /// Called when a sub-request was slow, failed or lost. Ignored unless a probe is in flight: a
    /// sub-request that was sent because no other replica was available gives no new information.
    void onSlowProbe(Instant now, RandomEngine &random);

private:
    Stage currentStage = Stage::None;
    bool probeInFlight = false;
    Instant nextProbeAt {};
    Duration interval {};
    std::uint32_t fastProbes = 0;
    std::uint32_t unsuccessfulProbes = 0;
};

/// The outcome and latency of one sub-request at a target.
struct SubRequestResult
{
    SubRequestOutcome outcome = SubRequestOutcome::Answered;
    Duration latency {};
};

/// Returns the lowest mean latency among the other replicas that are usable, not on probation and
/// have enough samples. Returns zero when there is none.
Duration fastestOtherReplica(std::span<TargetState *const> replicas, const TargetState &target);

/// Returns whether the target is so much slower than another replica that it should get probes
/// only.
bool shouldBeOnProbation(std::span<TargetState *const> replicas, const TargetState &target);

/// Returns whether one sub-request was so slow that the target should be probed before it gets more
/// work, and enough other replicas remain.
bool shouldBeOnTrial(std::span<TargetState *const> replicas, const TargetState &target,
                     SubRequestResult result);

/// Starts or ends the target's probation after a sub-request ended there.
void updateProbation(std::span<TargetState *const> replicas, TargetState &target,
                     SubRequestResult result, Context &context);

/// Removes the targets on probation, unless all candidates are on probation.
void removeTargetsOnProbation(std::vector<TargetState *> &candidates);

} // namespace lagoondeck
