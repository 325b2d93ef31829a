#include "logic/gateway/crash_tracker.h"

#include <algorithm>
#include <unordered_set>

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
/// How many of them a member is told.
constexpr std::size_t maxTold = 256;

} // namespace

std::optional<Instant> CrashTracker::blockedUntil(Fingerprint fingerprint, Instant now) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || !isQuarantined(found->second)) {
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
    const bool wasQuarantined = isQuarantined(suspect);
    suspect.crashes += crashes;
    suspect.lastCrashAt = now;
    this->crashHistory.emplace_back(now, fingerprint);
    return !wasQuarantined && isQuarantined(suspect);
}

bool CrashTracker::merge(const SuspectRequest &known, Instant now)
{
    this->removeExpired(now);
    if (known.crashes == 0 || known.age > suspectLifetime) {
        return false;
    }
    const auto [found, isNew] = this->suspects.try_emplace(known.fingerprint);
    Suspect &suspect = found->second;
    const bool wasQuarantined = isQuarantined(suspect);
    const Instant crashedAt = now - known.age;
    suspect.crashes = std::max(suspect.crashes, known.crashes);
    if (isNew || crashedAt > suspect.lastCrashAt) {
        suspect.lastCrashAt = crashedAt;
        const auto later = std::ranges::upper_bound(this->crashHistory, crashedAt, {},
                                                    &std::pair<Instant, Fingerprint>::first);
        this->crashHistory.emplace(later, crashedAt, known.fingerprint);
    }
    return !wasQuarantined && isQuarantined(suspect);
}

std::uint32_t CrashTracker::crashesOf(Fingerprint fingerprint) const
{
    const auto found = this->suspects.find(fingerprint);
    return found == this->suspects.end() ? 0 : found->second.crashes;
}

std::vector<SuspectRequest> CrashTracker::latestSuspects(Instant now) const
{
    std::vector<SuspectRequest> latest;
    std::unordered_set<Fingerprint> added;
    for (auto entry = this->crashHistory.rbegin();
         entry != this->crashHistory.rend() && latest.size() < maxTold; ++entry) {
        const auto &[at, fingerprint] = *entry;
        const auto found = this->suspects.find(fingerprint);
        if (found != this->suspects.end() && found->second.lastCrashAt == at
            && added.insert(fingerprint).second) {
            latest.push_back({fingerprint, found->second.crashes, now - at});
        }
    }
    return latest;
}

bool CrashTracker::isQuarantined(const Suspect &suspect)
{
    return suspect.crashes >= quarantineThreshold;
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
