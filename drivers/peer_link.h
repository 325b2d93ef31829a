#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <zmq.hpp>

namespace lagoondeck {

/// Sends messages to one peer over a ZeroMQ socket. Used by one thread only.
class PeerLink
{
public:
    /// The socket must already be connected.
    explicit PeerLink(zmq::socket_t socket) : socket(std::move(socket)) { }

    /// Sends a message, or queues it for a short time while the connection is being established.
    /// Returns the number of messages that were dropped.
    std::size_t send(std::string payload, Instant now);
    /// Sends the queued messages. Returns the number of messages that were dropped.
    std::size_t flush(Instant now);

    bool hasQueuedMessages() const { return !this->queue.empty(); }
    Instant lastUsed() const { return this->lastUsedAt; }
    zmq::socket_t &zmqSocket() { return this->socket; }

private:
    struct QueuedMessage
    {
        std::string payload;
        Instant queuedAt {};
    };

    zmq::socket_t socket;
    std::deque<QueuedMessage> queue;
    Instant lastUsedAt {};
};

} // namespace lagoondeck
