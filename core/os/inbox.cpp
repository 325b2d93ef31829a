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
    if (!this->signalled.exchange(true)) {
        const char byte = 1;
        this->socket.sendBytes(&byte, 1);
    }
}

std::vector<EventBody> Inbox::takeAll()
{
    // Read always and before the flag is reset: a poster may have set it and not sent yet, and a
    // datagram that stays unread would wake the event loop for ever.
    char byte = 0;
    while (this->socket.receiveBytes(&byte, 1) > 0) { }
    this->signalled = false;
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->events, {});
}

} // namespace lagoondeck
