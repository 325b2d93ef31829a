#pragma once

#include "core/time.h"
#include "drivers/edge/arrival_bound.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <cstdint>
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
    /// Waits for ready sockets, at most for the given time, and calls their handlers. If handlers
    /// throw, the first exception is thrown after all of them were called.
    void poll(Duration wait);
    /// Calls a function at the end of the next poll(), which then does not wait. It is not called
    /// if its owner no longer exists.
    void callNext(std::weak_ptr<void> owner, std::function<void()> function);
    /// Returns when the latest wait for sockets ended.
    Instant wokeAt() const { return this->arrivals.wokeAt(); }
    /// Returns a time after which the data has arrived that is read now.
    Instant arrivedAfter() const { return this->arrivals.arrivedAfter(); }
    /// Returns how many times the loop has waited for sockets.
    std::uint64_t waitCount() const { return this->waits; }

    /// Deletes an object after the running handlers have returned.
    template <typename Object>
    void deleteLater(std::unique_ptr<Object> object)
    {
        this->toDelete.push_back(std::shared_ptr<Object>(std::move(object)));
    }

private:
    struct NextCall
    {
        std::weak_ptr<void> owner;
        std::function<void()> function;
    };

    Poco::Net::PollSet pollSet;
    std::unordered_map<Poco::Net::SocketImpl *, Handler> handlers;
    std::vector<std::shared_ptr<void>> toDelete;
    std::vector<NextCall> nextCalls;
    ArrivalBound arrivals;
    std::uint64_t waits = 0;
};

} // namespace lagoondeck
