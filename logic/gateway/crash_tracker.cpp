#include "logic/gateway/crash_tracker.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// A request is refused after this many crashes.
constexpr std::uint32_t quarantineThreshold = 3;
/// How long a request is refused after reaching the threshold. Afterwards it may run again, which
/// shows whether it still crashes targets. The time doubles with each further crash.
constexpr Duration initialBlock = std::chrono::seconds(20);
constexpr std::uint32_t maxDoublings = 6;
/// A request without crashes for this long is no longer tracked.
constexpr Duration suspectLifetime = std::chrono::minutes(30);
constexpr std::size_t maxSuspects = 4096;

} // namespace

std::optional<Instant> CrashTracker::blockedUntil(Fingerprint fingerprint, Instant now) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || found->second.crashes < quarantineThreshold) {
        return std::nullopt;
    }
    const std::uint32_t doublings =
            std::min(found->second.crashes - quarantineThreshold, maxDoublings);
    const Instant until = found->second.lastCrashAt + initialBlock * (1U << doublings);
    return now < until ? std::optional(until) : std::nullopt;
}

bool CrashTracker::add(Fingerprint fingerprint, std::uint32_t crashes, Instant now)
{
    this->removeExpired(now);
    Suspect &suspect = this->suspects[fingerprint];
    const bool wasQuarantined = suspect.crashes >= quarantineThreshold;
    suspect.crashes += crashes;
    suspect.lastCrashAt = now;
    this->crashHistory.emplace_back(now, fingerprint);
    return !wasQuarantined && suspect.crashes >= quarantineThreshold;
}

void CrashTracker::retract(Fingerprint fingerprint, std::uint32_t crashes)
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end()) {
        return;
    }
    found->second.crashes -= std::min(found->second.crashes, crashes);
    if (found->second.crashes == 0) {
        this->suspects.erase(found);
    }
}

void CrashTracker::removeExpired(Instant now)
{
    while (!this->crashHistory.empty()
           && (this->crashHistory.size() >= maxSuspects
               || this->crashHistory.front().first + suspectLifetime < now)) {
        const auto &[at, fingerprint] = this->crashHistory.front();
        const auto found = this->suspects.find(fingerprint);
        if (found != this->suspects.end() && found->second.lastCrashAt == at) {
            this->suspects.erase(found);
        }
        this->crashHistory.pop_front();
    }
}

} // namespace lagoondeck
