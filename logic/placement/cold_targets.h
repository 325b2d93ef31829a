#pragma once

#include "core/routing_config.h"
#include "core/target_record.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lagoondeck {

/// Knows which targets are cold and until when, from what the store says of them.
///
/// A target is cold while its entry says so, and for the warmup time of its group after it appears
/// as a new process, after the evacuation of its failure domain ends, and after its failure domain
/// returns of which all targets were away. Each instance counts the time from when it hears of the
/// event, so that none takes a target for warm too early.
class ColdTargets
{
public:
    /// A cold target's limit and its end.
    struct State
    {
        double requestsPerSecond = 0.0;
        Instant until {};
    };

    /// Sets the limits of the groups.
    void setLimits(std::unordered_map<GroupName, ColdLimit> groupLimits)
    {
        this->limits = std::move(groupLimits);
    }
    /// Called when all targets of the store have been listed once. Targets that were listed until
    /// then may have been running for long.
    void onListed() { this->isListed = true; }
    /// Called when a target is added that was not known or had been removed.
    void onAdded(const TargetRecord &record, Instant now);
    /// Called when the entry of a known process is read again.
    void onEntry(const TargetRecord &record, Instant now);
    /// Called when a member tells until when a target is cold.
    void onReported(const TargetId &target, Instant until) { this->extend(target, until); }
    void onRemoved(const TargetRecord &record, Instant now);
    /// Makes a target cold for the warmup time of its group.
    void makeCold(const TargetRecord &record, Instant now);
    /// Returns whether the entry makes the target cold for longer than is known, in a group with a
    /// limit.
    bool isExtendedBy(const TargetRecord &record, Instant now) const;
    /// Returns the limit of a target; nothing if it is not cold or if its group has no limit.
    std::optional<State> state(const TargetRecord &record, Instant now) const;

private:
    struct Domain
    {
        std::size_t targets = 0;
        /// Whether all of its targets were away, and when the first one returned.
        bool wasEmpty = false;
        Instant returnedAt {};
    };
    struct RemovedProcess
    {
        std::int64_t startedAtMs = 0;
        Instant at {};
    };

    bool isLonger(const TargetRecord &record, Instant now) const;
    void extend(const TargetId &target, Instant until);

    std::unordered_map<GroupName, ColdLimit> limits;
    std::unordered_map<TargetId, Instant> coldUntil;
    std::unordered_map<FailureDomain, Domain> domains;
    /// Processes whose entries were removed. An entry may expire while its process runs on.
    std::unordered_map<TargetId, RemovedProcess> removed;
    Instant cleanedAt {};
    bool isListed = false;
};

} // namespace lagoondeck
