#pragma once

#include "core/http_message.h"
#include "core/message_limits.h"

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
/// malformed, and so are replies with a status that no final reply can have.
class HttpReader
{
public:
    enum class Kind { Request, Reply };

    HttpReader(Kind kind, std::size_t headerBytes, std::size_t bodyBytes,
               const MessageLimits &message = {});
    ~HttpReader();

    /// Sets the limits of the next messages. Must not be called while one is read.
    void setLimits(std::size_t headerBytes, std::size_t bodyBytes, const MessageLimits &message);
    /// Parses bytes from the start of the buffer and removes them. Call expectNoBody() before
    /// reading the reply to a HEAD request.
    ReadState read(std::string &buffer);
    /// Call when the peer has closed the connection. Completes a reply without a length.
    ReadState finish();
    /// Returns the complete message and resets the reader for the next one.
    HttpMessage take();

    /// Discards the message that is being read and frees its memory.
    void clear();

    /// Returns how much memory the message takes that is being read.
    std::size_t heldBytes() const;
    /// Returns true if at least one byte of the message has been read.
    bool hasStarted() const { return this->started; }
    /// Returns true, once per message, if the sender waits for "100 Continue" before it sends the
    /// body.
    bool expectsContinue();
    /// The next reply answers a HEAD request, so it has no body.
    void expectNoBody() { this->expectsNoBody = true; }

private:
    struct Parser;

    /// Begins the next message, which may be the final reply after an interim one.
    void beginMessage();
    /// Passes bytes to the parser and removes those that it has used.
    ReadState parse(std::string &buffer);
    ReadState checkHeader();
    /// Checks the parts that the parser itself does not limit. The argument is how many received
    /// bytes the parser can't use yet.
    ReadState checkChunkOverhead(std::size_t unparsedBytes);
    /// Returns true if the reply that was read precedes the final one.
    bool isInterimReply() const;

    Kind kind;
    std::size_t headerBytes;
    std::size_t bodyBytes;
    MessageLimits limits;
    /// Exists while a message is read, because it takes several kilobytes.
    std::unique_ptr<Parser> parser;
    /// How many bytes of the message the parser has used.
    std::size_t usedBytes = 0;
    /// While the header is incomplete, the number of its lines.
    std::size_t fieldCount = 0;
    std::size_t interimReplies = 0;
    bool started = false;
    bool expectsNoBody = false;
    bool continueReported = false;
};

} // namespace lagoondeck
