#pragma once

#include "core/time.h"
#include "logic/quarantine/fingerprint.h"

#include <unordered_set>
#include <utility>

namespace lagoondeck {

/// Set of requests that a target has run without crashing. Its size is bounded by two generations:
/// the older one is dropped when the newer one is full or has expired.
class KnownRequests
{
public:
    void add(Fingerprint fingerprint, Instant now)
    {
        this->rotateIfNeeded(now);
        this->current.insert(fingerprint);
    }

    void remove(Fingerprint fingerprint)
    {
        this->current.erase(fingerprint);
        this->previous.erase(fingerprint);
    }

    bool contains(Fingerprint fingerprint) const
    {
        return this->current.contains(fingerprint) || this->previous.contains(fingerprint);
    }

    std::size_t size() const { return this->current.size() + this->previous.size(); }

private:
    static constexpr std::size_t maxGenerationSize = 32768;
    static constexpr Duration maxGenerationAge = std::chrono::minutes(10);

    void rotateIfNeeded(Instant now)
    {
        const bool isExpired = now - this->generationStartedAt >= maxGenerationAge;
        if (isExpired || this->current.size() >= maxGenerationSize) {
            this->previous = std::exchange(this->current, {});
            this->generationStartedAt = now;
        }
    }

    std::unordered_set<Fingerprint> current;
    std::unordered_set<Fingerprint> previous;
    Instant generationStartedAt {};
};

} // namespace lagoondeck
