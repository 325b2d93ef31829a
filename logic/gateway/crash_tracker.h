#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/gateway/gateway_events.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Tracks requests that broke the connections of the targets that ran them, as observed by this
/// instance and by the other members.
///
/// A request may crash every target that runs it, and its caller may send it again to any instance.
/// After a few crashes such a request is quarantined: it is refused for a while, twice as long
/// after each further crash. The request is cleared when a target answers it.
class CrashTracker
{
public:
    /// Returns until when a request is refused, or nothing if it may run.
    std::optional<Instant> blockedUntil(Fingerprint fingerprint, Instant now) const;
    /// Adds crashes of targets that ran the request. Returns true if this puts the request into
    /// quarantine.
    bool add(Fingerprint fingerprint, std::uint32_t crashes, Instant now);
    /// Adds what a member knows of a request. Returns true if this puts the request into
    /// quarantine.
    bool merge(const SuspectRequest &known, Instant now);
    /// Returns the requests that crashed targets last.
    std::vector<SuspectRequest> latestSuspects(Instant now) const;
    /// Takes back crashes that turned out to have another cause.
    void retract(Fingerprint fingerprint, std::uint32_t crashes);
    /// Returns how many targets the request crashed.
    std::uint32_t crashesOf(Fingerprint fingerprint) const;
    /// Called when a target answered the request without a crash. Returns true if the request had
    /// crashed targets before.
    bool clear(Fingerprint fingerprint) { return this->suspects.erase(fingerprint) > 0; }
    bool empty() const { return this->suspects.empty(); }

private:
    struct Suspect
    {
        std::uint32_t crashes = 0;
        Instant lastCrashAt {};
    };

    static bool isQuarantined(const Suspect &suspect);
    /// Removes suspects without recent crashes, and the oldest ones while there are too many.
    void removeExpired(Instant now);

    std::unordered_map<Fingerprint, Suspect> suspects;
    /// The time of every crash, oldest first. An entry is outdated if its suspect crashed again
    /// later.
    std::deque<std::pair<Instant, Fingerprint>> crashHistory;
};

} // namespace lagoondeck
