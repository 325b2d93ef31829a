#include "logic/gateway/target_limits.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

namespace lagoondeck {

namespace {

std::string rateText(double perSecond)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3g", perSecond);
    return text.data();
}

void logChange(const TargetId &target, const TargetLimit &limit, LimitChange change,
               GatewayContext &context)
{
    if (change == LimitChange::Ended) {
        context.log(LogEvent::TargetLimitEnded,
                    {{"target", target.value},
                     numberField("ms", toMilliseconds(context.now - limit.begunAt()))});
    } else if (change != LimitChange::None) {
        context.log(LogEvent::TargetLimited,
                    {{"target", target.value},
                     {"perSecond", rateText(limit.perSecond(context.now).value_or(0.0))}});
    }
}

} // namespace

void TargetLimits::onStated(const TargetId &target, std::optional<double> perSecond,
                            GatewayContext &context)
{
    const auto found = this->limits.find(target);
    if (found == this->limits.end() && !perSecond) {
        return;
    }
    TargetLimit &limit = this->limits[target];
    logChange(target, limit, limit.onStated(perSecond, context.now), context);
}

void TargetLimits::onSent(const TargetId &target, TraceKind cause, Instant now)
{
    const auto found = this->limits.find(target);
    if (found == this->limits.end() || !found->second.perSecond(now)) {
        return;
    }
    this->attemptCounts.first += cause == TraceKind::Send ? 1 : 0;
    this->attemptCounts.hedges += cause == TraceKind::Hedge ? 1 : 0;
    this->attemptCounts.retries += cause == TraceKind::Retry ? 1 : 0;
}

std::size_t TargetLimits::limitedCount(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->limits, [now](const auto &entry) {
        return entry.second.perSecond(now).has_value();
    }));
}

} // namespace lagoondeck
