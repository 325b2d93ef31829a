#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <unordered_map>

namespace lagoondeck {

/// Which coordinators reacted recently.
class CoordinatorHealth
{
public:
    /// Called when a coordinator reacted in time.
    void onReacted(const InstanceId &coordinator);
    /// Called when a coordinator did not react in time.
    void onSilent(const InstanceId &coordinator, Instant now);
    /// Called when a coordinator declined a query.
    void onDeclined(const InstanceId &coordinator, Duration avoidFor, Instant now);
    /// Returns true if other coordinators should be preferred.
    bool isAvoided(const InstanceId &coordinator, Instant now) const;

private:
    struct Health
    {
        Instant avoidUntil {};
        /// How many times in a row the coordinator was silent.
        std::uint32_t silences = 0;
    };

    std::unordered_map<InstanceId, Health> coordinators;
};

} // namespace lagoondeck
