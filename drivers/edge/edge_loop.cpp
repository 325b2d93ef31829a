#include "drivers/edge/edge_loop.h"

#include <utility>

namespace lagoondeck {

void EdgeLoop::add(const Poco::Net::Socket &socket, int mode, Handler handler)
{
    this->handlers[socket.impl()] = std::move(handler);
    this->pollSet.add(socket, mode);
}

void EdgeLoop::update(const Poco::Net::Socket &socket, int mode)
{
    this->pollSet.update(socket, mode);
}

void EdgeLoop::remove(const Poco::Net::Socket &socket)
{
    if (this->handlers.erase(socket.impl()) > 0) {
        this->pollSet.remove(socket);
    }
}

void EdgeLoop::poll(Duration wait)
{
    this->retired.clear();
    // The set waits whole milliseconds and drops the rest: a part of one would be spent spinning.
    const Duration rounded = std::chrono::ceil<std::chrono::milliseconds>(wait);
    for (const auto &[socket, mode] : this->pollSet.poll(Poco::Timespan(rounded.count()))) {
        const auto found = this->handlers.find(socket.impl());
        if (found != this->handlers.end()) {
            // A handler may remove itself.
            const Handler handler = found->second;
            handler(mode);
        }
    }
}

} // namespace lagoondeck
