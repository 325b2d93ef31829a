#include "tests/support/fake_node.h"

#include "logic/invariant.h"

#include <utility>

namespace lagoondeck {

namespace {

/// Made-up wall-clock time when the made-up monotonic clock was at zero.
constexpr WallTime wallStart {std::chrono::seconds(1796371200)};

} // namespace

FakeNode::FakeNode(std::uint64_t number, const Settings &settings, EventSchedule &schedule,
                   Carry carry)
    : number(number), settings(settings), schedule(schedule), carry(std::move(carry)),
      reducer(std::make_unique<Reducer>(settings, Policy::of(settings.policy)))
{ }

void FakeNode::deliver(EventBody body)
{
    if (!this->alive || this->stopped) {
        return;
    }
    if (this->paused() || !this->backlog.empty()) {
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
            this->carry(*this, effect);
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
        std::vector<EventBody> kept = std::exchange(this->backlog, {});
        for (EventBody &body : kept) {
            this->deliver(std::move(body));
        }
    });
}

} // namespace lagoondeck
