#include "drivers/target_connection_driver.h"

#include "core/errors.h"
#include "drivers/target_codec.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;
using Poco::Net::PollSet;

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration probeTimeout = std::chrono::seconds(1);
/// A target that keeps an attempt this long past its deadline has lost it.
constexpr Duration replyGrace = std::chrono::seconds(1);
constexpr std::size_t readSize = 16 * 1024;

} // namespace

TargetConnectionDriver::TargetConnectionDriver(PollSet &pollSet, const OpenConnection &effect,
                                               const InstanceId &instance, const Sink &sink,
                                               Instant now)
    : pollSet(pollSet), instance(instance), sink(sink), id(effect.connection),
      target(effect.target), address(effect.address), silentUntil(now + connectTimeout)
{
    try {
        this->socket.connectNB(Poco::Net::SocketAddress(effect.address));
        this->pollSet.add(this->socket,
                          PollSet::POLL_READ | PollSet::POLL_WRITE | PollSet::POLL_ERROR);
        this->writeWatched = true;
    } catch (const Poco::Exception &) {
        this->end(ConnectionEnd::ConnectFailed);
    }
}

TargetConnectionDriver::~TargetConnectionDriver()
{
    if (this->state != State::Closed) {
        this->pollSet.remove(this->socket);
    }
}

void TargetConnectionDriver::watch(int mode)
{
    this->pollSet.update(this->socket, mode);
}

void TargetConnectionDriver::end(ConnectionEnd reason)
{
    if (this->state == State::Closed) {
        return;
    }
    const bool wasOpening = this->state == State::Connecting || this->state == State::Greeting;
    this->state = State::Closed;
    try {
        this->pollSet.remove(this->socket);
        this->socket.close();
    } catch (const Poco::Exception &) {
        // The socket is given up either way.
    }
    const bool failedToOpen = wasOpening && reason == ConnectionEnd::Lost;
    this->sink(ConnectionClosed {this->id, this->target,
                                 failedToOpen ? ConnectionEnd::ConnectFailed : reason,
                                 this->attempt, this->sent});
}

void TargetConnectionDriver::write(std::string bytes)
{
    this->output += std::move(bytes);
    this->flush();
}

void TargetConnectionDriver::flush()
{
    try {
        while (!this->output.empty()) {
            const int written = this->socket.sendBytes(this->output.data(),
                                                       static_cast<int>(this->output.size()));
            if (written <= 0) {
                break;
            }
            this->sent = true;
            this->output.erase(0, static_cast<std::size_t>(written));
        }
    } catch (const Poco::Exception &) {
        this->end(ConnectionEnd::Lost);
        return;
    }
    const bool wantsWrite = !this->output.empty();
    if (wantsWrite != this->writeWatched) {
        this->writeWatched = wantsWrite;
        this->watch(PollSet::POLL_READ | PollSet::POLL_ERROR
                    | (wantsWrite ? PollSet::POLL_WRITE : 0));
    }
}

void TargetConnectionDriver::send(const SendSubRequest &effect, Instant now)
{
    this->state = State::Busy;
    this->attempt = effect.attempt;
    this->sent = false;
    this->silentUntil = now + effect.deadline + replyGrace;
    this->write(writeSubRequest(effect, this->instance, this->address));
}

void TargetConnectionDriver::refuse(AttemptId refused)
{
    this->attempt = refused;
    this->sent = false;
    this->end(ConnectionEnd::ClosedByUs);
}

void TargetConnectionDriver::sendCancellation(AttemptId cancelled, Instant now)
{
    this->state = State::Cancelling;
    this->silentUntil = now + probeTimeout;
    this->write(writeCancellation(cancelled, this->instance, this->address));
}

void TargetConnectionDriver::sendHealthCheck(Instant now)
{
    this->state = State::Probing;
    this->silentUntil = now + probeTimeout;
    this->write(writeHealthCheck(this->address));
}

void TargetConnectionDriver::expectReplySoon(Instant now)
{
    this->silentUntil = std::min(this->silentUntil, now + replyGrace);
}

void TargetConnectionDriver::closeIfSilent(Instant now)
{
    const bool waits = this->state != State::Idle && this->state != State::Closed;
    if (waits && now > this->silentUntil) {
        this->end(ConnectionEnd::Lost);
    }
}

void TargetConnectionDriver::onReady(int mode)
{
    if (this->state == State::Connecting && (mode & (PollSet::POLL_WRITE | PollSet::POLL_ERROR))) {
        this->onConnected();
    } else if ((mode & PollSet::POLL_WRITE) && !this->output.empty()) {
        this->flush();
    }
    if (this->state != State::Closed && this->state != State::Connecting
        && (mode & (PollSet::POLL_READ | PollSet::POLL_ERROR))) {
        this->readBytes();
    }
}

void TargetConnectionDriver::onConnected()
{
    try {
        if (this->socket.impl()->socketError() != 0) {
            this->end(ConnectionEnd::ConnectFailed);
            return;
        }
        this->socket.setNoDelay(true);
    } catch (const Poco::Exception &) {
        this->end(ConnectionEnd::ConnectFailed);
        return;
    }
    this->state = State::Greeting;
    this->write(writeHealthCheck(this->address));
}

void TargetConnectionDriver::readBytes()
{
    std::array<char, readSize> bytes;
    bool ended = false;
    try {
        while (true) {
            const int count =
                    this->socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            ended = count == 0;
            if (count <= 0) {
                break;
            }
            this->reader.feed({bytes.data(), static_cast<std::size_t>(count)});
            if (static_cast<std::size_t>(count) < bytes.size()) {
                break;
            }
        }
    } catch (const Poco::Exception &) {
        ended = true;
    }
    this->takeReplies();
    if (ended) {
        this->end(ConnectionEnd::Lost);
    }
}

void TargetConnectionDriver::takeReplies()
{
    const bool readable = leaf::try_handle_all(
            [this]() -> leaf::result<bool> {
                while (this->state != State::Closed) {
                    BOOST_LEAF_AUTO(reply, this->reader.next());
                    if (!reply) {
                        break;
                    }
                    this->takeReply(*reply);
                }
                return true;
            },
            [] { return false; });
    if (!readable) {
        this->end(ConnectionEnd::Lost);
    }
}

void TargetConnectionDriver::takeReply(HttpReply &reply)
{
    if (isCapRefusal(reply.head)) {
        this->end(ConnectionEnd::RefusedAtCap);
        return;
    }
    const State before = std::exchange(this->state, State::Idle);
    if (before == State::Greeting) {
        this->sink(ConnectionOpened {this->id, this->target, readReport(reply.head)});
    } else if (before == State::Probing) {
        this->sink(TargetHealth {this->id, this->target, readReport(reply.head)});
    } else if (before == State::Cancelling) {
        this->sink(CancelConfirmed {this->id, this->target});
    } else if (before == State::Busy) {
        const AttemptId replied = *this->attempt;
        leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(event, readSubReply(reply, replied, this->id, this->instance));
                    this->attempt.reset();
                    this->sent = false;
                    this->sink(std::move(event));
                    return {};
                },
                [this] { this->end(ConnectionEnd::Lost); });
    } else {
        // A reply that nobody asked for: what follows can't be trusted.
        this->end(ConnectionEnd::Lost);
    }
}

} // namespace lagoondeck
