#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/shares/demand_table.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace lagoondeck {

/// Measures the demand that callers put on this instance, whether queries are admitted or refused.
class DemandMeter
{
public:
    /// Called for each query of the entry. refusedForConcurrency is true when it was refused
    /// because too many queries were in flight.
    void onArrived(const EntryName &entry, bool refusedForConcurrency);

    /// Returns the demand for each entry since the last call, smoothed over about a second.
    /// inFlightOf must return the number of queries of an entry that are in flight.
    template <typename InFlightOf>
    std::map<EntryName, Demand> measure(Instant now, InFlightOf &&inFlightOf);

private:
    struct Counter
    {
        std::uint32_t arrivals = 0;
        std::uint32_t refused = 0;
        double rate = 0.0;
    };

    Demand takeDemand(Counter &counter, double seconds, std::uint32_t inFlight) const;

    std::map<EntryName, Counter> counters;
    Instant measuredAt {};
};

template <typename InFlightOf>
std::map<EntryName, Demand> DemandMeter::measure(Instant now, InFlightOf &&inFlightOf)
{
    const double seconds = std::chrono::duration<double>(now - this->measuredAt).count();
    this->measuredAt = now;
    std::map<EntryName, Demand> demands;
    for (auto &[entry, counter] : this->counters) {
        demands.emplace(entry, this->takeDemand(counter, seconds, inFlightOf(entry)));
    }
    return demands;
}

} // namespace lagoondeck
