#pragma once

#include "core/http_message.h"
#include "core/routing_config.h"
#include "core/time.h"
#include "drivers/edge/byte_stream.h"
#include "drivers/edge/http_reader.h"

#include <cstdint>
#include <functional>
#include <string>

namespace lagoondeck {

/// A connection on which this process answers requests, one at a time and in their order.
class ServerConnection
{
public:
    struct Hooks
    {
        /// A whole request has come; answer() is to be called for it, at once or later.
        std::function<void(ServerConnection &, HttpMessage)> onRequest;
        /// The peer left while its request was waiting for an answer.
        std::function<void(ServerConnection &)> onLeft;
        /// The connection has ended.
        std::function<void(ServerConnection &)> onClosed;
        /// A short answer to what is no request.
        std::function<std::string(int status)> refusal;
    };

    ServerConnection(EdgeLoop &loop, Poco::Net::StreamSocket socket, std::uint64_t id,
                     const CallerLimits &limits, const Hooks &hooks, Instant now);

    std::uint64_t id() const { return this->number; }
    /// Sends the answer to the request that waits.
    void answer(const std::string &bytes, bool close, Instant now);
    bool serving() const { return this->waits; }
    /// Nothing is being read or answered.
    bool idle() const
    {
        return !this->waits && !this->reader.begun() && this->input.empty() && !this->ending;
    }
    /// Closes when the peer takes too long or is idle for too long.
    void checkTime(const CallerLimits &limits, Instant now);
    void close();

private:
    void onReady(int mode);
    void readRequests();
    void readWhileFree();
    void refuse(int status);
    void end();
    void finishWhenWritten();

    ByteStream stream;
    std::uint64_t number;
    CallerLimits limits;
    const Hooks &hooks;
    HttpReader reader;
    std::string input;
    bool waits = false;
    bool reading = false;
    bool closed = false;
    /// The last answer is on its way; what still comes is dropped.
    bool ending = false;
    bool finished = false;
    Instant idleSince {};
    Instant headerSince {};
    Instant endingSince {};
};

} // namespace lagoondeck
