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

namespace lagoondeck {

/// The requests that broke the connections of the targets that ran them, as this instance and the
/// other members saw it.
///
/// Now and then a request crashes each target that runs it, and its caller sends it again, to any
/// instance. After a few crashes it is refused for a while, twice as long after each further one; a
/// target that answers it clears it.
class CrashBook
{
public:
    /// Until when a request is refused; empty when it may run.
    std::optional<Instant> blockedUntil(Fingerprint fingerprint, Instant now) const;
    /// Targets that ran the request are gone. Says whether the request is refused from now on and
    /// was not before.
    bool add(Fingerprint fingerprint, std::uint32_t crashes, Instant now);
    void clear(Fingerprint fingerprint) { this->suspects.erase(fingerprint); }
    bool empty() const { return this->suspects.empty(); }

    /// Whether a member's word was not heard before.
    bool isNew(const CrashSighting &sighting);

private:
    struct Suspect
    {
        std::uint32_t crashes = 0;
        Instant lastAt {};
    };

    void forgetOld(Instant now);

    std::unordered_map<Fingerprint, Suspect> suspects;
    /// The latest suspects by the time of their last crash, oldest first; some may have newer ones.
    std::deque<std::pair<Instant, Fingerprint>> order;
    /// The numbers of the last words, oldest first.
    std::deque<std::uint64_t> heard;
};

} // namespace lagoondeck
