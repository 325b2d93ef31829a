#pragma once

#include "core/time.h"
#include "drivers/edge/edge_loop.h"

#include <Poco/Net/StreamSocket.h>
#include <string>
#include <string_view>

namespace lagoondeck {

/// How reading from a stream went.
enum class ReadEnd {
    Open,   ///< More may come.
    Closed, ///< The peer has sent all that it will send.
    Broken, ///< The connection was reset or has failed.
};

/// A non-blocking connection that holds what could not be written yet.
class ByteStream
{
public:
    /// A connection that was accepted.
    ByteStream(EdgeLoop &loop, Poco::Net::StreamSocket socket);
    /// A connection that is being made.
    ByteStream(EdgeLoop &loop, const std::string &address);
    ~ByteStream();
    ByteStream(const ByteStream &) = delete;
    ByteStream &operator=(const ByteStream &) = delete;

    /// Called when the stream is ready; call advance() first.
    void watch(EdgeLoop::Handler handler);
    /// Finishes connecting and writes what waits; false when the connection has failed.
    bool advance(int mode);
    /// Appends what has come.
    ReadEnd read(std::string &buffer);
    /// Queues bytes and writes what can be written; false when the connection has failed.
    bool write(std::string_view bytes);
    /// Tells the peer that nothing more follows.
    void finishWriting();
    void close();

    bool connected() const { return this->established; }
    /// Some byte of what was written has left.
    bool wroteAny() const { return this->wrote; }
    void forgetWrites() { this->wrote = false; }
    bool writePending() const { return !this->output.empty(); }
    bool failed() const { return this->broken; }

private:
    bool flush();
    void setOptions();
    void updateMode();

    EdgeLoop &loop;
    Poco::Net::StreamSocket socket;
    std::string output;
    bool established = false;
    bool wrote = false;
    bool broken = false;
    bool watched = false;
    bool writeWatched = false;
};

} // namespace lagoondeck
