#include "drivers/edge/client_link.h"

#include "drivers/edge/trimmed_buffer.h"

#include <utility>

namespace lagoondeck {

namespace {

constexpr std::size_t maxHeaderBytes = 64 * 1024;
/// Longer replies are rejected, so that a faulty server can't exhaust the memory.
constexpr std::size_t maxBodyBytes = 32 * 1024 * 1024;

} // namespace

ClientLink::ClientLink(EdgeLoop &loop, const std::string &address, std::uint64_t id,
                       const Hooks &hooks, ByteBudget &replyBytes, const MessageLimits &message,
                       Instant connectDeadline)
    : stream(loop, address), linkId(id), hooks(hooks),
      reader(HttpReader::Kind::Reply, maxHeaderBytes, maxBodyBytes, message),
      replyBytes(replyBytes), connectDeadline(connectDeadline)
{ }

void ClientLink::start()
{
    if (this->stream.hasFailed()) {
        this->close(LinkEndKind::Unreachable);
        return;
    }
    this->stream.watch([this](int mode) { this->onReady(mode); });
}

void ClientLink::send(RequestWriter writer, bool replyHasNoBody)
{
    this->awaitingReply = true;
    this->stream.resetWritten();
    if (replyHasNoBody) {
        this->reader.expectNoBody();
    }
    this->pendingRequest = std::move(writer);
    if (this->stream.isConnected()) {
        this->writeRequest();
    }
}

void ClientLink::writeRequest()
{
    if (!this->stream.write(std::exchange(this->pendingRequest, nullptr)())) {
        // Some bytes may have been sent before the connection broke.
        this->close(LinkEndKind::Lost);
    }
}

void ClientLink::onReady(int mode)
{
    const bool wasConnected = this->stream.isConnected();
    if (!this->stream.advance(mode)) {
        this->close(this->stream.hasWritten() || this->stream.isConnected()
                            ? LinkEndKind::Lost
                            : LinkEndKind::Unreachable);
        return;
    }
    if (!this->stream.isConnected()) {
        return;
    }
    if (!wasConnected && this->hooks.onConnected) {
        this->hooks.onConnected(*this);
    }
    if (this->pendingRequest) {
        this->writeRequest();
        if (this->closed) {
            return;
        }
    }
    const std::size_t bufferedBytes = this->input.size();
    const ReadResult result = this->stream.read(this->input);
    if (!this->replyBytes.add(this->input.size() - bufferedBytes)) {
        this->hooks.onOverBudget();
        if (this->closed) {
            return;
        }
    }
    this->readReplies();
    trimBuffer(this->input);
    if (this->closed || result == ReadResult::Open) {
        return;
    }
    // A reply without a length ends when the server closes the connection, but not when the
    // connection is reset.
    if (result == ReadResult::Closed && this->awaitingReply && this->reader.hasStarted()
        && this->reader.finish() == ReadState::Complete) {
        this->closeAfterReply = true;
        this->processReply();
    }
    if (!this->closed) {
        this->close(LinkEndKind::Lost);
    }
}

void ClientLink::readReplies()
{
    while (!this->closed && !this->input.empty()) {
        if (!this->awaitingReply) {
            // The bytes don't belong to any request.
            this->close(LinkEndKind::Malformed);
            return;
        }
        switch (this->reader.read(this->input)) {
        case ReadState::Incomplete:
            return;
        case ReadState::Complete:
            this->processReply();
            break;
        default:
            this->close(LinkEndKind::Malformed);
            return;
        }
    }
}

void ClientLink::processReply()
{
    HttpMessage reply = this->reader.take();
    this->replyBytes.release();
    // The link must not be used again if bytes follow the reply, because they answer no request, or
    // if the reply arrived before the whole request was sent, because the server would read the
    // rest of that request as a new one.
    this->closeAfterReply = this->closeAfterReply || !reply.keepsConnection || !this->input.empty()
            || this->stream.hasPendingOutput();
    this->awaitingReply = false;
    if (!this->hooks.onReply(*this, std::move(reply))) {
        this->awaitingReply = true;
        this->closeAfterReply = true;
        return;
    }
    if (!this->closed && !this->awaitingReply && this->closeAfterReply) {
        this->close(LinkEndKind::Closed);
    }
}

void ClientLink::checkTimeouts(Instant now)
{
    if (!this->closed && !this->stream.isConnected() && now > this->connectDeadline) {
        this->close(LinkEndKind::Unreachable);
    } else if (this->isReusable() && now > this->idleUntil) {
        this->close(LinkEndKind::Closed);
    }
}

void ClientLink::close(LinkEndKind end)
{
    if (std::exchange(this->closed, true)) {
        return;
    }
    if (this->awaitingReply && this->stream.isConnected()) {
        // Nobody waits for the reply, so the request must not arrive later.
        this->stream.abort();
    } else {
        this->stream.close();
    }
    // The object lives on until the handlers have returned.
    std::string().swap(this->input);
    this->reader.clear();
    this->replyBytes.release();
    this->hooks.onEnd(*this, end);
}

} // namespace lagoondeck
