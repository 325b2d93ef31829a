#include "tests/support/fake_node.h"

#include "logic/invariant.h"

#include <utility>

namespace lagoondeck {

namespace {

/// Simulated wall-clock time at which the simulated monotonic clock is zero.
constexpr WallTime wallStart {std::chrono::seconds(1796371200)};

} // namespace

FakeNode::FakeNode(std::uint64_t number, const Settings &settings, EventSchedule &schedule,
                   EffectHandler executeEffect)
    : number(number), settings(settings), schedule(schedule),
      executeEffect(std::move(executeEffect)),
      reducer(std::make_unique<Reducer>(settings, Policy::of(settings.policy)))
{ }

void FakeNode::deliver(EventBody body)
{
    if (!this->alive || this->stopped) {
        return;
    }
    if (this->isPaused() || !this->backlog.empty()) {
        this->backlog.push_back(std::move(body));
        return;
    }
    this->apply(std::move(body));
}

void FakeNode::apply(EventBody body)
{
    ++this->eventsApplied;
    const Instant now = this->schedule.now();
    const Event event {now, wallStart + now.time_since_epoch(), std::move(body)};
    try {
        for (const Effect &effect : this->reducer->apply(event)) {
            this->executeEffect(*this, effect);
        }
    } catch (const InvariantViolation &violation) {
        this->violation = violation.what();
        this->alive = false;
    }
}

void FakeNode::setTimer(const SetTimer &effect)
{
    this->timers[effect.timer] = effect.at;
    this->schedule.at(effect.at, [this, effect] {
        const auto found = this->timers.find(effect.timer);
        if (found != this->timers.end() && found->second == effect.at) {
            this->timers.erase(found);
            this->deliver(TimerFired {effect.timer});
        }
    });
}

void FakeNode::pauseFor(Duration duration)
{
    this->pausedUntil = this->schedule.now() + duration;
    this->schedule.at(this->pausedUntil, [this] {
        std::vector<EventBody> delayed = std::exchange(this->backlog, {});
        for (EventBody &body : delayed) {
            this->deliver(std::move(body));
        }
    });
}

} // namespace lagoondeck
