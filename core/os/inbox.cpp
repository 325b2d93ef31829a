#include "core/os/inbox.h"

#include <Poco/Net/SocketAddress.h>
#include <utility>

namespace lagoondeck {

Inbox::Inbox()
{
    this->socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    this->socket.connect(this->socket.address());
    this->socket.setBlocking(false);
}

void Inbox::post(EventBody body)
{
    {
        const std::lock_guard lock(this->mutex);
        this->events.push_back(std::move(body));
    }
    this->wake();
}

void Inbox::wake()
{
    if (this->wakeSent.exchange(true)) {
        return;
    }
    const char byte = 1;
    try {
        this->socket.sendBytes(&byte, 1);
    } catch (...) {
        // Otherwise no later event would wake the loop.
        this->wakeSent = false;
        throw;
    }
}

std::vector<EventBody> Inbox::takeAll()
{
    // The socket is read on every call and before the flag is reset: a posting thread may have set
    // the flag but not sent its datagram yet, and an unread datagram would wake the event loop
    // forever.
    char byte = 0;
    while (this->socket.receiveBytes(&byte, 1) > 0) { }
    this->wakeSent = false;
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->events, {});
}

} // namespace lagoondeck
