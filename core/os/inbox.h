#pragma once

#include "logic/events.h"

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <mutex>
#include <vector>

namespace lagoondeck {

/// Carries events from other threads to the event loop and wakes it.
class Inbox
{
public:
    Inbox();

    /// May be called by any thread.
    void post(EventBody body);

    /// Wakes the event loop without an event. May be called by any thread.
    void wake();

    /// All events posted so far, in order. Only the event loop calls it.
    std::vector<EventBody> takeAll();

    /// Becomes readable when something was posted.
    const Poco::Net::DatagramSocket &wakeSocket() const { return this->socket; }

private:
    Poco::Net::DatagramSocket socket;
    std::atomic<bool> signalled {false};
    std::mutex mutex;
    std::vector<EventBody> events;
};

} // namespace lagoondeck
