#pragma once

#include "core/time.h"
#include "logic/timer.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lagoondeck {

/// The timers that were set and have not fired. Setting a timer again replaces it.
class TimerQueue
{
public:
    void set(Timer timer, Instant at)
    {
        if (const auto found = this->instants.find(timer); found != this->instants.end()) {
            this->ordered.erase({found->second, timer});
        }
        this->instants[timer] = at;
        this->ordered.insert({at, timer});
    }

    /// Takes out the timers whose instant has come, the earliest first.
    std::vector<Timer> takeDue(Instant now)
    {
        std::vector<Timer> due;
        while (!this->ordered.empty() && this->ordered.begin()->first <= now) {
            due.push_back(this->ordered.begin()->second);
            this->instants.erase(due.back());
            this->ordered.erase(this->ordered.begin());
        }
        return due;
    }

    std::optional<Instant> next() const
    {
        return this->ordered.empty() ? std::nullopt : std::optional(this->ordered.begin()->first);
    }

    std::size_t size() const { return this->ordered.size(); }

private:
    std::map<Timer, Instant> instants;
    std::set<std::pair<Instant, Timer>> ordered;
};

} // namespace lagoondeck
