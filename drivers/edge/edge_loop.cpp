#include "drivers/edge/edge_loop.h"

#include "core/os/clock.h"

#include <exception>
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
    this->toDelete.clear();
    // Rounded up, because the poll set truncates to whole milliseconds: a wait of less than one
    // millisecond would become a busy loop.
    const Duration rounded = std::chrono::ceil<std::chrono::milliseconds>(wait);
    const Instant calledAt = monotonicNow();
    const auto ready = this->pollSet.poll(Poco::Timespan(rounded.count()));
    this->arrivals.onWaited(calledAt, rounded, monotonicNow());
    ++this->waits;
    std::exception_ptr failure;
    for (const auto &[socket, mode] : ready) {
        const auto found = this->handlers.find(socket.impl());
        if (found != this->handlers.end()) {
            // Copied, because the handler may remove itself.
            const Handler handler = found->second;
            try {
                handler(mode);
            } catch (...) {
                failure = failure ? failure : std::current_exception();
            }
        }
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace lagoondeck
