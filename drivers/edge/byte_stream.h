#pragma once

#include "core/time.h"
#include "drivers/edge/edge_loop.h"

#include <Poco/Net/StreamSocket.h>
#include <optional>
#include <string>
#include <string_view>

namespace lagoondeck {

/// The state of a stream after a read.
enum class ReadResult {
    Open,   ///< The peer may send more.
    Closed, ///< The peer has closed its sending side.
    Broken, ///< The connection failed or was reset.
};

/// A non-blocking TCP connection that buffers the bytes that could not be sent yet.
class ByteStream
{
public:
    /// Wraps an accepted connection.
    ByteStream(EdgeLoop &loop, Poco::Net::StreamSocket socket);
    /// Starts connecting to an IP address and port.
    ByteStream(EdgeLoop &loop, const std::string &address);
    ~ByteStream();
    ByteStream(const ByteStream &) = delete;
    ByteStream &operator=(const ByteStream &) = delete;

    /// Sets the handler that is called when the stream is ready. The handler must call advance()
    /// before any other function.
    void watch(EdgeLoop::Handler handler);
    /// Completes the connection setup and sends buffered bytes, given the ready modes of the poll
    /// set. Returns false if the connection has failed.
    bool advance(int mode);
    /// Appends the received bytes to the buffer.
    ReadResult read(std::string &buffer);
    /// Sends the bytes and buffers those that can't be sent yet. Returns false if the connection
    /// has failed.
    bool write(std::string_view bytes);
    /// Closes the sending side of the connection.
    void finishWriting();
    void close();
    /// Closes the connection and discards the bytes that the peer has not acknowledged. Otherwise
    /// the operating system would go on sending them.
    void abort();

    /// Returns the network round trip time to the peer as the operating system has measured it.
    std::optional<Duration> roundTripTime() const;

    bool isConnected() const { return this->established; }
    /// Returns true if at least one byte was sent since the last call of resetWritten().
    bool hasWritten() const { return this->anyWritten; }
    void resetWritten() { this->anyWritten = false; }
    bool hasPendingOutput() const { return !this->output.empty(); }
    /// Returns how many bytes wait to be sent.
    std::size_t pendingOutput() const { return this->output.size(); }
    /// Returns the peer's IP address; empty if the connection has ended.
    std::string peerHost() const;
    /// Returns true if the peer sent bytes that were not read yet.
    bool hasUnreadInput() const;
    bool hasFailed() const { return this->broken; }

private:
    bool flush();
    void setOptions();
    void updateMode();

    EdgeLoop &loop;
    Poco::Net::StreamSocket socket;
    std::string output;
    bool established = false;
    bool anyWritten = false;
    bool broken = false;
    bool watched = false;
    bool writeWatched = false;
};

} // namespace lagoondeck
