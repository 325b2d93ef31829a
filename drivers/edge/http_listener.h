#pragma once

#include "core/routing_config.h"
#include "core/time.h"
#include "drivers/edge/connection_counts.h"
#include "drivers/edge/edge_loop.h"
#include "drivers/edge/server_connection.h"

#include <Poco/Net/ServerSocket.h>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace lagoondeck {

/// Accepts connections on one address and owns them.
class HttpListener
{
public:
    /// Returns the limits that apply to callers now.
    using Limits = std::function<CallerLimits()>;

    HttpListener(EdgeLoop &loop, Limits limits, ServerConnection::Hooks hooks);
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

private:
    void acceptAll();
    void stopListening();

    EdgeLoop &loop;
    Limits limits;
    ServerConnection::Hooks hooks;
    Poco::Net::ServerSocket socket;
    bool listening = false;
    std::unordered_map<std::uint64_t, std::unique_ptr<ServerConnection>> connections;
    std::uint64_t lastId = 0;
};

} // namespace lagoondeck
