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

/// Holds the connections to the targets. It runs on the event loop's thread and never blocks.
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

    /// A socket became ready. False when it belongs to somebody else.
    bool onReady(const Poco::Net::Socket &socket, int mode, Instant now);
    /// Closes connections whose target stays silent past all bounds.
    void closeSilent(Instant now);

private:
    TargetConnectionDriver *find(ConnectionId connection);
    void dropClosed(ConnectionId connection);

    Poco::Net::PollSet &pollSet;
    InstanceId instance;
    Sink sink;
    std::unordered_map<ConnectionId, std::unique_ptr<TargetConnectionDriver>> connections;
    std::unordered_map<const void *, ConnectionId> bySocket;
};

} // namespace lagoondeck
