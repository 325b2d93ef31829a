#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/effects.h"
#include "logic/events.h"

#include <Poco/Net/PollSet.h>
#include <functional>
#include <memory>
#include <unordered_map>

namespace lagoondeck {

class TargetConnectionDriver;

/// Manages the connections to the targets. It runs on the event loop's thread and never blocks.
class TargetDriver
{
public:
    using Sink = std::function<void(EventBody)>;

    TargetDriver(Poco::Net::PollSet &pollSet, InstanceId instance, Sink sink);
    ~TargetDriver();

    void open(const OpenConnection &effect, Instant now);
    void close(const CloseConnection &effect);
    void send(const SendSubRequest &effect, Instant now);
    void cancel(const CancelSubRequest &effect, Instant now);
    void probe(const ProbeTarget &effect, Instant now);

    /// Called when a socket is ready. Returns false when the socket does not belong to this driver.
    bool onReady(const Poco::Net::Socket &socket, int mode, Instant now);
    /// Closes the connections whose target has not replied in time.
    void closeTimedOut(Instant now);

private:
    TargetConnectionDriver *find(ConnectionId connection);
    void removeIfClosed(ConnectionId connection);

    Poco::Net::PollSet &pollSet;
    InstanceId instance;
    Sink sink;
    std::unordered_map<ConnectionId, std::unique_ptr<TargetConnectionDriver>> connections;
    std::unordered_map<const void *, ConnectionId> connectionsBySocket;
};

} // namespace lagoondeck
