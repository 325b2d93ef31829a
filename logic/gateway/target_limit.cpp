#include "logic/gateway/target_limit.h"

#include <utility>

namespace lagoondeck {

namespace {

/// A limit that was not stated again for this long is no longer trusted. Requests that are sent
/// then find out.
constexpr Duration limitLifetime = std::chrono::seconds(5);

} // namespace

LimitChange TargetLimit::set(std::optional<double> perSecond, Instant now)
{
    const bool wasLimited = this->perSecond(now).has_value();
    const std::optional<double> previous = std::exchange(this->limit, perSecond);
    this->confirmedAt = now;
    if (!perSecond) {
        return wasLimited ? LimitChange::Ended : LimitChange::None;
    }
    if (!wasLimited) {
        this->begun = now;
        return LimitChange::Begun;
    }
    return previous == perSecond ? LimitChange::None : LimitChange::Changed;
}

LimitChange TargetLimit::onStated(std::optional<double> perSecond, Instant now)
{
    return this->set(perSecond, now);
}

std::optional<double> TargetLimit::perSecond(Instant now) const
{
    return this->limit && now - this->confirmedAt < limitLifetime ? this->limit : std::nullopt;
}

} // namespace lagoondeck
