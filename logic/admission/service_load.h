#pragma once

#include "core/time.h"
#include "logic/admission/concurrency_limit.h"
#include "logic/context.h"
#include "logic/selection/latency_estimate.h"

#include <cstdint>
#include <map>

namespace lagoondeck {

/// What this instance has in flight of one service, by priority, and what the service bears.
class ServiceLoad
{
public:
    /// A query of a priority was asked for.
    void onOffered(std::uint32_t priority, Instant now);
    void onAdmitted(std::uint32_t priority);
    void onAnswered(std::uint32_t priority, Duration latency, Duration deadline, Instant now);
    void onMissed(std::uint32_t priority);
    /// It ended without telling anything of the load.
    void onEnded(std::uint32_t priority);

    /// One more query of the priority fits. The highest of several priorities counts only itself
    /// and has some room above the limit; each lower one leaves room for those above it.
    bool allows(std::uint32_t priority, Instant now, RandomEngine &random) const;
    /// Little room is left, so that it is to be divided fairly.
    bool scarce() const;
    /// No query is answered within this time.
    bool hopeless(Duration budget) const;
    /// A query would be answered after this time as far as is known, its queue included.
    Duration expectedLatency(Instant now) const;
    double limitValue() const { return this->limit.value(); }
    std::uint32_t inFlight() const { return this->total; }

private:
    struct Class
    {
        std::uint32_t inFlight = 0;
        Instant offeredAt {};
    };

    void end(std::uint32_t priority);
    bool present(const Class &each, Instant now) const;

    std::map<std::uint32_t, Class> classes;
    std::uint32_t total = 0;
    ConcurrencyLimit limit;
    LatencyEstimate latency;
};

} // namespace lagoondeck
