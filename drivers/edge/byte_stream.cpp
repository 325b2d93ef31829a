#include "drivers/edge/byte_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <utility>

namespace lagoondeck {

using Poco::Net::PollSet;

namespace {

constexpr std::size_t readSize = 16 * 1024;
/// Bytes that the peer does not confirm for this long break the connection: a machine that lost
/// power or is cut off answers nothing.
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
    const bool wantsWrite = !this->established || !this->output.empty();
    if (this->watched && wantsWrite != this->writeWatched) {
        this->writeWatched = wantsWrite;
        this->loop.update(this->socket,
                          PollSet::POLL_READ | PollSet::POLL_ERROR
                                  | (wantsWrite ? PollSet::POLL_WRITE : 0));
    }
}

bool ByteStream::flush()
{
    try {
        std::size_t done = 0;
        while (done < this->output.size()) {
            const int written = this->socket.sendBytes(
                    this->output.data() + done, static_cast<int>(this->output.size() - done));
            if (written <= 0) {
                break;
            }
            this->wrote = true;
            done += static_cast<std::size_t>(written);
        }
        this->output.erase(0, done);
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
    this->output.append(bytes);
    return !this->established || this->flush();
}

ReadEnd ByteStream::read(std::string &buffer)
{
    if (this->broken) {
        return ReadEnd::Broken;
    }
    std::array<char, readSize> bytes;
    try {
        while (true) {
            const int count =
                    this->socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (count == 0) {
                return ReadEnd::Closed;
            }
            if (count < 0) {
                return ReadEnd::Open;
            }
            buffer.append(bytes.data(), static_cast<std::size_t>(count));
            if (static_cast<std::size_t>(count) < bytes.size()) {
                return ReadEnd::Open;
            }
        }
    } catch (const Poco::Exception &) {
        this->broken = true;
        return ReadEnd::Broken;
    }
}

void ByteStream::finishWriting()
{
    try {
        this->socket.shutdownSend();
    } catch (const Poco::Exception &) {
        this->broken = true;
    }
}

void ByteStream::close()
{
    try {
        if (std::exchange(this->watched, false)) {
            this->loop.remove(this->socket);
        }
        this->socket.close();
    } catch (const Poco::Exception &) {
        // The socket is given up either way.
    }
    this->broken = true;
}

} // namespace lagoondeck
