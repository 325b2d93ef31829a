#pragma once

#include "core/time.h"
#include "logic/context.h"
#include "logic/selection/sub_request_end.h"

#include <cstdint>
#include <span>
#include <vector>

namespace lagoondeck {

struct TargetState;

/// Whether a target gets probes only, because it is much slower than its replicas.
class Probation
{
public:
    bool active() const { return this->onProbation; }
    /// A probe may be sent now.
    bool probeDue(Instant now) const { return this->onProbation && now >= this->nextProbeAt; }

    void begin(Instant now, RandomEngine &random);
    /// A probe was sent; the next one is not due before this one should have ended.
    void onProbeSent(Instant now, RandomEngine &random);
    /// A probe was about as fast as the replicas. True when enough of them were so, in a row: the
    /// probation is over.
    bool onFastProbe(Instant now);
    /// The probe was cancelled, since another replica answered first.
    void onLostProbe(Instant now, RandomEngine &random);
    /// Only a probe counts: what was sent for want of another replica tells nothing new.
    void onSlowProbe(Instant now, RandomEngine &random);

private:
    bool onProbation = false;
    bool probeOut = false;
    Instant nextProbeAt {};
    Duration interval {};
    std::uint32_t fastProbes = 0;
};

/// The lowest latency that is known well enough of the target's replicas, itself left out; zero
/// when none is.
Duration fastestOther(std::span<TargetState *const> replicas, const TargetState &target);

/// Whether the target is so much slower than its replicas that it is better left alone, and some
/// other replica can take its work.
bool deservesProbation(std::span<TargetState *const> replicas, const TargetState &target);

/// How one sub-request ended at a target.
struct SubRequestResult
{
    SubRequestEnd end = SubRequestEnd::Answered;
    Duration latency {};
};

/// Begins or ends the target's probation after a sub-request ended there.
void reviewProbation(std::span<TargetState *const> replicas, TargetState &target,
                     SubRequestResult result, Context &context);

/// Leaves out the targets on probation, unless nothing else remains.
void dropProbation(std::vector<TargetState *> &candidates);

} // namespace lagoondeck
