#pragma once

#include "core/time.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// Calls a handler for each socket that is ready. Must be used by one thread only.
class EdgeLoop
{
public:
    /// Called with the ready modes, as defined by Poco::Net::PollSet.
    using Handler = std::function<void(int)>;

    /// Adds a socket. Its handler is kept until the socket is removed.
    void add(const Poco::Net::Socket &socket, int mode, Handler handler);
    void update(const Poco::Net::Socket &socket, int mode);
    void remove(const Poco::Net::Socket &socket);
    /// Waits for ready sockets, at most for the given time, and calls their handlers.
    void poll(Duration wait);
    /// Returns when the latest wait for sockets ended.
    Instant wokeAt() const { return this->lastWakeAt; }

    /// Deletes an object after the running handlers have returned.
    template <typename Object>
    void deleteLater(std::unique_ptr<Object> object)
    {
        this->toDelete.push_back(std::shared_ptr<Object>(std::move(object)));
    }

private:
    Poco::Net::PollSet pollSet;
    std::unordered_map<Poco::Net::SocketImpl *, Handler> handlers;
    std::vector<std::shared_ptr<void>> toDelete;
    Instant lastWakeAt {};
};

} // namespace lagoondeck
