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

void EdgeLoop::callNext(std::weak_ptr<void> owner, std::function<void()> function)
{
    this->nextCalls.push_back({std::move(owner), std::move(function)});
}

void EdgeLoop::poll(Duration wait)
{
    this->toDelete.clear();
    const std::vector<NextCall> calls = std::exchange(this->nextCalls, {});
    // Rounded up, because the poll set truncates to whole milliseconds: a wait of less than one
    // millisecond would become a busy loop.
    const Duration rounded =
            calls.empty() ? std::chrono::ceil<std::chrono::milliseconds>(wait) : Duration(0);
    const Instant calledAt = monotonicNow();
    const auto ready = this->pollSet.poll(Poco::Timespan(rounded.count()));
    this->arrivals.onWaited(calledAt, rounded, monotonicNow());
    ++this->waits;
    std::exception_ptr failure;
    const auto run = [&failure](const auto &function) {
        try {
            function();
        } catch (...) {
            failure = failure ? failure : std::current_exception();
        }
    };
    for (const auto &[socket, mode] : ready) {
        const auto found = this->handlers.find(socket.impl());
        if (found != this->handlers.end()) {
            // Copied, because the handler may remove itself.
            run([handler = found->second, ready = mode] { handler(ready); });
        }
    }
    for (const NextCall &call : calls) {
        if (const auto owner = call.owner.lock()) {
            run(call.function);
        }
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace lagoondeck
