#pragma once

#include "core/http_message.h"
#include "core/time.h"
#include "drivers/edge/byte_budget.h"
#include "drivers/edge/byte_stream.h"
#include "drivers/edge/http_reader.h"

#include <cstdint>
#include <functional>
#include <string>

namespace lagoondeck {

/// How a connection to a server ended.
enum class LinkEndKind {
    Unreachable, ///< No connection could be made, so no byte was sent.
    Lost,        ///< Broken or closed by the server, with or without a pending request.
    Malformed,   ///< The received bytes are not a valid reply.
    Closed,      ///< This process closed the connection.
};

/// A client connection to a server. It carries one request at a time.
class ClientLink
{
public:
    struct Hooks
    {
        /// Called when a complete reply was read. Returns true if it answers the pending request.
        /// Returns false if it belongs to an earlier request; the link then waits for another
        /// reply.
        std::function<bool(ClientLink &, HttpMessage)> onReply;
        /// Called when the link has ended. The callee must destroy the link later, with
        /// EdgeLoop::deleteLater().
        std::function<void(ClientLink &, LinkEndKind)> onEnd;
        /// Called when the connection is established. May be empty.
        std::function<void(ClientLink &)> onConnected;
        /// Called when the links that share `replyBytes` hold more than they may. Some must be
        /// closed, be it this one.
        std::function<void()> onOverBudget;
    };

    /// `replyBytes` limits what the links that share it buffer of their replies.
    ClientLink(EdgeLoop &loop, const std::string &address, std::uint64_t id, const Hooks &hooks,
               ByteBudget &replyBytes, const MessageLimits &message, Instant connectDeadline);

    std::uint64_t id() const { return this->linkId; }
    /// Returns the encoded request.
    using RequestWriter = std::function<std::string()>;

    /// Sends a request, as soon as the connection is established. The link must be idle.
    void send(RequestWriter writer, bool replyHasNoBody);
    /// Returns true if a request was sent and its reply has not been read.
    bool isBusy() const { return this->awaitingReply; }
    bool hasEnded() const { return this->closed; }
    /// Returns how many bytes of an incomplete reply were received.
    std::size_t heldBytes() const { return this->replyBytes.bytes(); }
    /// Returns true if no byte of the pending request was sent.
    bool isRequestUnsent() const { return this->pendingRequest != nullptr; }
    /// Returns true if the link can send another request.
    bool isReusable() const
    {
        return !this->closed && !this->awaitingReply && !this->closeAfterReply;
    }
    /// Closes the link if it has not connected in time or has been idle for too long.
    void checkTimeouts(Instant now);
    void close(LinkEndKind end);
    /// Starts watching the connection. A link whose connection failed at once ends in this call.
    void start();

    /// The time until which an idle link may be used again.
    Instant idleUntil {};

private:
    void onReady(int mode);
    /// Writes the request that waits for the connection.
    void writeRequest();
    void readReplies();
    void processReply();

    ByteStream stream;
    std::uint64_t linkId;
    const Hooks &hooks;
    HttpReader reader;
    std::string input;
    ByteBudget::Lease replyBytes;
    /// Writes the request that was not sent yet; empty if there is none.
    RequestWriter pendingRequest;
    Instant connectDeadline {};
    bool awaitingReply = false;
    /// True if the link must not send another request, because the server closes the connection or
    /// unexpected bytes were received.
    bool closeAfterReply = false;
    bool closed = false;
};

} // namespace lagoondeck
