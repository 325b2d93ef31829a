#include "drivers/edge/server_connection.h"

#include "core/os/clock.h"
#include "drivers/edge/trimmed_buffer.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusTimeout = 408;
constexpr int statusBodyTooLong = 413;
constexpr int statusHeaderTooLong = 431;
constexpr int statusOverloaded = 503;
/// What a header field takes besides its bytes: two strings in a vector.
constexpr std::size_t fieldOverhead = 2 * sizeof(std::string);
/// A request that waits is also encoded for its target.
constexpr std::size_t requestCopies = 2;
/// After the last answer, input is read and discarded for this long. Closing a connection with
/// unread input resets it, and the peer would lose the answer.
constexpr Duration drainTime = std::chrono::seconds(1);
/// The number of bytes that a peer may send ahead of the answer, in addition to one request body.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;
/// Further requests of a connection are read in the next iteration of the loop, so that many small
/// ones, which are answered at once, don't hold up the other connections.
constexpr std::uint32_t maxRequestsPerIteration = 16;
/// The first request of a connection arrives within this time, or its caller has given up.
constexpr Duration firstRequestWait = std::chrono::seconds(1);

/// Returns how much memory a request takes until it is answered.
std::size_t countBytes(const HttpMessage &message)
{
    std::size_t bytes = message.target.size() + message.body.size();
    for (const auto &[name, value] : message.fields) {
        bytes += name.size() + value.size() + fieldOverhead;
    }
    return requestCopies * bytes;
}

} // namespace

ServerConnection::ServerConnection(EdgeLoop &loop, Poco::Net::StreamSocket socket, std::uint64_t id,
                                   const CallerLimits &limits, const Hooks &hooks,
                                   ByteBudget &heldBytes, Instant now)
    : loop(loop), stream(loop, std::move(socket)), connectionId(id), limits(limits), hooks(hooks),
      reader(HttpReader::Kind::Request, limits.headerBytes, limits.bodyBytes, limits.message),
      heldBytes(heldBytes), peer(this->stream.peerHost()), establishedAfter(loop.arrivedAfter()),
      acceptedAtWait(loop.waitCount()), acceptedAt(now), idleSince(now)
{
    this->stream.watch([this](int mode) { this->onReady(mode); });
}

void ServerConnection::onReady(int mode)
{
    if (!this->stream.advance(mode)) {
        this->close();
        return;
    }
    if (this->closing) {
        this->discardInput();
        return;
    }
    const bool isAnswering = this->answerPending || this->hasUnsentOutput();
    if (isAnswering && this->input.size() > this->limits.bodyBytes + maxPipelinedBytes) {
        this->close();
        return;
    }
    this->readInput();
    if (!this->closed) {
        this->updateHeldBytes();
    }
}

void ServerConnection::discardInput()
{
    this->finishWritingWhenSent();
    std::string discarded;
    if (this->stream.read(discarded) != ReadResult::Open) {
        this->close();
    } else {
        this->updateHeldBytes();
    }
}

void ServerConnection::updateHeldBytes()
{
    const bool fits = this->heldBytes.set(this->input.size() + this->reader.heldBytes()
                                          + this->requestBytes + this->stream.pendingOutput());
    if (!fits) {
        this->hooks.onOverBudget();
    }
}

ConnectionLoad::Phase ServerConnection::phase() const
{
    if (this->answerPending) {
        return ConnectionLoad::Phase::Waiting;
    }
    if (this->closing || this->hasUnsentOutput()) {
        return ConnectionLoad::Phase::Answering;
    }
    return this->isIdle() ? ConnectionLoad::Phase::Idle : ConnectionLoad::Phase::Receiving;
}

ConnectionLoad ServerConnection::load(Instant now) const
{
    const ConnectionLoad::Phase current = this->phase();
    const Instant since = current == ConnectionLoad::Phase::Receiving ? this->requestStartedAt
            : current == ConnectionLoad::Phase::Answering             ? this->answeredAt
                                                                      : this->idleSince;
    return {this->connectionId, this->peer, this->heldBytes.bytes(), current,
            std::max(now - since, Duration::zero())};
}

void ServerConnection::evict()
{
    if (this->phase() == ConnectionLoad::Phase::Receiving) {
        this->refuse(statusOverloaded);
    } else {
        this->close();
    }
}

void ServerConnection::readInput()
{
    if (this->resumption != nullptr) {
        // What is buffered comes first.
        return;
    }
    const std::size_t bufferedBytes = this->input.size();
    const ReadResult result = this->stream.read(this->input);
    this->inputArrivals.add(this->input.size() - bufferedBytes, this->arrivedAfter());
    if (result == ReadResult::Broken || (result == ReadResult::Closed && this->answerPending)) {
        this->close();
        return;
    }
    this->readRequests();
    // With requests left, the end of the input is read again after them.
    if (result == ReadResult::Closed && !this->closing && this->resumption == nullptr) {
        this->close();
    }
}

Instant ServerConnection::arrivedAfter() const
{
    // The first request of a connection may have arrived together with it.
    return this->loop.waitCount() == this->acceptedAtWait + 1 ? this->establishedAfter
                                                              : this->loop.arrivedAfter();
}

void ServerConnection::readRequests()
{
    // Prevents recursion: the request may be answered at once, and answer() calls this function for
    // the next request.
    if (this->reading) {
        return;
    }
    this->reading = true;
    this->readAvailableRequests();
    this->reading = false;
}

void ServerConnection::readAvailableRequests()
{
    while (!this->answerPending && !this->closing && !this->closed && !this->input.empty()
           && !this->hasUnsentOutput()) {
        if (!this->reader.hasStarted()) {
            if (!this->mayReadRequest()) {
                return;
            }
            this->renewLimits();
            this->requestStartedAt = monotonicNow();
            this->requestArrival = this->inputArrivals.first();
        }
        const std::size_t bufferedBytes = this->input.size();
        const ReadState state = this->reader.read(this->input);
        this->inputArrivals.remove(bufferedBytes - this->input.size());
        trimBuffer(this->input);
        switch (state) {
        case ReadState::Incomplete:
            if (this->reader.expectsContinue()) {
                this->stream.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            return;
        case ReadState::Complete: {
            HttpMessage message = this->reader.take();
            this->answerPending = true;
            this->requestBytes = countBytes(message);
            ++this->requestsRead;
            this->hooks.onRequest(*this, std::move(message));
            break;
        }
        case ReadState::Malformed:
            this->refuse(statusBadRequest);
            return;
        case ReadState::HeaderTooLong:
            this->refuse(statusHeaderTooLong);
            return;
        case ReadState::BodyTooLong:
            this->refuse(statusBodyTooLong);
            return;
        }
    }
}

void ServerConnection::renewLimits()
{
    const Duration idleTimeout = this->limits.idleTimeout;
    this->limits = this->hooks.limits();
    // Never decreases on an open connection, because the peer may rely on the longer one.
    this->limits.idleTimeout = std::max(this->limits.idleTimeout, idleTimeout);
    this->reader.setLimits(this->limits.headerBytes, this->limits.bodyBytes, this->limits.message);
}

bool ServerConnection::mayReadRequest()
{
    if (this->countedAtWait != this->loop.waitCount()) {
        this->countedAtWait = this->loop.waitCount();
        this->requestsSinceWait = 0;
    }
    if (this->resumption == nullptr && this->requestsSinceWait < maxRequestsPerIteration) {
        ++this->requestsSinceWait;
        return true;
    }
    if (this->resumption == nullptr) {
        this->resumption = std::make_shared<std::uint64_t>(this->connectionId);
        this->loop.callNext(this->resumption, [this] { this->resume(); });
    }
    return false;
}

void ServerConnection::resume()
{
    this->resumption.reset();
    this->readRequests();
    if (!this->closed) {
        this->updateHeldBytes();
    }
}

void ServerConnection::refuse(int status)
{
    this->stream.write(this->hooks.refusal(status));
    this->closeAfterOutput();
}

void ServerConnection::answer(const std::string &bytes, bool close, Instant now)
{
    this->answerPending = false;
    this->requestBytes = 0;
    this->idleSince = now;
    this->answeredAt = now;
    if (!this->stream.write(bytes)) {
        this->close();
        return;
    }
    if (close) {
        this->closeAfterOutput();
        return;
    }
    this->readRequests();
    if (!this->closed) {
        this->updateHeldBytes();
    }
}

void ServerConnection::closeAfterOutput()
{
    this->closing = true;
    this->answeredAt = monotonicNow();
    this->inputArrivals.remove(this->input.size());
    std::string().swap(this->input);
    this->reader.clear();
    this->finishWritingWhenSent();
    this->updateHeldBytes();
}

void ServerConnection::finishWritingWhenSent()
{
    if (!this->stream.hasPendingOutput() && !std::exchange(this->writingFinished, true)) {
        this->writingFinishedAt = monotonicNow();
        this->stream.finishWriting();
    }
}

void ServerConnection::checkTimeouts(const CallerLimits &currentLimits, Instant now)
{
    // The idle timeout never decreases on an open connection, because the peer may rely on the
    // longer one.
    this->limits.idleTimeout = std::max(this->limits.idleTimeout, currentLimits.idleTimeout);
    this->checkOutput(now);
    if (this->closed || this->hasUnsentOutput()) {
        return;
    }
    if (this->closing) {
        if (now - this->writingFinishedAt > drainTime) {
            this->close();
        }
    } else if (this->reader.hasStarted()
               && now - this->requestStartedAt > this->limits.headerTimeout) {
        this->refuse(statusTimeout);
    } else if (this->isIdle() && now - this->idleSince > this->limits.idleTimeout) {
        this->close();
    }
}

void ServerConnection::checkOutput(Instant now)
{
    const std::size_t unsent = this->stream.pendingOutput();
    if (unsent != this->unsentOutput) {
        this->unsentOutput = unsent;
        this->unsentSince = now;
        this->idleSince = now;
    } else if (unsent > 0 && now - this->unsentSince > this->limits.idleTimeout) {
        this->close();
    }
}

void ServerConnection::closeIfUnused(Instant now)
{
    const bool isNew = this->requestsRead == 0 && now - this->acceptedAt < firstRequestWait;
    if (isNew || !this->isIdle()) {
        return;
    }
    // A request may have arrived since the loop waited for input.
    this->readInput();
    if (!this->closed && this->isIdle()) {
        this->close();
    }
}

void ServerConnection::close()
{
    if (std::exchange(this->closed, true)) {
        return;
    }
    this->stream.close();
    this->resumption.reset();
    // The object lives on until the handlers have returned.
    std::string().swap(this->input);
    this->reader.clear();
    this->heldBytes.release();
    if (std::exchange(this->answerPending, false)) {
        this->hooks.onPeerLeft(*this);
    }
    this->hooks.onClosed(*this);
}

} // namespace lagoondeck
