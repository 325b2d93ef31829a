#pragma once

#include "core/settings.h"
#include "logic/events.h"
#include "logic/reducer.h"
#include "logic/timer.h"
#include "tests/support/event_schedule.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoondeck {

/// One life of an entry instance: a reducer, its timers, and the pauses it sleeps through.
class FakeNode
{
public:
    /// Carries out one effect.
    using Carry = std::function<void(FakeNode &, const Effect &)>;

    FakeNode(std::uint64_t number, const Settings &settings, EventSchedule &schedule, Carry carry);

    /// Applies an event, or keeps it until the pause is over.
    void deliver(EventBody body);
    void setTimer(const SetTimer &effect);
    void pauseFor(Duration duration);

    /// It was paused at some time since the instant.
    bool sleptSince(Instant instant) const { return this->pausedUntil >= instant; }
    bool paused() const { return this->schedule.now() < this->pausedUntil; }

    std::uint64_t number = 0;
    Settings settings;
    bool alive = true;
    /// No request goes to it any more.
    bool stopping = false;
    bool stopped = false;
    std::uint64_t lastQuery = 0;
    std::size_t eventsApplied = 0;
    /// Store operations on their way, and watches.
    std::map<StoreOpId, StoreWatch> watches;
    /// Why its reducer ended; empty when it did not.
    std::string violation;

    NodeStatus status() const { return this->reducer->status(); }

private:
    void apply(EventBody body);

    EventSchedule &schedule;
    Carry carry;
    std::unique_ptr<Reducer> reducer;
    std::vector<EventBody> backlog;
    Instant pausedUntil {};
    std::map<Timer, Instant> timers;
};

} // namespace lagoondeck
