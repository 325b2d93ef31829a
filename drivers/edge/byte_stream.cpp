#include "drivers/edge/byte_stream.h"

#include "core/os/socket_output.h"
#include "drivers/edge/trimmed_buffer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <utility>

namespace lagoondeck {

using Poco::Net::PollSet;

namespace {

constexpr std::size_t readBufferBytes = 16 * 1024;
/// The rest is read after the other connections were served.
constexpr std::size_t maxBytesPerRead = 256 * 1024;
/// The connection is broken if the peer does not acknowledge sent bytes within this time. A machine
/// that lost power or its network sends neither an acknowledgement nor a reset.
constexpr int userTimeoutMs = 3000;

} // namespace

ByteStream::ByteStream(EdgeLoop &loop, Poco::Net::StreamSocket socket)
    : loop(loop), socket(std::move(socket)), established(true)
{
    try {
        this->socket.setBlocking(false);
        this->setOptions();
    } catch (const Poco::Exception &) {
        this->broken = true;
    }
}

ByteStream::ByteStream(EdgeLoop &loop, const std::string &address) : loop(loop)
{
    try {
        this->socket.connectNB(Poco::Net::SocketAddress(address));
    } catch (const Poco::Exception &) {
        this->broken = true;
    }
}

ByteStream::~ByteStream()
{
    this->close();
}

void ByteStream::setOptions()
{
    this->socket.setNoDelay(true);
    this->socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
}

void ByteStream::watch(EdgeLoop::Handler handler)
{
    if (this->broken) {
        return;
    }
    this->watched = true;
    this->writeWatched = !this->established;
    this->loop.add(this->socket,
                   PollSet::POLL_READ | PollSet::POLL_ERROR
                           | (this->writeWatched ? PollSet::POLL_WRITE : 0),
                   std::move(handler));
}

bool ByteStream::advance(int mode)
{
    if (this->broken) {
        return false;
    }
    if (!this->established) {
        if ((mode & (PollSet::POLL_WRITE | PollSet::POLL_ERROR)) == 0) {
            return true;
        }
        try {
            if (this->socket.impl()->socketError() != 0) {
                this->broken = true;
                return false;
            }
            this->setOptions();
        } catch (const Poco::Exception &) {
            this->broken = true;
            return false;
        }
        this->established = true;
        return this->flush();
    }
    return (mode & PollSet::POLL_WRITE) == 0 || this->flush();
}

void ByteStream::updateMode()
{
    const bool needsWrite = !this->established || !this->output.empty();
    if (this->watched && needsWrite != this->writeWatched) {
        this->writeWatched = needsWrite;
        this->loop.update(this->socket,
                          PollSet::POLL_READ | PollSet::POLL_ERROR
                                  | (needsWrite ? PollSet::POLL_WRITE : 0));
    }
}

bool ByteStream::flush()
{
    try {
        std::size_t sent = 0;
        while (sent < this->output.size()) {
            const std::size_t written = sendAvailable(this->socket, this->output.data() + sent,
                                                      this->output.size() - sent);
            if (written == 0) {
                break;
            }
            this->anyWritten = true;
            sent += written;
        }
        this->output.erase(0, sent);
        trimBuffer(this->output);
        this->updateMode();
    } catch (const Poco::Exception &) {
        this->broken = true;
        return false;
    }
    return true;
}

bool ByteStream::write(std::string_view bytes)
{
    if (this->broken) {
        return false;
    }
    if (this->established && this->output.empty()) {
        // Only what can't be sent now is kept, so that a long answer is not held twice.
        try {
            const std::size_t sent = sendAvailable(this->socket, bytes.data(), bytes.size());
            this->anyWritten = this->anyWritten || sent > 0;
            bytes.remove_prefix(sent);
        } catch (const Poco::Exception &) {
            this->broken = true;
            return false;
        }
    }
    this->output.append(bytes);
    return !this->established || this->flush();
}

ReadResult ByteStream::read(std::string &buffer)
{
    if (this->broken) {
        return ReadResult::Broken;
    }
    std::array<char, readBufferBytes> bytes;
    try {
        for (std::size_t total = 0; total < maxBytesPerRead;) {
            const int count =
                    this->socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (count == 0) {
                return ReadResult::Closed;
            }
            if (count < 0) {
                return ReadResult::Open;
            }
            buffer.append(bytes.data(), static_cast<std::size_t>(count));
            total += static_cast<std::size_t>(count);
            if (static_cast<std::size_t>(count) < bytes.size()) {
                return ReadResult::Open;
            }
        }
        return ReadResult::Open;
    } catch (const Poco::Exception &) {
        this->broken = true;
        return ReadResult::Broken;
    }
}

bool ByteStream::hasUnreadInput() const
{
    try {
        return !this->broken && this->socket.available() > 0;
    } catch (const Poco::Exception &) {
        // The connection has ended already.
        return false;
    }
}

std::optional<Duration> ByteStream::roundTripTime() const
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (getsockopt(this->socket.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0
        || info.tcpi_rtt == 0) {
        return std::nullopt;
    }
    return std::chrono::microseconds(info.tcpi_rtt);
}

const std::string &ByteStream::peerHost() const
{
    if (!this->knownPeerHost) {
        try {
            this->knownPeerHost = this->socket.peerAddress().host().toString();
        } catch (const Poco::Exception &) {
            // The peer has reset the connection already.
            this->knownPeerHost.emplace();
        }
    }
    return *this->knownPeerHost;
}

void ByteStream::finishWriting()
{
    try {
        this->socket.shutdownSend();
    } catch (const Poco::Exception &) {
        this->broken = true;
    }
}

void ByteStream::abort()
{
    try {
        this->socket.setLinger(true, 0);
    } catch (const Poco::Exception &) {
        // The connection has ended already.
    }
    this->close();
}

void ByteStream::close()
{
    try {
        if (std::exchange(this->watched, false)) {
            this->loop.remove(this->socket);
        }
        this->socket.close();
    } catch (const Poco::Exception &) {
        // The socket is not used any more, so the error has no effect.
    }
    this->broken = true;
    // The object may live on for a while.
    std::string().swap(this->output);
}

} // namespace lagoondeck
