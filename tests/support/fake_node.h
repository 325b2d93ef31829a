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

/// A simulated process of an entry instance: a reducer with its timers. The process can be paused;
/// a restarted instance is a new FakeNode.
class FakeNode
{
public:
    /// Executes one effect.
    using EffectHandler = std::function<void(FakeNode &, const Effect &)>;

    FakeNode(std::uint64_t number, const Settings &settings, EventSchedule &schedule,
             EffectHandler executeEffect);

    /// Applies an event, or queues it until the pause is over.
    void deliver(EventBody body);
    void setTimer(const SetTimer &effect);
    void pauseFor(Duration duration);

    /// Returns true if the instance was paused at any time since the instant.
    bool wasPausedSince(Instant instant) const { return this->pausedUntil >= instant; }
    bool isPaused() const { return this->schedule.now() < this->pausedUntil; }

    std::uint64_t number = 0;
    Settings settings;
    bool alive = true;
    /// The instance was asked to stop; callers send it no further requests.
    bool stopping = false;
    bool stopped = false;
    std::uint64_t lastQuery = 0;
    std::size_t eventsApplied = 0;
    /// The open store watches.
    std::map<StoreOpId, StoreWatch> watches;
    /// The invariant violation that ended the reducer; empty if there was none.
    std::string violation;

    NodeStatus status() const { return this->reducer->status(); }

private:
    void apply(EventBody body);

    EventSchedule &schedule;
    EffectHandler executeEffect;
    std::unique_ptr<Reducer> reducer;
    std::vector<EventBody> backlog;
    Instant pausedUntil {};
    std::map<Timer, Instant> timers;
};

} // namespace lagoondeck
