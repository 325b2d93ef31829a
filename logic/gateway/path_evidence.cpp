#include "logic/gateway/path_evidence.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// Older failures don't count, because targets fail independently of each other now and then.
constexpr Duration failureLifetime = std::chrono::seconds(2);
/// An instance that has not heard of any target for so long has no sign that its path works, and
/// fewer failures are enough.
constexpr Duration idleTime = std::chrono::seconds(2);
constexpr std::size_t requiredTargetsWhenIdle = 2;

} // namespace

void PathEvidence::onReply(bool onNewConnection, Instant now)
{
    this->repliedAt = now;
    this->unresponsive.clear();
    if (onNewConnection) {
        this->unconnectable.clear();
    }
}

void PathEvidence::onConnectFailed(const TargetId &target, Instant now)
{
    this->unconnectable[target] = now;
}

void PathEvidence::onSilence(std::span<const TargetId> targets, Instant now)
{
    for (const TargetId &target : targets) {
        this->unresponsive[target] = now;
    }
}

void PathEvidence::clear()
{
    this->unconnectable.clear();
    this->unresponsive.clear();
}

std::size_t PathEvidence::countRecent(const Failures &failures, Instant now)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            failures, [now](const auto &entry) { return now - entry.second <= failureLifetime; }));
}

std::size_t PathEvidence::unconnectableTargets(Instant now) const
{
    return countRecent(this->unconnectable, now);
}

std::size_t PathEvidence::unresponsiveTargets(Instant now) const
{
    return countRecent(this->unresponsive, now);
}

std::vector<LogField> PathEvidence::logFields(Instant now) const
{
    std::vector<LogField> fields {
            numberField("unconnectable",
                        static_cast<std::int64_t>(this->unconnectableTargets(now))),
            numberField("unresponsive", static_cast<std::int64_t>(this->unresponsiveTargets(now)))};
    if (this->repliedAt != Instant::min()) {
        fields.push_back(numberField("lastReplyMs", toMilliseconds(now - this->repliedAt)));
    }
    return fields;
}

bool PathEvidence::suggestsBrokenPath(std::size_t usableTargets, Instant now) const
{
    const bool isIdle = this->repliedAt == Instant::min() || now - this->repliedAt > idleTime;
    const std::size_t required =
            std::min(usableTargets, isIdle ? requiredTargetsWhenIdle : maxRequiredTargets);
    return required > 0
            && std::max(this->unconnectableTargets(now), this->unresponsiveTargets(now))
            >= required;
}

} // namespace lagoondeck
