#pragma once

#include "core/time.h"
#include "logic/timer.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lagoondeck {

/// The timers that are set and have not fired yet. Setting a timer again replaces its time.
class TimerQueue
{
public:
    void set(Timer timer, Instant at)
    {
        if (const auto found = this->fireTimes.find(timer); found != this->fireTimes.end()) {
            this->ordered.erase({found->second, timer});
        }
        this->fireTimes[timer] = at;
        this->ordered.insert({at, timer});
    }

    /// Removes and returns the timers that have expired, the earliest first.
    std::vector<Timer> takeExpired(Instant now)
    {
        std::vector<Timer> expired;
        while (!this->ordered.empty() && this->ordered.begin()->first <= now) {
            expired.push_back(this->ordered.begin()->second);
            this->fireTimes.erase(expired.back());
            this->ordered.erase(this->ordered.begin());
        }
        return expired;
    }

    /// Returns the time of the earliest timer, or nothing when no timer is set.
    std::optional<Instant> next() const
    {
        return this->ordered.empty() ? std::nullopt : std::optional(this->ordered.begin()->first);
    }

    std::size_t size() const { return this->ordered.size(); }

private:
    std::map<Timer, Instant> fireTimes;
    std::set<std::pair<Instant, Timer>> ordered;
};

} // namespace lagoondeck
