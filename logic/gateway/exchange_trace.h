#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lagoondeck {

/// What was decided or learned while a request was served.
enum class TraceKind {
    Send,  ///< The first attempt of a part.
    Hedge, ///< A second attempt beside one that is late.
    Retry, ///< Another attempt after one that came to nothing.
    Wait,  ///< All replicas carry as much as they may.
    Answered,
    Refused, ///< The target proved that it did not run the request.
    Failed,  ///< The target ran it and failed.
    Spoiled, ///< What came is no answer to this request.
    Lost,    ///< The connection broke.
    Unreachable,
    NoTarget, ///< No replica is known that could serve.
    Avoided,  ///< All replicas failed a moment ago, and the others suffice.
    NoBudget, ///< Another attempt would pass the group's budget.
};

const char *toString(TraceKind kind);

/// One step of a request's story.
struct TraceStep
{
    /// Since the request's arrival.
    Duration at {};
    TraceKind kind = TraceKind::Send;
    std::size_t part = 0;
    /// Empty when no target is concerned.
    TargetId target;
};

/// The steps of one request, kept until its end shows whether they are worth a line.
class ExchangeTrace
{
public:
    void add(TraceStep step)
    {
        if (this->steps.size() < mostSteps) {
            this->steps.push_back(std::move(step));
        } else {
            ++this->dropped;
        }
    }

    /// The steps as "MS KIND pPART TARGET", parted by "; ".
    std::string text() const;

private:
    /// Enough for two attempts at each of some fifty parts.
    static constexpr std::size_t mostSteps = 256;

    std::vector<TraceStep> steps;
    std::size_t dropped = 0;
};

} // namespace lagoondeck
