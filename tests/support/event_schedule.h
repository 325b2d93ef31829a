#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace lagoondeck {

/// The pending actions of a simulation, executed in the order of simulated time.
class EventSchedule
{
public:
    Instant now() const { return this->current; }

    void after(Duration delay, std::function<void()> action)
    {
        this->at(this->current + delay, std::move(action));
    }

    void at(Instant instant, std::function<void()> action)
    {
        this->actions.emplace(std::pair(std::max(instant, this->current), ++this->lastSequence),
                              std::move(action));
    }

    /// Executes all actions scheduled up to the given instant and advances the clock to it.
    void runUntil(Instant end)
    {
        while (!this->actions.empty() && this->actions.begin()->first.first <= end) {
            auto next = this->actions.extract(this->actions.begin());
            this->current = next.key().first;
            next.mapped()();
        }
        this->current = std::max(this->current, end);
    }

private:
    Instant current {std::chrono::seconds(1)};
    std::uint64_t lastSequence = 0;
    std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> actions;
};

} // namespace lagoondeck
