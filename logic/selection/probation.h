#pragma once

#include "core/time.h"
#include "logic/context.h"
#include "logic/selection/sub_request_end.h"

#include <cstdint>
#include <span>
#include <vector>

namespace lagoondeck {

struct TargetState;

/// Whether a target gets probes only, because it is much slower than its replicas. One straggling
/// sub-request puts it on trial, which one fast probe ends: a single straggler is common, and the
/// next one at the same target would make another caller wait. A target whose trial goes badly, or
/// that is slow on average, is on probation proper.
class Probation
{
public:
    enum class Stage {
        None,
        Trial,
        Proper,
    };

    bool active() const { return this->current != Stage::None; }
    Stage stage() const { return this->current; }
    /// A probe may be sent now.
    bool probeDue(Instant now) const { return this->active() && now >= this->nextProbeAt; }

    /// No probe went out for long, since the traffic allows none: one ordinary attempt takes its
    /// place, or the target would never return.
    bool attemptDue(Instant now) const;

    void begin(Stage stage, Instant now, RandomEngine &random);
    /// A probe was sent; the next one is not due before this one should have ended.
    void onProbeSent(Instant now, RandomEngine &random);
    /// A probe was about as fast as the replicas. True when enough of them were so, in a row: the
    /// probation is over.
    bool onFastProbe(Instant now);
    /// The probe was cancelled, since another replica answered first.
    void onLostProbe(Instant now, RandomEngine &random);
    /// Some probes were lost, and none was fast: the trial has gone badly.
    bool triedEnough() const;
    /// Only a probe counts: what was sent for want of another replica tells nothing new.
    void onSlowProbe(Instant now, RandomEngine &random);

private:
    Stage current = Stage::None;
    bool probeOut = false;
    Instant nextProbeAt {};
    Duration interval {};
    std::uint32_t fastProbes = 0;
    std::uint32_t lostProbes = 0;
};

/// How one sub-request ended at a target.
struct SubRequestResult
{
    SubRequestEnd end = SubRequestEnd::Answered;
    Duration latency {};
};

/// The lowest latency that is known well enough of the target's replicas, itself left out; zero
/// when none is.
Duration fastestOther(std::span<TargetState *const> replicas, const TargetState &target);

/// Whether the target is so much slower than its replicas that it is better left alone, and some
/// other replica can take its work.
bool deservesProbation(std::span<TargetState *const> replicas, const TargetState &target);

/// Whether one sub-request straggled so much that the target is better probed before it gets more,
/// and the replicas can spare it.
bool deservesTrial(std::span<TargetState *const> replicas, const TargetState &target,
                   SubRequestResult result);

/// Begins or ends the target's probation after a sub-request ended there.
void reviewProbation(std::span<TargetState *const> replicas, TargetState &target,
                     SubRequestResult result, Context &context);

/// Leaves out the targets on probation, unless nothing else remains.
void dropProbation(std::vector<TargetState *> &candidates);

} // namespace lagoondeck
