#include "standins/event_loop.h"

#include <Poco/Timespan.h>
#include <algorithm>

namespace lagoondeck {

namespace {

/// Upper bound for one wait, so that the loop checks its stop flag this often.
constexpr Duration maxWait = std::chrono::milliseconds(100);
/// The resolution of the poll; with shorter waits the loop would spin.
constexpr Duration minWait = std::chrono::milliseconds(1);

} // namespace

void EventLoop::watch(const Poco::Net::Socket &socket, int modes, SocketHandler handler)
{
    this->handlers[socket] = std::move(handler);
    this->polled.add(socket, modes);
}

void EventLoop::setModes(const Poco::Net::Socket &socket, int modes)
{
    this->polled.update(socket, modes);
}

void EventLoop::unwatch(const Poco::Net::Socket &socket)
{
    this->polled.remove(socket);
    this->handlers.erase(socket);
}

EventLoop::TimerId EventLoop::after(Duration delay, TimerHandler handler)
{
    const TimerId id {now() + delay, ++this->lastTimer};
    this->timers.emplace(id, std::move(handler));
    return id;
}

void EventLoop::cancel(const TimerId &timer)
{
    this->timers.erase(timer);
}

void EventLoop::run()
{
    while (!this->stopping) {
        const Poco::Timespan wait(this->untilNextTimer().count());
        for (const auto &[socket, modes] : this->polled.poll(wait)) {
            // An earlier handler of this round may have stopped watching this socket.
            if (const auto found = this->handlers.find(socket); found != this->handlers.end()) {
                const SocketHandler handler = found->second;
                handler(modes);
            }
        }
        this->fireTimers();
    }
    this->stopping = false;
}

Duration EventLoop::untilNextTimer() const
{
    if (this->timers.empty()) {
        return maxWait;
    }
    const Duration left = this->timers.begin()->first.first - now();
    return left <= Duration(0) ? Duration(0) : std::clamp(left, minWait, maxWait);
}

void EventLoop::fireTimers()
{
    const Instant instant = now();
    while (!this->timers.empty() && this->timers.begin()->first.first <= instant) {
        const auto timer = this->timers.extract(this->timers.begin());
        timer.mapped()();
    }
}

Instant EventLoop::now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace lagoondeck
