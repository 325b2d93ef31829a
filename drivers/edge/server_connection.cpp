#include "drivers/edge/server_connection.h"

#include "core/os/clock.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusTimeout = 408;
constexpr int statusBodyTooLong = 413;
constexpr int statusHeaderTooLong = 431;
/// What a peer still sends after its last answer is read for this long, since a connection that is
/// closed with unread bytes is reset and the answer lost.
constexpr Duration drainTime = std::chrono::seconds(1);
/// A peer that sends ahead is read up to so many bytes beyond one request.
constexpr std::size_t mostAhead = 64 * 1024;

} // namespace

ServerConnection::ServerConnection(EdgeLoop &loop, Poco::Net::StreamSocket socket, std::uint64_t id,
                                   const CallerLimits &limits, const Hooks &hooks, Instant now)
    : stream(loop, std::move(socket)), number(id), limits(limits), hooks(hooks),
      reader(HttpReader::Kind::Request, limits.headerBytes, limits.bodyBytes), idleSince(now)
{
    this->stream.watch([this](int mode) { this->onReady(mode); });
}

void ServerConnection::onReady(int mode)
{
    if (!this->stream.advance(mode)) {
        this->close();
        return;
    }
    if (this->ending) {
        this->finishWhenWritten();
        std::string dropped;
        if (this->stream.read(dropped) != ReadEnd::Open) {
            this->close();
        }
        return;
    }
    if (this->waits && this->input.size() > this->limits.bodyBytes + mostAhead) {
        this->close();
        return;
    }
    const ReadEnd end = this->stream.read(this->input);
    if (end == ReadEnd::Broken || (end == ReadEnd::Closed && this->waits)) {
        this->close();
        return;
    }
    this->readRequests();
    if (end == ReadEnd::Closed && !this->ending) {
        this->close();
    }
}

void ServerConnection::readRequests()
{
    // An answer may come at once, and the next request may already be there.
    if (this->reading) {
        return;
    }
    this->reading = true;
    this->readWhileFree();
    this->reading = false;
}

void ServerConnection::readWhileFree()
{
    while (!this->waits && !this->ending && !this->closed && !this->input.empty()) {
        if (!this->reader.begun()) {
            this->headerSince = monotonicNow();
        }
        switch (this->reader.read(this->input)) {
        case ReadState::Incomplete:
            if (this->reader.expectsContinue()) {
                this->stream.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            return;
        case ReadState::Complete:
            this->waits = true;
            this->hooks.onRequest(*this, this->reader.take());
            break;
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

void ServerConnection::refuse(int status)
{
    this->stream.write(this->hooks.refusal(status));
    this->end();
}

void ServerConnection::answer(const std::string &bytes, bool close, Instant now)
{
    this->waits = false;
    this->idleSince = now;
    if (!this->stream.write(bytes)) {
        this->close();
        return;
    }
    if (close) {
        this->end();
        return;
    }
    this->readRequests();
}

void ServerConnection::end()
{
    this->ending = true;
    this->endingSince = monotonicNow();
    this->input.clear();
    this->finishWhenWritten();
}

void ServerConnection::finishWhenWritten()
{
    if (!this->stream.writePending() && !std::exchange(this->finished, true)) {
        this->stream.finishWriting();
    }
}

void ServerConnection::checkTime(const CallerLimits &now, Instant at)
{
    // A peer may still rely on the longer of two limits.
    this->limits.idleTimeout = std::max(this->limits.idleTimeout, now.idleTimeout);
    if (this->ending) {
        if (at - this->endingSince > drainTime) {
            this->close();
        }
    } else if (this->reader.begun() && at - this->headerSince > this->limits.headerTimeout) {
        this->refuse(statusTimeout);
    } else if (this->idle() && at - this->idleSince > this->limits.idleTimeout) {
        this->close();
    }
}

void ServerConnection::close()
{
    if (std::exchange(this->closed, true)) {
        return;
    }
    this->stream.close();
    if (std::exchange(this->waits, false)) {
        this->hooks.onLeft(*this);
    }
    this->hooks.onClosed(*this);
}

} // namespace lagoondeck
