#pragma once

#include "core/time.h"
#include "logic/context.h"
#include "logic/workload/completion_rate.h"
#include "logic/workload/fair_queue.h"
#include "logic/workload/late_part.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace lagoondeck {

/// The parts that wait for a target of one group, and the decision which of them can't be sent in
/// time.
///
/// A part is given up if the parts ahead of it are clearly more than complete while it may wait.
/// The parts that stay then use all of the capacity in that time, so that giving up others does not
/// lower the number that is served.
class GroupQueue
{
public:
    /// Adds a part that may be sent until `startBy`.
    void add(const WaitingPart &part, const WaitingSender &sender, Instant startBy, Instant now);
    const FairQueue::Entry *next() const { return this->parts.next(); }
    void takeNext(Instant now);
    void remove(const WaitingPart &part, Instant now);
    void setStartBy(const WaitingPart &part, Instant startBy)
    {
        this->parts.setStartBy(part, startBy);
    }
    /// Called when an attempt at the group has ended. `targetCount` is the number of the group's
    /// targets.
    void onCompleted(std::size_t targetCount, Instant now);

    /// Sets whether parts are given up because they can't be sent in time.
    void setGivesUpLate(bool value) { this->givesUpLate = value; }
    /// Removes and returns the last part if it can't be sent in time, or if too many parts wait.
    std::optional<LatePart> takeLate(Instant now);
    /// Returns why a new part of the sender could not be sent until `startBy`, or nothing if it may
    /// be possible.
    std::optional<LatePart> outlook(const WaitingSender &sender, Instant startBy, Instant now);
    /// Counts a part that was refused because of outlook().
    void countRefused(const WaitingSender &sender) { this->parts.countRefused(sender); }
    /// Returns when a refused caller should try again: after the queue has drained, and each caller
    /// at another time. Returns 0 if the rate is unknown.
    Duration retryDelay(Instant now, RandomEngine &random) const;

    const FairQueue &queue() const { return this->parts; }

private:
    /// Returns true if so many parts ahead surely don't complete in the given time.
    bool isSurelyLate(std::size_t ahead, Duration timeLeft, Instant now) const;
    LatePart makeLate(LateCause cause, std::size_t ahead, Duration timeLeft, Instant now) const;

    FairQueue parts;
    CompletionRate completions;
    std::size_t knownTargets = 0;
    bool givesUpLate = true;
};

} // namespace lagoondeck
