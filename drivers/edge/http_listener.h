#pragma once

#include "core/routing_config.h"
#include "core/time.h"
#include "drivers/edge/byte_budget.h"
#include "drivers/edge/connection_counts.h"
#include "drivers/edge/edge_loop.h"
#include "drivers/edge/eviction_counts.h"
#include "drivers/edge/server_connection.h"
#include "logic/workload/connection_bounds.h"
#include "logic/workload/connection_load.h"

#include <Poco/Net/ServerSocket.h>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// Accepts connections on one address and owns them. Above its bounds it closes some of them, which
/// ConnectionEviction chooses.
class HttpListener
{
public:
    /// Returns the limits that apply to callers now.
    using Limits = std::function<CallerLimits()>;

    HttpListener(EdgeLoop &loop, Limits limits, ServerConnection::Hooks hooks,
                 const ConnectionBounds &bounds = {});
    ~HttpListener();

    /// Fails with CallFailed if the address can't be bound.
    boost::leaf::result<void> listen(const std::string &address);
    /// Stops listening unless connections wait to be accepted. Accepts these and returns false if
    /// there are any, because the operating system would reset them.
    bool stopUnlessWaiting();
    /// Returns the connection with the given id, or nullptr if it has ended.
    ServerConnection *find(std::uint64_t id);
    void checkTimeouts(Instant now);
    /// Closes the connections that no caller uses.
    void closeUnused(Instant now);
    std::size_t size() const { return this->connections.size(); }
    /// Returns true if no request is being read or answered, and no answer is being sent.
    bool isQuiet() const;
    ConnectionCounts counts() const;
    /// Sets how many connections may be open, and closes what can be replaced of those above it.
    void setMaxConnections(std::size_t count, Instant now);
    std::size_t heldBytes() const { return this->held.usedBytes(); }
    const EvictionCounts &evictions() const { return this->evicted; }

private:
    void acceptAll();
    void acceptOne();
    /// Stops accepting until the next check of the timeouts. Otherwise the loop would be woken at
    /// once each time that it waits.
    void pauseAccepting();
    void stopListening();
    /// Closes up to `count` connections to make room for others. Returns false if none could be
    /// closed.
    bool replace(std::size_t count, Instant now);
    /// Closes connections until all together hold less than they may.
    void evictHolders();
    std::vector<ConnectionLoad> loads(Instant now) const;

    EdgeLoop &loop;
    Limits limits;
    ServerConnection::Hooks hooks;
    Poco::Net::ServerSocket socket;
    bool listening = false;
    bool acceptingPaused = false;
    std::size_t maxConnections;
    /// Until this time no connection makes room, so new ones are closed without a search.
    Instant noRoomUntil {};
    bool evicting = false;
    EvictionCounts evicted;
    /// What the connections hold together. It must outlive them.
    ByteBudget held;
    std::unordered_map<std::uint64_t, std::unique_ptr<ServerConnection>> connections;
    std::uint64_t lastId = 0;
};

} // namespace lagoondeck
