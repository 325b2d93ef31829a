#pragma once

#include "core/time.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace lagoondeck {

/// Waits for sockets and timers in one thread. A stand-in runs entirely in one loop, so that a
/// hundred targets with thousands of connections do not need a thread each.
class EventLoop
{
public:
    using SocketHandler = std::function<void(int modes)>;
    using TimerHandler = std::function<void()>;
    /// Identifies a timer; the number distinguishes timers that expire at the same instant.
    using TimerId = std::pair<Instant, std::uint64_t>;

    /// Calls the handler each time the socket is ready for one of the modes of Poco::Net::PollSet.
    void watch(const Poco::Net::Socket &socket, int modes, SocketHandler handler);
    void setModes(const Poco::Net::Socket &socket, int modes);
    void unwatch(const Poco::Net::Socket &socket);

    TimerId after(Duration delay, TimerHandler handler);
    void cancel(const TimerId &timer);

    /// Runs until stop() is called, which is safe from a signal handler or another thread. May be
    /// called again.
    void run();
    void stop() { this->stopping = true; }

    static Instant now();

private:
    Duration untilNextTimer() const;
    void fireTimers();

    Poco::Net::PollSet polled;
    std::map<Poco::Net::Socket, SocketHandler> handlers;
    std::map<TimerId, TimerHandler> timers;
    std::uint64_t lastTimer = 0;
    std::atomic<bool> stopping = false;
};

} // namespace lagoondeck
