#pragma once

#include "core/time.h"

#include <deque>

namespace lagoondeck {

/// Counts events over a sliding window, in steps of a twentieth of it.
class SlidingWindowCount
{
public:
    explicit SlidingWindowCount(Duration window) : window(window) { }

    /// Adds events, or takes them back if the count is negative.
    void add(double count, Instant now)
    {
        this->removeExpired(now);
        if (this->steps.empty() || now - this->steps.back().since >= this->window / stepsPerWindow) {
            this->steps.push_back({now, 0.0});
        }
        this->steps.back().count += count;
        this->sum += count;
    }

    /// Returns the number of events in the window that ends now, and in up to one step before it.
    double count(Instant now)
    {
        this->removeExpired(now);
        return this->sum;
    }

private:
    static constexpr int stepsPerWindow = 20;

    struct Step
    {
        Instant since {};
        double count = 0.0;
    };

    void removeExpired(Instant now)
    {
        // The events of a step may be as late as the beginning of the next one.
        const Duration lifetime = this->window + this->window / stepsPerWindow;
        while (!this->steps.empty() && now - this->steps.front().since >= lifetime) {
            this->sum -= this->steps.front().count;
            this->steps.pop_front();
        }
    }

    Duration window;
    std::deque<Step> steps;
    double sum = 0.0;
};

} // namespace lagoondeck
