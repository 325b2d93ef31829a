#pragma once

#include "core/time.h"

#include <optional>

namespace lagoondeck {

/// The schedule of a graceful stop.
///
/// The load balancer may send requests to a stopping instance until it ends, for example if too few
/// other instances are ready. They are served as long as their answers can be expected before the
/// end, and refused after that, so that their callers can try another instance at once.
class Shutdown
{
public:
    /// Called when the instance is asked to stop. Its process is killed after the grace period.
    void begin(Instant now, Duration grace);
    bool hasBegun() const { return this->begunAt.has_value(); }
    /// Returns when all requests must be answered; the remaining time is needed for sending the
    /// answers. Instant::max() while the instance is not asked to stop.
    Instant answersDueAt() const { return this->answersDue; }
    /// Returns when the process must exit by itself. Instant::max() while the instance is not asked
    /// to stop.
    Instant exitDueAt() const { return this->exitDue; }
    /// Returns whether a request will be answered before the end. It takes `timeNeeded` at most, as
    /// far as is known, and ends at its deadline in any case.
    bool canServe(Duration timeNeeded, Instant deadlineAt, Instant now) const;

private:
    std::optional<Instant> begunAt;
    Instant answersDue = Instant::max();
    Instant exitDue = Instant::max();
};

} // namespace lagoondeck
