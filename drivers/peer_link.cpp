#include "drivers/peer_link.h"

namespace lagoondeck {

namespace {

constexpr std::size_t maxQueuedMessages = 16;
/// Queued messages older than this are outdated and are dropped.
constexpr Duration maxQueueTime = std::chrono::seconds(2);

} // namespace

std::size_t PeerLink::send(std::string payload, Instant now)
{
    this->lastUsedAt = now;
    std::size_t dropped = 0;
    if (this->queue.size() >= maxQueuedMessages) {
        this->queue.pop_front();
        dropped += 1;
    }
    this->queue.push_back({std::move(payload), now});
    return dropped + this->flush(now);
}

std::size_t PeerLink::flush(Instant now)
{
    std::size_t dropped = 0;
    while (!this->queue.empty()) {
        QueuedMessage &first = this->queue.front();
        if (now - first.queuedAt > maxQueueTime) {
            dropped += 1;
        } else if (!this->socket.send(zmq::buffer(first.payload), zmq::send_flags::dontwait)) {
            break;
        }
        this->queue.pop_front();
    }
    return dropped;
}

} // namespace lagoondeck
