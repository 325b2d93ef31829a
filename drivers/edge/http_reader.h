#pragma once

#include "core/http_message.h"

#include <cstddef>
#include <memory>
#include <string>

namespace lagoondeck {

/// The state of reading a message.
enum class ReadState {
    Incomplete,
    Complete,
    Malformed,
    HeaderTooLong,
    BodyTooLong,
};

/// Parses HTTP messages from a growing buffer, one at a time. Ambiguous messages are rejected as
/// malformed.
class HttpReader
{
public:
    enum class Kind { Request, Reply };

    HttpReader(Kind kind, std::size_t headerBytes, std::size_t bodyBytes);
    ~HttpReader();

    /// Parses bytes from the start of the buffer and removes them. Call expectNoBody() before
    /// reading the reply to a HEAD request.
    ReadState read(std::string &buffer);
    /// Call when the peer has closed the connection. Completes a reply without a length.
    ReadState finish();
    /// Returns the complete message and resets the reader for the next one.
    HttpMessage take();

    /// Returns true if at least one byte of the message has been read.
    bool hasStarted() const { return this->started; }
    /// Returns true, once per message, if the sender waits for "100 Continue" before it sends the
    /// body.
    bool expectsContinue();
    /// The next reply answers a HEAD request, so it has no body.
    void expectNoBody() { this->expectsNoBody = true; }

private:
    struct Parser;

    void reset();

    Kind kind;
    std::size_t headerBytes;
    std::size_t bodyBytes;
    std::unique_ptr<Parser> parser;
    bool started = false;
    bool expectsNoBody = false;
    bool continueReported = false;
};

} // namespace lagoondeck
