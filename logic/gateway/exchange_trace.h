#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lagoondeck {

/// What happened in one step of serving a request.
enum class TraceKind {
    Send,  ///< The first attempt of a part.
    Hedge, ///< A second attempt, parallel to one that is late.
    Retry, ///< Another attempt after a failed one.
    Wait,  ///< The part was queued because all replicas are at their connection cap.
    Answered,
    Refused,   ///< The target proved that it did not run the request.
    Failed,    ///< The target ran it and failed.
    Malformed, ///< The received bytes are not a reply to this request.
    Lost,      ///< The connection broke.
    Unreachable,
    NoTarget, ///< No usable replica is known.
    Avoided,  ///< All replicas failed recently, and the other parts reach the minimum coverage.
    Paused,   ///< All usable replicas asked this instance to pause.
    TooLate,  ///< The parts that waited ahead of the part took too long.
    Limited,  ///< The limits of all replicas leave no request.
    PathDown, ///< This instance's path to the targets is broken.
    NoBudget, ///< Another attempt would exceed the group's retry budget.
};

const char *toString(TraceKind kind);

/// One step of serving a request.
struct TraceStep
{
    /// Time since the request arrived.
    Duration at {};
    TraceKind kind = TraceKind::Send;
    std::size_t part = 0;
    /// Empty if the step concerns no target.
    TargetId target;
};

/// Records the steps of one request until it ends, because only then it is known whether they are
/// logged.
class ExchangeTrace
{
public:
    void add(TraceStep step)
    {
        if (this->steps.size() < maxSteps) {
            this->steps.push_back(std::move(step));
        } else {
            ++this->dropped;
        }
    }

    /// Returns the steps as "MS KIND pPART TARGET", separated by "; ".
    std::string text() const;

private:
    /// Enough for two attempts at each of about fifty parts. Further steps are only counted.
    static constexpr std::size_t maxSteps = 256;

    std::vector<TraceStep> steps;
    std::size_t dropped = 0;
};

} // namespace lagoondeck
