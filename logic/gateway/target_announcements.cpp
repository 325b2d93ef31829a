#include "logic/gateway/target_announcements.h"

namespace lagoondeck {

namespace {

/// A process that is leaving ends before this time.
constexpr Duration maxLeavingTime = std::chrono::minutes(5);

} // namespace

void TargetAnnouncements::addLeaving(const LeavingTarget &target, Instant now)
{
    std::erase_if(this->leaving,
                  [now](const auto &entry) { return now - entry.second.at > maxLeavingTime; });
    this->leaving.insert_or_assign(target.target, Announcement {target.startedAtMs, now});
}

std::vector<LeavingTarget> TargetAnnouncements::leavingTargets(Instant now) const
{
    std::vector<LeavingTarget> targets;
    for (const auto &[target, announcement] : this->leaving) {
        if (now - announcement.at <= maxLeavingTime) {
            targets.push_back({target, announcement.startedAtMs});
        }
    }
    return targets;
}

bool TargetAnnouncements::isLeaving(const TargetRecord &target) const
{
    const auto found = this->leaving.find(target.id);
    return found != this->leaving.end() && found->second.startedAtMs == target.startedAtMs;
}

} // namespace lagoondeck
