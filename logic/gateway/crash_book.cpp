#include "logic/gateway/crash_book.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// After so many crashes a request is refused.
constexpr std::uint32_t refusedFrom = 3;
/// A refused request may run again after this long, to find out whether it still crashes targets.
constexpr Duration firstBlock = std::chrono::seconds(20);
constexpr std::uint32_t mostDoublings = 6;
/// A request that crashed nothing for this long is forgotten.
constexpr Duration memory = std::chrono::minutes(30);
constexpr std::size_t mostSuspects = 4096;
/// Words come round within a second, and few instances see crashes at once.
constexpr std::size_t mostHeard = 256;

} // namespace

std::optional<Instant> CrashBook::blockedUntil(Fingerprint fingerprint, Instant now) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || found->second.crashes < refusedFrom) {
        return std::nullopt;
    }
    const std::uint32_t doublings = std::min(found->second.crashes - refusedFrom, mostDoublings);
    const Instant until = found->second.lastAt + firstBlock * (1U << doublings);
    return now < until ? std::optional(until) : std::nullopt;
}

bool CrashBook::add(Fingerprint fingerprint, std::uint32_t crashes, Instant now)
{
    this->forgetOld(now);
    Suspect &suspect = this->suspects[fingerprint];
    const bool before = suspect.crashes >= refusedFrom;
    suspect.crashes += crashes;
    suspect.lastAt = now;
    this->order.emplace_back(now, fingerprint);
    return !before && suspect.crashes >= refusedFrom;
}

void CrashBook::forgetOld(Instant now)
{
    while (!this->order.empty()
           && (this->order.size() >= mostSuspects || this->order.front().first + memory < now)) {
        const auto &[at, fingerprint] = this->order.front();
        const auto found = this->suspects.find(fingerprint);
        if (found != this->suspects.end() && found->second.lastAt == at) {
            this->suspects.erase(found);
        }
        this->order.pop_front();
    }
}

bool CrashBook::isNew(const CrashSighting &sighting)
{
    if (std::ranges::find(this->heard, sighting.number) != this->heard.end()) {
        return false;
    }
    this->heard.push_back(sighting.number);
    if (this->heard.size() > mostHeard) {
        this->heard.pop_front();
    }
    return true;
}

} // namespace lagoondeck
