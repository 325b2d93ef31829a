#pragma once

#include "core/time.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// Calls a handler for each socket that is ready. One thread uses it.
class EdgeLoop
{
public:
    /// Called with the modes of Poco::Net::PollSet that are ready.
    using Handler = std::function<void(int)>;

    /// The handler stays until the socket is removed.
    void add(const Poco::Net::Socket &socket, int mode, Handler handler);
    void update(const Poco::Net::Socket &socket, int mode);
    void remove(const Poco::Net::Socket &socket);
    /// Waits for ready sockets, at most so long, and calls their handlers.
    void poll(Duration wait);

    /// Keeps an object until the running handlers have returned.
    template <typename Object>
    void keepUntilIdle(std::unique_ptr<Object> object)
    {
        this->retired.push_back(std::shared_ptr<Object>(std::move(object)));
    }

private:
    Poco::Net::PollSet pollSet;
    std::unordered_map<Poco::Net::SocketImpl *, Handler> handlers;
    std::vector<std::shared_ptr<void>> retired;
};

} // namespace lagoondeck
