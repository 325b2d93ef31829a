#include "drivers/target_connection_driver.h"

#include "core/os/socket_output.h"

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
/// An attempt without a reply this long after its deadline counts as lost by the target.
constexpr Duration replyGrace = std::chrono::seconds(1);
constexpr std::size_t readSize = 16 * 1024;

} // namespace

TargetConnectionDriver::TargetConnectionDriver(PollSet &pollSet, const OpenConnection &effect,
                                               const InstanceId &instance, const Sink &sink,
                                               Instant now)
    : pollSet(pollSet), instance(instance), sink(sink), id(effect.connection),
      target(effect.target), address(effect.address), responseDeadline(now + connectTimeout)
{
    try {
        this->socket.connectNB(Poco::Net::SocketAddress(effect.address));
        this->pollSet.add(this->socket,
                          PollSet::POLL_READ | PollSet::POLL_WRITE | PollSet::POLL_ERROR);
        this->pollingForWrite = true;
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

void TargetConnectionDriver::setPollMode(int mode)
{
    this->pollSet.update(this->socket, mode);
}

void TargetConnectionDriver::end(ConnectionEnd reason)
{
    if (this->state == State::Closed) {
        return;
    }
    const bool wasOpening =
            this->state == State::Connecting || this->state == State::AwaitingAcceptance;
    this->state = State::Closed;
    try {
        this->pollSet.remove(this->socket);
        this->socket.close();
    } catch (const Poco::Exception &) {
        // The connection counts as closed even if closing its socket fails.
    }
    const bool failedToOpen = wasOpening && reason == ConnectionEnd::Lost;
    this->sink(ConnectionClosed {this->id, this->target,
                                 failedToOpen ? ConnectionEnd::ConnectFailed : reason,
                                 this->attempt, this->anyRequestByteSent});
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
            const std::size_t written =
                    sendAvailable(this->socket, this->output.data(), this->output.size());
            if (written == 0) {
                break;
            }
            this->anyRequestByteSent = true;
            this->output.erase(0, written);
        }
    } catch (const Poco::Exception &) {
        this->end(ConnectionEnd::Lost);
        return;
    }
    const bool hasOutput = !this->output.empty();
    if (hasOutput != this->pollingForWrite) {
        this->pollingForWrite = hasOutput;
        this->setPollMode(PollSet::POLL_READ | PollSet::POLL_ERROR
                          | (hasOutput ? PollSet::POLL_WRITE : 0));
    }
}

void TargetConnectionDriver::send(const SendSubRequest &effect, Instant now)
{
    this->state = State::Busy;
    this->attempt = effect.attempt;
    this->anyRequestByteSent = false;
    this->responseDeadline = now + effect.deadline + replyGrace;
    this->write(writeSubRequest(effect, this->instance, this->address));
}

void TargetConnectionDriver::closeWithoutSending(AttemptId refusedAttempt)
{
    this->attempt = refusedAttempt;
    this->anyRequestByteSent = false;
    this->end(ConnectionEnd::ClosedByUs);
}

void TargetConnectionDriver::sendCancellation(AttemptId cancelledAttempt, Instant now)
{
    this->state = State::Cancelling;
    this->responseDeadline = now + probeTimeout;
    this->write(writeCancellation(cancelledAttempt, this->instance, this->address));
}

void TargetConnectionDriver::sendHealthCheck(Instant now)
{
    this->state = State::Probing;
    this->responseDeadline = now + probeTimeout;
    this->write(writeHealthCheck(this->address));
}

void TargetConnectionDriver::shortenReplyTimeout(Instant now)
{
    this->responseDeadline = std::min(this->responseDeadline, now + replyGrace);
}

void TargetConnectionDriver::closeIfTimedOut(Instant now)
{
    const bool isWaiting = this->state != State::Idle && this->state != State::Closed;
    if (isWaiting && now > this->responseDeadline) {
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
    this->state = State::AwaitingAcceptance;
    this->write(writeHealthCheck(this->address));
}

void TargetConnectionDriver::readBytes()
{
    std::array<char, readSize> bytes;
    bool connectionEnded = false;
    try {
        while (true) {
            const int count =
                    this->socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            connectionEnded = count == 0;
            if (count <= 0) {
                break;
            }
            this->reader.feed({bytes.data(), static_cast<std::size_t>(count)});
            if (static_cast<std::size_t>(count) < bytes.size()) {
                break;
            }
        }
    } catch (const Poco::Exception &) {
        connectionEnded = true;
    }
    this->handleReplies();
    if (connectionEnded) {
        this->end(ConnectionEnd::Lost);
    }
}

void TargetConnectionDriver::handleReplies()
{
    const bool readable = leaf::try_handle_all(
            [this]() -> leaf::result<bool> {
                while (this->state != State::Closed) {
                    BOOST_LEAF_AUTO(reply, this->reader.next());
                    if (!reply) {
                        break;
                    }
                    this->handleReply(*reply);
                }
                return true;
            },
            [] { return false; });
    if (!readable) {
        this->end(ConnectionEnd::Lost);
    }
}

void TargetConnectionDriver::handleReply(HttpReply &reply)
{
    if (isCapRefusal(reply.head)) {
        this->end(ConnectionEnd::RefusedAtCap);
        return;
    }
    const State previousState = std::exchange(this->state, State::Idle);
    if (previousState == State::AwaitingAcceptance) {
        this->sink(ConnectionOpened {this->id, this->target, readReport(reply.head)});
    } else if (previousState == State::Probing) {
        this->sink(TargetHealth {this->id, this->target, readReport(reply.head)});
    } else if (previousState == State::Cancelling) {
        this->sink(CancelConfirmed {this->id, this->target});
    } else if (previousState == State::Busy) {
        const AttemptId repliedAttempt = *this->attempt;
        leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(event,
                                    readSubReply(reply, repliedAttempt, this->id, this->instance));
                    this->attempt.reset();
                    this->anyRequestByteSent = false;
                    this->sink(std::move(event));
                    return {};
                },
                [this] { this->end(ConnectionEnd::Lost); });
    } else {
        // No request was waiting for this reply, so later replies can't be trusted either.
        this->end(ConnectionEnd::Lost);
    }
}

} // namespace lagoondeck
