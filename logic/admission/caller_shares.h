#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/admission/decaying_count.h"

#include <limits>
#include <unordered_map>

namespace lagoondeck {

/// Divides what one entry is admitted between its callers, max-min fair by their recent demand.
class CallerShares
{
public:
    /// A caller asked for a query.
    void onOffered(const CallerName &caller, Instant now);
    /// Its query was admitted.
    void onAdmitted(const CallerName &caller, Instant now);
    /// The caller was admitted no more than its fair share of late.
    bool underShare(const CallerName &caller, Instant now);
    std::size_t size() const { return this->callers.size(); }

private:
    struct Counts
    {
        DecayingCount offered;
        DecayingCount admitted;
    };

    Counts &countsOf(const CallerName &caller, Instant now);
    void forgetQuiet(Instant now);
    void refreshLevel(Instant now);

    std::unordered_map<CallerName, Counts> callers;
    double level = std::numeric_limits<double>::infinity();
    Instant refreshAt {};
};

} // namespace lagoondeck
