#pragma once

#include "core/http_message.h"
#include "core/routing_config.h"
#include "core/time.h"
#include "drivers/edge/byte_arrivals.h"
#include "drivers/edge/byte_budget.h"
#include "drivers/edge/byte_stream.h"
#include "drivers/edge/http_reader.h"
#include "logic/workload/connection_load.h"

#include <cstdint>
#include <functional>
#include <string>

namespace lagoondeck {

/// A server connection. Requests are answered one at a time and in the order of their arrival.
class ServerConnection
{
public:
    struct Hooks
    {
        /// Called when a complete request was read. answer() must be called for it, at once or
        /// later.
        std::function<void(ServerConnection &, HttpMessage)> onRequest;
        /// Called when the connection has ended before its request was answered.
        std::function<void(ServerConnection &)> onPeerLeft;
        /// Called when the connection has ended.
        std::function<void(ServerConnection &)> onClosed;
        /// Returns the encoded answer to a request that is not run: a malformed, too long or too
        /// slow one, or one for which there is no memory.
        std::function<std::string(int status)> refusal;
        /// Returns the limits of requests that begin now. Set by the listener.
        std::function<CallerLimits()> limits;
        /// Called when all connections together hold more than they may. Some must be evicted, be
        /// it this one. Set by the listener.
        std::function<void()> onOverBudget;
    };

    ServerConnection(EdgeLoop &loop, Poco::Net::StreamSocket socket, std::uint64_t id,
                     const CallerLimits &limits, const Hooks &hooks, ByteBudget &heldBytes,
                     Instant now);

    std::uint64_t id() const { return this->connectionId; }
    /// Returns the round trip time to the peer, if it is known.
    std::optional<Duration> roundTripTime() const { return this->stream.roundTripTime(); }
    /// Returns the peer's address without its port; empty if it is unknown.
    const std::string &peerHost() const { return this->stream.peerHost(); }
    /// Returns how many complete requests were read.
    std::uint64_t requestCount() const { return this->requestsRead; }
    /// Returns a time after which the first byte of the latest request arrived.
    Instant requestArrivedAfter() const { return this->requestArrival; }
    /// Sends the answer to the pending request.
    void answer(const std::string &bytes, bool close, Instant now);
    /// Returns true if a request has not been answered.
    bool isServing() const { return this->answerPending; }
    /// Returns true if the peer sent bytes that were not read yet.
    bool hasUnreadInput() const { return this->stream.hasUnreadInput(); }
    /// Returns true if an answer was not sent completely.
    bool hasUnsentOutput() const { return this->stream.hasPendingOutput(); }
    /// Returns true if no request is being read or answered, and all answers were sent.
    bool isIdle() const
    {
        return !this->answerPending && !this->reader.hasStarted() && this->input.empty()
                && !this->closing && !this->hasUnsentOutput();
    }
    /// Returns true if closing the connection now costs the peer neither a request nor an answer.
    bool isQuiet() const
    {
        return (this->isIdle() || (this->closing && !this->hasUnsentOutput()))
                && !this->hasUnreadInput();
    }
    /// Returns what the connection holds, for the choice of those to close.
    ConnectionLoad load(Instant now) const;
    /// Frees what the connection holds. An incomplete request is refused; otherwise the connection
    /// is closed without an answer, because the request may have run.
    void evict();
    /// Closes the connection if the peer sends its request too slowly or is idle for too long.
    void checkTimeouts(const CallerLimits &limits, Instant now);
    void close();
    /// Closes the connection if it is idle, unless its caller is about to use it: a request has
    /// arrived, or the connection is so new that one is on its way.
    void closeIfUnused(Instant now);

private:
    void onReady(int mode);
    /// Discards the input when the last answer is being sent.
    void discardInput();
    /// Counts what the connection holds now.
    void updateHeldBytes();
    ConnectionLoad::Phase phase() const;
    /// Reads what has arrived, and handles the requests that are complete.
    void readInput();
    /// Returns a time after which the bytes have arrived that are read now.
    Instant arrivedAfter() const;
    void readRequests();
    void readAvailableRequests();
    /// Applies the limits in force now to the request that begins.
    void renewLimits();
    /// Returns false if this iteration of the loop has read enough requests of this connection; the
    /// next one goes on then.
    bool mayReadRequest();
    void resume();
    void refuse(int status);
    /// Closes the connection after the buffered output was sent.
    void closeAfterOutput();
    void finishWritingWhenSent();
    /// Closes the connection if the peer has stopped reading an answer.
    void checkOutput(Instant now);

    EdgeLoop &loop;
    ByteStream stream;
    std::uint64_t connectionId;
    CallerLimits limits;
    const Hooks &hooks;
    HttpReader reader;
    std::string input;
    ByteBudget::Lease heldBytes;
    /// What the request that waits for its answer takes.
    std::size_t requestBytes = 0;
    std::string peer;
    ByteArrivals inputArrivals;
    Instant requestArrival {};
    /// A time after which the connection was established, and how often the loop had waited when it
    /// was accepted.
    Instant establishedAfter {};
    std::uint64_t acceptedAtWait = 0;
    std::uint64_t requestsRead = 0;
    /// How many requests were read since the loop waited for the time with this number.
    std::uint64_t countedAtWait = 0;
    std::uint32_t requestsSinceWait = 0;
    /// Exists while buffered requests are left for the next iteration of the loop.
    std::shared_ptr<void> resumption;
    bool answerPending = false;
    bool reading = false;
    bool closed = false;
    /// True if the last answer is being sent; further input is discarded.
    bool closing = false;
    bool writingFinished = false;
    Instant acceptedAt {};
    Instant idleSince {};
    Instant requestStartedAt {};
    Instant answeredAt {};
    /// How much output waited to be sent at the last check, and since when it has been so much.
    std::size_t unsentOutput = 0;
    Instant unsentSince {};
    /// When the last answer was sent completely.
    Instant writingFinishedAt {};
};

} // namespace lagoondeck
