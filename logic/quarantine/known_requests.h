#pragma once

#include "core/time.h"
#include "logic/quarantine/fingerprint.h"

#include <unordered_set>
#include <utility>

namespace lagoondeck {

/// Requests that a target has run and survived. Bounded: two generations, of which the older one
/// is dropped when the newer one is full or old.
class KnownRequests
{
public:
    void add(Fingerprint fingerprint, Instant now)
    {
        this->rotateIfDue(now);
        this->current.insert(fingerprint);
    }

    void forget(Fingerprint fingerprint)
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
    static constexpr std::size_t mostInGeneration = 32768;
    static constexpr Duration generationTime = std::chrono::minutes(10);

    void rotateIfDue(Instant now)
    {
        const bool old = now - this->begunAt >= generationTime;
        if (old || this->current.size() >= mostInGeneration) {
            this->previous = std::exchange(this->current, {});
            this->begunAt = now;
        }
    }

    std::unordered_set<Fingerprint> current;
    std::unordered_set<Fingerprint> previous;
    Instant begunAt {};
};

} // namespace lagoondeck
