#pragma once

#include "logic/events.h"

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <mutex>
#include <vector>

namespace lagoondeck {

/// Passes events from other threads to the event loop and wakes it.
class Inbox
{
public:
    Inbox();

    /// Adds an event and wakes the event loop. May be called by any thread.
    void post(EventBody body);

    /// Wakes the event loop without an event. May be called by any thread.
    void wake();

    /// Removes and returns all posted events in order. Must be called only by the event loop.
    std::vector<EventBody> takeAll();

    /// Returns the socket that becomes readable after post() or wake().
    const Poco::Net::DatagramSocket &wakeSocket() const { return this->socket; }

private:
    Poco::Net::DatagramSocket socket;
    std::atomic<bool> wakeSent {false};
    std::mutex mutex;
    std::vector<EventBody> events;
};

} // namespace lagoondeck
