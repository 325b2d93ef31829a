#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/admission/decaying_count.h"

#include <limits>
#include <unordered_map>

namespace lagoondeck {

/// Divides the admitted queries of one entry between its callers by max-min fairness, based on
/// their recent demand.
class CallerShares
{
public:
    /// Called for each query that a caller sends.
    void onOffered(const CallerName &caller, Instant now);
    /// Called when a query of the caller is admitted.
    void onAdmitted(const CallerName &caller, Instant now);
    /// Returns true when the recent rate of the caller's admitted queries does not exceed its fair
    /// share.
    bool isWithinShare(const CallerName &caller, Instant now);
    std::size_t size() const { return this->callers.size(); }

private:
    struct Counts
    {
        DecayingCount offered;
        DecayingCount admitted;
    };

    Counts &countsOf(const CallerName &caller, Instant now);
    void removeIdleCallers(Instant now);
    void refreshFairShare(Instant now);

    std::unordered_map<CallerName, Counts> callers;
    double fairShare = std::numeric_limits<double>::infinity();
    Instant refreshAt {};
};

} // namespace lagoondeck
