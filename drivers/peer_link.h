#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <zmq.hpp>

namespace lagoondeck {

/// The sending side towards one peer. Used by one thread only.
class PeerLink
{
public:
    /// The socket is connected already.
    explicit PeerLink(zmq::socket_t socket) : socket(std::move(socket)) { }

    /// Sends what can be sent and holds a little while the connection is being made. Returns how
    /// many messages were given up.
    std::size_t send(std::string payload, Instant now);
    /// Sends what was held. Returns how many messages were given up.
    std::size_t flush(Instant now);

    bool hasHeld() const { return !this->held.empty(); }
    Instant lastUsed() const { return this->used; }
    zmq::socket_t &zmqSocket() { return this->socket; }

private:
    struct Held
    {
        std::string payload;
        Instant since {};
    };

    zmq::socket_t socket;
    std::deque<Held> held;
    Instant used {};
};

} // namespace lagoondeck
