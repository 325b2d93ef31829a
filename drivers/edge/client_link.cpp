#include "drivers/edge/client_link.h"

#include <utility>

namespace lagoondeck {

namespace {

constexpr std::size_t mostHeaderBytes = 64 * 1024;
/// A longer reply is refused, so that a faulty server can't exhaust the memory.
constexpr std::size_t mostBodyBytes = 32 * 1024 * 1024;
constexpr Duration connectTimeout = std::chrono::milliseconds(800);

} // namespace

ClientLink::ClientLink(EdgeLoop &loop, const std::string &address, std::uint64_t id,
                       const Hooks &hooks, Instant now)
    : stream(loop, address), number(id), hooks(hooks),
      reader(HttpReader::Kind::Reply, mostHeaderBytes, mostBodyBytes),
      connectBy(now + connectTimeout)
{ }

void ClientLink::begin()
{
    if (this->stream.failed()) {
        this->close(LinkEnd::Unreachable);
        return;
    }
    this->stream.watch([this](int mode) { this->onReady(mode); });
}

void ClientLink::send(const std::string &bytes, bool replyHasNoBody)
{
    this->waits = true;
    this->stream.forgetWrites();
    if (replyHasNoBody) {
        this->reader.expectNoBody();
    }
    if (!this->stream.write(bytes)) {
        // Bytes may have left before the connection broke.
        this->close(this->stream.connected() ? LinkEnd::Lost : LinkEnd::Unreachable);
    }
}

void ClientLink::onReady(int mode)
{
    if (!this->stream.advance(mode)) {
        this->close(this->stream.wroteAny() || this->stream.connected() ? LinkEnd::Lost
                                                                        : LinkEnd::Unreachable);
        return;
    }
    if (!this->stream.connected()) {
        return;
    }
    const ReadEnd end = this->stream.read(this->input);
    this->readReplies();
    if (this->over || end == ReadEnd::Open) {
        return;
    }
    // A reply without a length ends with its connection, unless that was reset.
    if (end == ReadEnd::Closed && this->waits && this->reader.begun()
        && this->reader.finish() == ReadState::Complete) {
        this->spent = true;
        this->takeReply();
    }
    if (!this->over) {
        this->close(LinkEnd::Lost);
    }
}

void ClientLink::readReplies()
{
    while (!this->over && !this->input.empty()) {
        if (!this->waits) {
            // Bytes that belong to no request.
            this->close(LinkEnd::Spoiled);
            return;
        }
        switch (this->reader.read(this->input)) {
        case ReadState::Incomplete:
            return;
        case ReadState::Complete:
            this->takeReply();
            break;
        default:
            this->close(LinkEnd::Spoiled);
            return;
        }
    }
}

void ClientLink::takeReply()
{
    HttpMessage reply = this->reader.take();
    // What follows a reply in the same bytes, or comes before the request is written, is no
    // answer to anything; the rest of the request would be read as another one.
    this->spent = this->spent || !reply.keepsConnection || !this->input.empty()
            || this->stream.writePending();
    this->waits = false;
    if (!this->hooks.onReply(*this, std::move(reply))) {
        this->waits = true;
        this->spent = true;
        return;
    }
    if (!this->over && !this->waits && this->spent) {
        this->close(LinkEnd::Closed);
    }
}

void ClientLink::checkTime(Instant now)
{
    if (!this->over && !this->stream.connected() && now > this->connectBy) {
        this->close(LinkEnd::Unreachable);
    } else if (this->reusable() && now > this->idleUntil) {
        this->close(LinkEnd::Closed);
    }
}

void ClientLink::close(LinkEnd end)
{
    if (std::exchange(this->over, true)) {
        return;
    }
    this->stream.close();
    this->hooks.onEnd(*this, end);
}

} // namespace lagoondeck
