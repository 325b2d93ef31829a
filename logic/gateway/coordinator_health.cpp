#include "logic/gateway/coordinator_health.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// How long a silent coordinator is avoided. The time doubles with each further silence.
constexpr Duration initialAvoidance = std::chrono::seconds(1);
constexpr std::uint32_t maxDoublings = 3;

} // namespace

void CoordinatorHealth::onReacted(const InstanceId &coordinator)
{
    if (const auto found = this->coordinators.find(coordinator);
        found != this->coordinators.end() && std::exchange(found->second.silences, 0) > 0) {
        found->second.avoidUntil = {};
    }
}

void CoordinatorHealth::onSilent(const InstanceId &coordinator, Instant now)
{
    Health &health = this->coordinators[coordinator];
    health.avoidUntil = now + initialAvoidance * (1U << std::min(health.silences, maxDoublings));
    ++health.silences;
}

void CoordinatorHealth::onDeclined(const InstanceId &coordinator, Duration avoidFor, Instant now)
{
    Health &health = this->coordinators[coordinator];
    health.avoidUntil = std::max(health.avoidUntil, now + avoidFor);
}

bool CoordinatorHealth::isAvoided(const InstanceId &coordinator, Instant now) const
{
    const auto found = this->coordinators.find(coordinator);
    return found != this->coordinators.end() && now < found->second.avoidUntil;
}

} // namespace lagoondeck
