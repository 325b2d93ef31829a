#include "drivers/peer_link.h"

namespace lagoondeck {

namespace {

constexpr std::size_t mostHeld = 16;
/// Older gossip is not worth sending.
constexpr Duration longestHeld = std::chrono::seconds(2);

} // namespace

std::size_t PeerLink::send(std::string payload, Instant now)
{
    this->used = now;
    std::size_t givenUp = 0;
    if (this->held.size() >= mostHeld) {
        this->held.pop_front();
        givenUp += 1;
    }
    this->held.push_back({std::move(payload), now});
    return givenUp + this->flush(now);
}

std::size_t PeerLink::flush(Instant now)
{
    std::size_t givenUp = 0;
    while (!this->held.empty()) {
        Held &first = this->held.front();
        if (now - first.since > longestHeld) {
            givenUp += 1;
        } else if (!this->socket.send(zmq::buffer(first.payload), zmq::send_flags::dontwait)) {
            break;
        }
        this->held.pop_front();
    }
    return givenUp;
}

} // namespace lagoondeck
